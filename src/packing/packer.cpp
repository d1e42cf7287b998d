#include "packing/packer.h"

#include "packing/internal/job_shares.h"
#include "packing/internal/selection.h"
#include "serving/stage_capacity.h"
#include "types/numeric.h"
#include "types/overloaded.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenmount {

namespace {

using packer_effects = std::vector<packer_effect>;

//! A call times out after this multiple of its expected duration, plus slack for the network round
//! trip; its pieces are then requeued for other upstreams.
constexpr double overdue_factor = 2.0;
constexpr milliseconds overdue_slack{100};
//! Backoff of an upstream after its first failed call; doubles up to the longest value.
constexpr milliseconds initial_backoff{250};
//! A job fails after this many failures of its pieces.
constexpr int max_piece_failures = 6;
//! A job fails once this many upstreams have crashed during its calls.
constexpr int max_crashes_per_job = 3;
//! Weight of the latest call in the smoothed slowdown factor.
constexpr double slowdown_smoothing_weight = 0.4;
//! Weight of the latest release in the smoothed residence time of results.
constexpr double residence_smoothing_weight = 0.05;
constexpr double min_slowdown = 0.5;
constexpr double max_slowdown = 12;
//! A job that will miss its soft deadline is accepted only if it is expected to complete with this
//! fraction of the time until its hard deadline to spare. With a smaller margin, a slightly wrong
//! estimate would end in a late rejection.
constexpr double late_job_margin = 0.3;
constexpr milliseconds min_retry_after{50};
//! Shortest time between two release requests to an upstream that limits its request rate. Releases
//! are collected meanwhile, which leaves more of the rate to calls.
constexpr milliseconds limited_release_period{1500};
//! A packer is alone at the upstreams of its pool.
constexpr instance_rank only_packer{0, 1};

milliseconds retry_delay(const packer& state, bool for_beyond_share, instant now) {
    return std::max(min_retry_after, drain_time(state, for_beyond_share, now));
}

void record_residence(packer& state, const stored_result& stored, instant now) {
    const auto residence = static_cast<double>((now - stored.made_at).count());
    state.residence_ms += residence_smoothing_weight * (residence - state.residence_ms);
}

//! The upstream at whose address the result is stored; null if it has left the pool.
packer_upstream* find_holder(packer& state, const std::string& result) {
    const std::string_view address = std::string_view(result).substr(0, result.find('/'));
    const auto found = std::ranges::find_if(
        state.upstreams, [&](const auto& entry) { return entry.second.value.address == address; });
    return found == state.upstreams.end() ? nullptr : &found->second;
}

bool must_defer_releases(const packer_upstream& upstream, instant now) {
    return upstream.directives.max_per_second || now < upstream.directives.no_requests_until;
}

void release_stored_results(packer& state, std::span<const std::string> results, instant now,
                            packer_effects& out) {
    std::vector<std::string> unused;
    for (const std::string& result : results) {
        if (result.empty()) {
            continue;
        }
        for (auto& [id, upstream] : state.upstreams) {
            const auto found = upstream.stored_results.find(result);
            if (found != upstream.stored_results.end()) {
                record_residence(state, found->second, now);
                upstream.stored_results.erase(found);
            }
        }
        packer_upstream* const holder = find_holder(state, result);
        const bool is_deferred = holder != nullptr && must_defer_releases(*holder, now);
        (is_deferred ? holder->deferred_releases : unused).push_back(result);
    }
    if (!unused.empty()) {
        out.emplace_back(std::in_place_type<release_results>, release_results{std::move(unused)});
    }
}

//! Sends the deferred releases of upstreams whose directives allow a request.
void send_deferred_releases(packer& state, instant now, packer_effects& out) {
    for (auto& [id, upstream] : state.upstreams) {
        const bool is_limited = upstream.directives.max_per_second.has_value();
        if (upstream.deferred_releases.empty() ||
            time_to_next_request(upstream.directives, only_packer, now) > 0ms ||
            (is_limited && now - upstream.releases_sent_at < limited_release_period)) {
            continue;
        }
        record_request(upstream.directives, now);
        upstream.releases_sent_at = now;
        out.emplace_back(std::in_place_type<release_results>,
                         release_results{std::exchange(upstream.deferred_releases, {})});
    }
}

//! Removes a job and releases the results already stored for it.
void remove_job(packer& state, const job_id& id, instant now, packer_effects& out) {
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end()) {
        return;
    }
    const std::vector<std::string> results = std::move(found->second.results);
    state.jobs.erase(found);
    release_stored_results(state, results, now, out);
}

