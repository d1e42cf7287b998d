#include "packing/packing_agent.h"

#include "coordination/roster/roster.h"
#include "packing/internal/agent.h"
#include "types/numeric.h"
#include "types/overloaded.h"

#include <algorithm>
#include <optional>

namespace cyclamenmount {

namespace detail {

bool is_member(const packing_agent& state, const std::string& address) {
    return state.view && std::ranges::find(state.view->members, address, &member::address) !=
                             state.view->members.end();
}

bool is_self(const packing_agent& state, const std::string& address) {
    return address == state.self.address;
}

bool is_skipped(const packing_agent& state, const std::string& address, instant now) {
    const auto found = state.peers.find(address);
    if (found == state.peers.end()) {
        return false;
    }
    const peer_health& health = found->second;
    return health.is_unresponsive || now < health.not_ready_until ||
           !health.stopping_process.empty();
}

send_to_peer make_message_to(const std::string& address, peer_message message) {
    return {{{}, address, {}}, std::move(message)};
}

pieces_request to_request(const packing_agent& state, const outstanding_job& outstanding,
                          instant now) {
    const stage_job& job = outstanding.job;
    pieces_request message;
    message.number = job.id.number;
    message.pool = outstanding.pool;
    message.request = job.request;
    message.stage = job.stage;
    message.pieces = job.pieces;
    message.key = job.key;
    if (job.inputs) {
        message.inputs = *job.inputs;
    }
    message.result_bytes = job.result_bytes;
    message.aim_in = job.soft_deadline - now;
    message.needed_in = job.hard_deadline - now;
    message.priority = job.priority;
    message.depth = job.depth;
    message.zone = job.zone;
    message.bytes_to_zone = job.bytes_to_zone;
    message.address = state.self.address;
    message.crash_key = job.crash_key;
    message.workspace = job.workspace;
    return message;
}

namespace {

//! Handles the reply to a job of this instance: ends the job, or submits it again if it was
//! returned.
void end_job(packing_agent& state, std::uint64_t number, pieces_reply reply, instant now,
             packing_agent_effects& out) {
    const auto found = state.outstanding.find(number);
    if (found == state.outstanding.end()) {
        return;
    }
    if (reply.verdict == pieces_verdict::returned) {
        assign_job(state, number, now, out);
        return;
    }
    state.reported_waits[found->second.pool] = {
        {reply.call_waits, reply.memory_waits, reply.drained_in, reply.beyond_share}, now};
    peer_health& health = state.peers[found->second.assigned_address];
    health.last_reply_at = now;
    health.unanswered_since = {};
    health.not_ready_pause = 0ms;
    state.outstanding.erase(found);
    reply.number = number;
    out.push_back(job_ended{number, std::move(reply)});
}

//! Sends the reply to the requester of the job: this instance or a peer.
void send_reply(packing_agent& state, const job_id& id, pieces_reply reply, instant now,
                packing_agent_effects& out) {
    if (id.requester == state.self.id) {
        end_job(state, id.number, std::move(reply), now, out);
        return;
    }
    const auto requester = state.requesters.find(id.requester);
    if (requester != state.requesters.end()) {
        reply.number = id.number;
        out.push_back(send_to_peer{requester->second, std::move(reply)});
    }
}

}  // namespace

void run_packer(packing_agent& state, const pool_name& pool, const packer_event& incoming,
                instant now, packing_agent_effects& out) {
    packer& pool_packer = state.packers[pool];
    std::optional<queueing_times> cached_waits;  // computed at most once for all effects
    const auto set_waits = [&](pieces_reply& reply) {
        if (!cached_waits) {
            cached_waits = waiting_times(pool_packer, now);
        }
        reply.call_waits = cached_waits->for_calls;
        reply.memory_waits = cached_waits->for_memory;
        reply.drained_in = cached_waits->until_drained;
        reply.beyond_share = cached_waits->beyond_share;
        reply.pool_wait = std::max(reply.call_waits.back(), reply.memory_waits.back());
    };
    for (packer_effect& effect : reduce(pool_packer, incoming, now)) {
        std::visit(overloaded{
                       [&](make_call& call) {
                           out.push_back(call_stage{pool, std::move(call)});
                       },
                       [&](release_results& unused) { out.push_back(std::move(unused)); },
                       [&](job_completed& completed) {
                           pieces_reply reply;
                           reply.verdict = pieces_verdict::made;
                           reply.results = std::move(completed.results);
                           reply.zone = completed.zone;
                           set_waits(reply);
                           send_reply(state, completed.id, std::move(reply), now, out);
                       },
                       [&](const job_returned& returned) {
                           pieces_reply reply;
                           reply.verdict = pieces_verdict::returned;
                           set_waits(reply);
                           send_reply(state, returned.id, std::move(reply), now, out);
                       },
                       [&](job_rejected& rejected) {
                           pieces_reply reply;
                           reply.verdict = rejected.why;
                           reply.retry_after = rejected.retry_after;
                           set_waits(reply);
                           send_reply(state, rejected.id, std::move(reply), now, out);
                       },
                   },
                   effect);
    }
}

void assign_job(packing_agent& state, std::uint64_t number, instant now,
                packing_agent_effects& out) {
    outstanding_job& outstanding = state.outstanding.at(number);
    outstanding.assigned_address = packer_address(state, outstanding.pool, now);
    outstanding.submitted_at = now;
    outstanding.is_withdrawn = false;
    if (is_self(state, outstanding.assigned_address)) {
        // A copy, since the packer may end the job at once, which erases it from `outstanding`.
        const job_submitted submitted{outstanding.job};
        const pool_name pool = outstanding.pool;
        run_packer(state, pool, submitted, now, out);
        return;
    }
    out.push_back(
        make_message_to(outstanding.assigned_address, to_request(state, outstanding, now)));
}

}  // namespace detail

namespace {

using detail::packing_agent_effects;
using detail::run_packer;

//! A reported wait is ignored at this age: about two calls have ended since.
constexpr milliseconds max_wait_report_age{600};

//! Largest result of a piece that is expected, in bytes, so that the sum of a job's results doesn't
//! overflow.
constexpr std::uint64_t max_result_bytes = 1'000'000'000'000;

//! True if this process can run packers: it has the configuration and the list of upstreams.
bool can_run_packers(const packing_agent& state) {
    return state.view && state.view->config && state.view->upstreams_known;
}

stage_job to_job(const pieces_request& message, const instance_id& requester, instant now) {
    stage_job job;
    job.id = {requester, message.number};
    job.request = message.request;
    job.stage = message.stage;
    job.pieces = message.pieces;
    job.key = message.key;
    if (!message.inputs.empty()) {
        job.inputs = std::make_shared<const std::vector<std::string>>(message.inputs);
    }
    job.result_bytes = std::min(message.result_bytes, max_result_bytes);
    job.soft_deadline = now + std::clamp(message.aim_in, -max_time, max_time);
    job.hard_deadline = now + std::clamp(message.needed_in, -max_time, max_time);
    job.priority = message.priority;
    job.depth = message.depth;
    job.zone = message.zone;
    job.bytes_to_zone = message.bytes_to_zone;
    job.crash_key = message.crash_key;
    job.workspace = message.workspace;
    return job;
}

void abandon_job(packing_agent& state, std::uint64_t number, instant now,
                 packing_agent_effects& out) {
    const auto found = state.outstanding.find(number);
    if (found == state.outstanding.end()) {
        return;
    }
    const outstanding_job outstanding = found->second;
    state.outstanding.erase(found);
    if (detail::is_self(state, outstanding.assigned_address)) {
        run_packer(state, outstanding.pool, job_cancelled{outstanding.job.id}, now, out);
        return;
    }
    out.push_back(detail::make_message_to(outstanding.assigned_address,
                                          pieces_cancel{outstanding.pool, number}));
}

//! Addresses whose stopping process was replaced by another one get jobs again.
void clear_replaced_processes(packing_agent& state) {
    for (const member& instance : state.view->members) {
        const auto peer = state.peers.find(instance.address);
        if (peer != state.peers.end() && peer->second.stopping_process != instance.id) {
            peer->second.stopping_process = {};
        }
    }
}

//! Limits of the pools to pack for. Jobs of requests that were admitted earlier may wait for a pool
//! that the configuration no longer has, so its packer keeps its limits.
std::map<pool_name, stage_limits> packed_pools(const packing_agent& state,
                                               const serving_config& config) {
    std::map<pool_name, stage_limits> pools;
    for (const auto& [name, hosted] : state.packers) {
        if (!hosted.upstreams.empty()) {
            pools.emplace(name, hosted.limits);
        }
    }
    for (const auto& [name, limits] : config.pools) {
        if (limits.stage) {
            pools.insert_or_assign(name, *limits.stage);
        }
    }
    return pools;
}

void apply_view(packing_agent& state, const fleet_view_ptr& view, instant now,
                packing_agent_effects& out) {
    state.view = view;
    clear_replaced_processes(state);
    if (!view->config) {
        return;
    }
    for (const auto& [name, limits] : packed_pools(state, *view->config)) {
        pool_changed changed{limits, {}};
        const auto upstreams = view->pools.find(name);
        if (upstreams != view->pools.end()) {
            for (const serving_upstream& upstream : upstreams->second) {
                changed.upstreams.push_back(
                    {upstream.id, upstream.address, upstream.zone, upstream.started_at_ms});
            }
        }
        run_packer(state, name, changed, now, out);
    }
}

void on_message(packing_agent& state, const packing_message_received& received, instant now,
                packing_agent_effects& out) {
    std::visit(
        overloaded{
            [&](const ping& request) {
                detail::note_process(state, {received.from, request.from.address, {}}, now, out);
                if (request.leaving) {
                    detail::on_peer_stopping(state, {received.from, request.from.address, {}}, out);
                }
                pong reply;
                reply.sequence = request.sequence;
                out.push_back(send_to_peer{request.from, reply});
            },
            [&](const pong& reply) {
                detail::on_pong(state, received.from, reply.sequence, now, out);
            },
            [&](const pieces_request& request) {
                detail::note_process(state, {received.from, request.address, {}}, now, out);
                if (!can_run_packers(state)) {
                    pieces_reply reply;
                    reply.verdict = pieces_verdict::not_ready;
                    detail::send_reply(state, {received.from, request.number}, std::move(reply),
                                       now, out);
                    return;
                }
                if (request.pieces > 0) {
                    run_packer(state, request.pool,
                               job_submitted{to_job(request, received.from, now)}, now, out);
                }
            },
            [&](const pieces_cancel& cancelled) {
                run_packer(state, cancelled.pool, job_cancelled{{received.from, cancelled.number}},
                           now, out);
            },
            [&](const pieces_withdraw& withdrawn) {
                run_packer(state, withdrawn.pool, job_withdrawn{{received.from, withdrawn.number}},
                           now, out);
            },
            [&](const pieces_release& unused) {
                run_packer(state, unused.pool, results_released{unused.results}, now, out);
            },
            [&](const pieces_reply& reply) {
                if (reply.verdict == pieces_verdict::not_ready) {
                    detail::on_not_ready(state, received.from, reply.number, now, out);
                    return;
                }
                detail::end_job(state, reply.number, reply, now, out);
            },
            [](const auto& /*other*/) {},
        },
        received.message);
}

void on_tick(packing_agent& state, instant now, packing_agent_effects& out) {
    detail::monitor_peers(state, now, out);
    detail::withdraw_misplaced_jobs(state, now, out);
    std::vector<pool_name> busy;
    for (const auto& [name, pool_packer] : state.packers) {
        if (has_open_work(pool_packer)) {
            busy.push_back(name);
        }
    }
    for (const pool_name& name : busy) {
        run_packer(state, name, packer_tick{}, now, out);
    }
    std::vector<std::uint64_t> expired;
    for (const auto& [number, outstanding] : state.outstanding) {
        if (now > outstanding.job.hard_deadline &&
            !detail::is_self(state, outstanding.assigned_address)) {
            expired.push_back(number);
        }
    }
    for (const std::uint64_t number : expired) {
        pieces_reply reply;
        reply.verdict = pieces_verdict::overloaded;
        state.outstanding.erase(number);
        reply.number = number;
        out.emplace_back(std::in_place_type<job_ended>, job_ended{number, std::move(reply)});
    }
}

//! The last report of a pool's packer; null if it is too old.
const queueing_times* fresh_waits(const packing_agent& state, const pool_name& pool, instant now) {
    const auto found = state.reported_waits.find(pool);
    const bool is_fresh = found != state.reported_waits.end() &&
                          now - found->second.received_at < max_wait_report_age;
    return is_fresh ? &found->second.waits : nullptr;
}

}  // namespace

bool is_reported_beyond_share(const packing_agent& state, const pool_name& pool,
                              const workspace_name& workspace, instant now) {
    const queueing_times* const waits = fresh_waits(state, pool, now);
    return waits != nullptr && !workspace.empty() &&
           std::ranges::find(waits->beyond_share.workspaces, workspace) !=
               waits->beyond_share.workspaces.end();
}

milliseconds reported_wait(const packing_agent& state, const pool_name& pool,
                           const workspace_name& workspace, int priority, std::uint64_t bytes,
                           instant now) {
    const queueing_times* const waits = fresh_waits(state, pool, now);
    if (waits == nullptr || !state.view || !state.view->config) {
        return 0ms;
    }
    const auto limits = state.view->config->pools.find(pool);
    if (limits == state.view->config->pools.end() || !limits->second.stage) {
        return 0ms;
    }
    const bool is_small = has_small_results(*limits->second.stage, bytes);
    const bool is_beyond = is_reported_beyond_share(state, pool, workspace, now);
    const beyond_share_waits& beyond = waits->beyond_share;
    const std::vector<milliseconds>& for_calls = is_beyond ? beyond.call_waits : waits->for_calls;
    const std::vector<milliseconds>& for_memory =
        is_beyond ? beyond.memory_waits : waits->for_memory;
    const std::vector<milliseconds>& by_priority = is_small ? for_calls : for_memory;
    if (by_priority.empty()) {
        return 0ms;
    }
    const auto last = by_priority.size() - 1;
    return by_priority[std::min(last, static_cast<std::size_t>(std::max(priority, 0)))];
}

milliseconds reported_drain_time(const packing_agent& state, const pool_name& pool,
                                 const workspace_name& workspace, instant now) {
    const queueing_times* const waits = fresh_waits(state, pool, now);
    if (waits == nullptr) {
        return 0ms;
    }
    return is_reported_beyond_share(state, pool, workspace, now) ? waits->beyond_share.drained_in
                                                                 : waits->until_drained;
}

std::string packer_address(const packing_agent& state, const pool_name& pool, instant now) {
    const member* best = nullptr;
    std::uint64_t best_weight = 0;
    if (state.view) {
        int max_millicores = 0;
        for (const member& candidate : state.view->members) {
            max_millicores = std::max(max_millicores, candidate.millicores);
        }
        for (const member& candidate : state.view->members) {
            const bool is_too_small = 2 * candidate.millicores < max_millicores;
            const bool is_stopping = state.is_stopping && detail::is_self(state, candidate.address);
            if (is_too_small || is_stopping || detail::is_skipped(state, candidate.address, now)) {
                continue;
            }
            const auto weight = rendezvous_weight({candidate.address}, pool.value);
            if (best == nullptr || weight > best_weight) {
                best = &candidate;
                best_weight = weight;
            }
        }
    }
    return best == nullptr ? state.self.address : best->address;
}

std::vector<packing_agent_effect> reduce(packing_agent& state, const packing_agent_event& incoming,
                                         instant now) {
    packing_agent_effects out;
    std::visit(
        overloaded{
            [&](const view_changed& changed) { apply_view(state, changed.view, now, out); },
            [&](const job_requested& requested) {
                const auto number = requested.job.id.number;
                state.outstanding[number] = {requested.pool, requested.job, {}, {}, false};
                detail::assign_job(state, number, now, out);
            },
            [&](const job_abandoned& abandoned) { abandon_job(state, abandoned.number, now, out); },
            [&](const results_unneeded& unneeded) {
                detail::release_results_of(state, unneeded.pool, unneeded.results, now, out);
            },
            [&](const packing_message_received& received) {
                on_message(state, received, now, out);
            },
            [&](const stage_call_answered& answered) {
                run_packer(state, answered.pool, answered.value, now, out);
            },
            [&](const stage_call_failed& failed) {
                run_packer(state, failed.pool, failed.value, now, out);
            },
            [&](const stage_directives_received& received) {
                run_packer(state, received.pool, received.value, now, out);
            },
            [&](const packing_agent_stopping&) {
                state.is_stopping = true;
                detail::announce_stop(state, out);
            },
            [&](const packing_agent_tick&) { on_tick(state, now, out); },
        },
        incoming);
    detail::reassign_lost_jobs(state, now, out);
    return out;
}

}  // namespace cyclamenmount