void withdraw_job(packer& state, const job_id& id, packer_effects& out) {
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end() || detail::is_started(found->second)) {
        return;
    }
    out.emplace_back(std::in_place_type<job_returned>, job_returned{id});
    state.jobs.erase(found);
}

//! Removes the jobs of an instance whose process has ended, and releases all results for it.
void remove_requester(packer& state, const instance_id& requester, instant now,
                      packer_effects& out) {
    std::vector<job_id> jobs;
    for (const auto& [id, open] : state.jobs) {
        if (id.requester == requester) {
            jobs.push_back(id);
        }
    }
    for (const job_id& id : jobs) {
        remove_job(state, id, now, out);
    }
    std::vector<std::string> results;
    for (const auto& [id, upstream] : state.upstreams) {
        for (const auto& [result, stored] : upstream.stored_results) {
            if (stored.requester == requester) {
                results.push_back(result);
            }
        }
    }
    release_stored_results(state, results, now, out);
}

void reject_job(packer& state, const job_id& id, pieces_verdict why, milliseconds retry_after,
                instant now, packer_effects& out) {
    out.emplace_back(std::in_place_type<job_rejected>, job_rejected{id, why, retry_after});
    remove_job(state, id, now, out);
}

void reject_job(packer& state, const job_id& id, pieces_verdict why, instant now,
                packer_effects& out) {
    const auto found = state.jobs.find(id);
    const bool is_beyond = found != state.jobs.end() && found->second.is_beyond_share;
    reject_job(state, id, why, retry_delay(state, is_beyond, now), now, out);
}

void submit_job(packer& state, const job_submitted& incoming, instant now, packer_effects& out) {
    const stage_job& job = incoming.job;
    if (state.jobs.contains(job.id)) {
        return;
    }
    const bool is_beyond_share = detail::would_be_beyond_share(state, job, now);
    // The instance that has the request checks the pieces too, but a peer may send any number.
    const bool is_oversized =
        job.pieces > max_pieces(state.limits, state.upstreams.size(), job.hard_deadline - now);
    if (state.upstreams.empty() || is_oversized) {
        const auto why = is_oversized && !state.upstreams.empty() ? pieces_verdict::overloaded
                                                                  : pieces_verdict::no_upstream;
        reject_job(state, job.id, why, retry_delay(state, is_beyond_share, now), now, out);
        return;
    }
    open_job open;
    open.job = job;
    open.progress.assign(static_cast<std::size_t>(job.pieces), piece_progress::waiting);
    open.results.resize(open.progress.size());
    open.is_beyond_share = is_beyond_share;
    instant end = detail::expected_end(state, job, is_beyond_share, now);
    state.jobs.emplace(job.id, std::move(open));
    const bool can_be_on_time = end <= job.soft_deadline;
    if (can_be_on_time) {
        detail::record_arrival(state, job, now);
    } else {
        end = detail::late_end(state, job, end, now);
    }
    const auto reserve =
        to_milliseconds(static_cast<double>((job.hard_deadline - now).count()) * late_job_margin);
    const instant latest =
        can_be_on_time || job.depth > 0 ? job.hard_deadline : job.hard_deadline - reserve;
    if (end > latest) {
        reject_job(state, job.id, pieces_verdict::overloaded, now, out);
    }
}

//! Removes and returns an open call and marks its upstream idle; none if the call is unknown.
std::optional<open_call> close_call(packer& state, call_number number) {
    const auto found = state.calls.find(number);
    if (found == state.calls.end()) {
        return std::nullopt;
    }
    open_call call = std::move(found->second);
    state.calls.erase(found);
    const auto upstream = state.upstreams.find(call.upstream);
    if (upstream != state.upstreams.end() && upstream->second.call == number) {
        upstream->second.call = 0;
    }
    return call;
}

//! Has a piece of a call called again, unless that was done when the call timed out: the piece may
//! be in a later call.
void requeue(packer& state, const open_call& call, const called_piece& piece) {
    if (call.is_overdue) {
        return;
    }
    const auto found = state.jobs.find(piece.job);
    if (found == state.jobs.end()) {
        return;
    }
    auto& progress = found->second.progress[static_cast<std::size_t>(piece.piece)];
    if (progress == piece_progress::in_call) {
        progress = piece_progress::waiting;
    }
}

void record_call_duration(packer_upstream& upstream, const open_call& call, instant now) {
    if (call.expected_duration.count() <= 0) {
        return;
    }
    const double ratio = static_cast<double>((now - call.started_at).count()) /
                         static_cast<double>(call.expected_duration.count());
    upstream.slowdown = std::clamp((1 - slowdown_smoothing_weight) * upstream.slowdown +
                                       slowdown_smoothing_weight * ratio,
                                   min_slowdown, max_slowdown);
    upstream.backoff = 0ms;
    upstream.backoff_until = {};
}

void complete_job_if_done(packer& state, const job_id& id, packer_effects& out) {
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end()) {
        return;
    }
    const open_job& open = found->second;
    const bool all_completed =
        std::all_of(open.progress.begin(), open.progress.end(),
                    [](piece_progress progress) { return progress == piece_progress::completed; });
    if (!all_completed) {
        return;
    }
    out.emplace_back(std::in_place_type<job_completed>, job_completed{id, open.results, open.zone});
    state.jobs.erase(found);
}

//! Records a completed piece. Its result is released at once if no job needs it any more.
void record_completed_piece(packer& state, const called_piece& piece, const piece_outcome& outcome,
                            packer_upstream& producer, instant now, packer_effects& out) {
    producer.stored_results[outcome.result] = {piece.bytes, now + state.limits.result_lifetime,
                                               piece.job.requester, now};
    const auto job = state.jobs.find(piece.job);
    const auto index = static_cast<std::size_t>(piece.piece);
    const bool is_needed =
        job != state.jobs.end() && job->second.progress[index] != piece_progress::completed;
    if (!is_needed) {
        release_stored_results(state, std::span(&outcome.result, 1), now, out);
        return;
    }
    job->second.progress[index] = piece_progress::completed;
    job->second.results[index] = outcome.result;
    job->second.zone = producer.value.zone;
    complete_job_if_done(state, piece.job, out);
}

void record_failed_piece(packer& state, const open_call& call, const called_piece& piece,
                         piece_status status, instant now, packer_effects& out) {
    const auto job = state.jobs.find(piece.job);
    if (job == state.jobs.end()) {
        return;
    }
    if (status == piece_status::input_lost) {
        reject_job(state, piece.job, pieces_verdict::input_lost, now, out);
        return;
    }
    if (status == piece_status::deadline_exceeded) {
        reject_job(state, piece.job, pieces_verdict::overloaded, now, out);
        return;
    }
    requeue(state, call, piece);
    if (status == piece_status::failed && ++job->second.failures >= max_piece_failures) {
        reject_job(state, piece.job, pieces_verdict::failed, now, out);
    }
}

//! Sets the estimate of other packers' results so that the upstream has no free memory.
void assume_memory_full(const packer& state, packer_upstream& upstream, instant now) {
    const std::uint64_t own_bytes = detail::held_bytes(state, upstream);
    const std::uint64_t capacity = detail::result_capacity(state);
    upstream.other_packers_bytes = capacity > own_bytes ? capacity - own_bytes : 0;
    upstream.other_packers_estimated_at = now;
}

void on_call_answered(packer& state, const call_answered& incoming, instant now,
                      packer_effects& out) {
    const auto call = close_call(state, incoming.call);
    if (!call) {
        return;
    }
    const auto producer = state.upstreams.find(call->upstream);
    if (producer == state.upstreams.end()) {
        // The upstream has left the pool. Its results stay usable for a while; their memory isn't
        // counted any more.
        packer_upstream removed;
        removed.value.id = call->upstream;
        for (std::size_t i = 0; i < call->pieces.size() && i < incoming.outcomes.size(); ++i) {
            if (incoming.outcomes[i].status == piece_status::made) {
                record_completed_piece(state, call->pieces[i], incoming.outcomes[i], removed, now,
                                       out);
            } else {
                requeue(state, *call, call->pieces[i]);
            }
        }
        return;
    }
    record_call_duration(producer->second, *call, now);
    for (std::size_t i = 0; i < call->pieces.size(); ++i) {
        if (i >= incoming.outcomes.size()) {
            requeue(state, *call, call->pieces[i]);
            continue;
        }
        const piece_outcome& outcome = incoming.outcomes[i];
        if (outcome.status == piece_status::made) {
            record_completed_piece(state, call->pieces[i], outcome, producer->second, now, out);
            continue;
        }
        if (outcome.status == piece_status::no_memory) {
            // The memory is full of results of other packers.
            assume_memory_full(state, producer->second, now);
        }
        record_failed_piece(state, *call, call->pieces[i], outcome.status, now, out);
    }
}

void back_off(packer_upstream& upstream, instant now) {
    upstream.backoff = std::clamp(2 * upstream.backoff, initial_backoff, detail::max_backoff);
    upstream.backoff_until = now + upstream.backoff;
}

//! Counts a crash for each job of the call; a job that was in progress at too many is rejected.
void record_crash(packer& state, const open_call& call, instant now, packer_effects& out) {
    std::set<job_id> jobs;
    for (const called_piece& piece : call.pieces) {
        jobs.insert(piece.job);
    }
    for (const job_id& id : jobs) {
        const auto found = state.jobs.find(id);
        if (found != state.jobs.end() && ++found->second.crashes >= max_crashes_per_job) {
            reject_job(state, id, pieces_verdict::failed, now, out);
        }
    }
}

void on_call_failed(packer& state, const call_failed& incoming, instant now, packer_effects& out) {
    const auto call = close_call(state, incoming.call);
    if (!call) {
        return;
    }
    const auto upstream = state.upstreams.find(call->upstream);
    if (upstream != state.upstreams.end()) {
        back_off(upstream->second, now);
        if (incoming.why != call_failure::refused) {
            upstream->second.stored_results.clear();
        }
    }
    for (const called_piece& piece : call->pieces) {
        requeue(state, *call, piece);
    }
    if (incoming.why == call_failure::crashed) {
        record_crash(state, *call, now, out);
    }
}

void apply_received_directives(packer& state, const directives_received& received, instant now) {
    const auto upstream = state.upstreams.find(received.upstream);
    if (upstream != state.upstreams.end()) {
        (void)apply_directives(upstream->second.directives, received.directives, received.sent_at,
                               now);
    }
}

void update_pool(packer& state, const pool_changed& incoming) {
    state.limits = incoming.limits;
    std::set<upstream_id> listed_ids;
    for (const pool_upstream& upstream : incoming.upstreams) {
        listed_ids.insert(upstream.id);
        packer_upstream& known = state.upstreams[upstream.id];
        known.value = upstream;
        set_incarnation(known.directives, upstream.started_at_ms);
    }
    std::erase_if(state.upstreams,
                  [&](const auto& entry) { return !listed_ids.contains(entry.first); });
}

void expire_results(packer& state, instant now) {
    for (auto& [id, upstream] : state.upstreams) {
        std::erase_if(upstream.stored_results,
                      [&](const auto& entry) { return now >= entry.second.expires_at; });
    }
}

//! Requeues the pieces of timed-out calls for other upstreams and backs off the called upstreams.
void requeue_overdue_calls(packer& state, instant now) {
    for (auto& [number, call] : state.calls) {
        const auto upstream = state.upstreams.find(call.upstream);
        const double slowdown =
            upstream == state.upstreams.end() ? 1 : std::max(1.0, upstream->second.slowdown);
        const auto timeout = to_milliseconds(static_cast<double>(call.expected_duration.count()) *
                                             overdue_factor * slowdown) +
                             overdue_slack;
        if (call.is_overdue || now < call.started_at + timeout) {
            continue;
        }
        for (const called_piece& piece : call.pieces) {
            requeue(state, call, piece);
        }
        call.is_overdue = true;
        if (upstream != state.upstreams.end()) {
            back_off(upstream->second, now);
        }
    }
}

void reject_infeasible_jobs(packer& state, instant now, packer_effects& out) {
    const auto min_duration = detail::call_duration(state.limits, 1);
    std::vector<std::pair<job_id, bool>> infeasible;  // and whether it is beyond its share
    for (const auto& [open, end] : detail::expected_ends(state, now)) {
        const stage_job& job = open->job;
        // A job past its soft deadline is served last; it is kept only while it is expected to
        // complete before its hard deadline.
        const bool is_infeasible =
            end > job.soft_deadline && detail::late_end(state, job, end, now) > job.hard_deadline;
        if ((is_infeasible && !detail::is_started(*open)) ||
            now + min_duration > job.hard_deadline) {
            infeasible.emplace_back(job.id, open->is_beyond_share);
        }
    }
    if (infeasible.empty()) {
        return;
    }
    const milliseconds within = retry_delay(state, false, now);
    const milliseconds beyond = retry_delay(state, true, now);
    for (const auto& [id, is_beyond] : infeasible) {
        reject_job(state, id, pieces_verdict::overloaded, is_beyond ? beyond : within, now, out);
    }
}

//! Runs the checks that depend only on time. They run per tick, since per event their cost would
//! grow with the square of the size of a burst.
void on_tick(packer& state, instant now, packer_effects& out) {
    expire_results(state, now);
    requeue_overdue_calls(state, now);
    detail::mark_jobs_beyond_share(state, now);
    reject_infeasible_jobs(state, now, out);
}

call_item make_item(const open_job& open, int piece, instant now) {
    const stage_job& job = open.job;
    const auto left = job.hard_deadline - now;
    return {job.request, job.stage, piece, left, job.key, job.inputs, job.crash_key};
}

void start_calls(packer& state, instant now, packer_effects& out) {
    detail::job_queue queue;
    for (auto& [id, upstream] : state.upstreams) {
        if (upstream.call != 0 || !detail::is_usable(upstream, now) ||
            time_to_next_request(upstream.directives, only_packer, now) > 0ms) {
            continue;
        }
        if (queue.jobs.empty()) {
            detail::mark_jobs_beyond_share(state, now);
            queue = detail::rank_jobs(state, now);
        }
        if (queue.waiting_pieces <= 0) {
            return;
        }
        auto pieces = detail::select_pieces(state, upstream, queue, now);
        queue.waiting_pieces -= static_cast<int>(pieces.size());
        if (pieces.empty()) {
            continue;
        }
        make_call call{++state.last_call_number,           id, upstream.value.address,
                       upstream.value.started_at_ms,       {}, queue.waiting_pieces,
                       detail::held_bytes(state, upstream)};
        for (const called_piece& piece : pieces) {
            open_job& open = state.jobs.at(piece.job);
            open.progress[static_cast<std::size_t>(piece.piece)] = piece_progress::in_call;
            record_served(state.shares, open.job.workspace,
                          detail::work_of(state.limits, open.job, 1), now);
            call.items.push_back(make_item(open, piece.piece, now));
        }
        const auto expected_duration =
            detail::call_duration(state.limits, static_cast<int>(pieces.size()));
        upstream.call = call.number;
        record_request(upstream.directives, now);
        state.calls[call.number] = {id, std::move(pieces), now, expected_duration, false};
        out.emplace_back(std::in_place_type<make_call>, std::move(call));
    }
}

}  // namespace

bool has_open_work(const packer& state) {
    return !state.jobs.empty() || !state.calls.empty() ||
           std::ranges::any_of(state.upstreams, [](const auto& entry) {
               return !entry.second.deferred_releases.empty();
           });
}

std::vector<packer_effect> reduce(packer& state, const packer_event& incoming, instant now) {
    packer_effects out;
    std::visit(
        overloaded{
            [&](const job_submitted& submitted) { submit_job(state, submitted, now, out); },
            [&](const job_cancelled& cancelled) { remove_job(state, cancelled.id, now, out); },
            [&](const job_withdrawn& withdrawn) { withdraw_job(state, withdrawn.id, out); },
            [&](const requester_ended& ended) {
                remove_requester(state, ended.requester, now, out);
            },
            [&](const results_released& released) {
                release_stored_results(state, released.results, now, out);
            },
            [&](const call_answered& answered) { on_call_answered(state, answered, now, out); },
            [&](const call_failed& failed) { on_call_failed(state, failed, now, out); },
            [&](const directives_received& received) {
                apply_received_directives(state, received, now);
            },
            [&](const pool_changed& changed) { update_pool(state, changed); },
            [&](const packer_tick&) { on_tick(state, now, out); },
        },
        incoming);
    send_deferred_releases(state, now, out);
    start_calls(state, now, out);
    return out;
}

}  // namespace cyclamenmount
