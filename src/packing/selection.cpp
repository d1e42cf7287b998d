#include "packing/internal/selection.h"

#include "packing/internal/job_shares.h"
#include "types/numeric.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cyclamenmount::detail {

namespace {

//! Smallest transfer between zones for which a job waits for an upstream in its preferred zone, and
//! the longest wait per MB and in total. Transferring 1 GB between zones costs about as much as 20
//! requests are worth, so saving 1 MB justifies the deadline risk of a wait of about 100 ms.
constexpr std::uint64_t min_zone_wait_bytes = 400'000;
constexpr double zone_wait_ms_per_mb = 100;
constexpr double max_zone_wait_ms = 600;
//! Fraction of an upstream's result memory that is allocated; result sizes are approximate.
constexpr double usable_memory_fraction = 0.92;
//! Approximate time in which an upstream frees the results of other packers.
constexpr milliseconds other_packers_result_lifetime{1500};
//! An upstream with at least this slowdown factor gets only pieces that faster upstreams can't
//! complete sooner.
constexpr double slow_upstream_threshold = 1.8;
constexpr double bytes_per_mb = 1e6;

//! Time constant of the smoothed rate of arrivals; a few calls long, so that a burst shows at once.
constexpr double arrival_smoothing_ms = 1500;
//! Utilization by on-time jobs from which jobs that have missed their soft deadline aren't started.
constexpr double saturated_utilization = 0.95;
//! Utilization that is assumed at most for requests with completed stages, whose work would be
//! lost.
constexpr double max_started_utilization = 0.8;

double decay_since(instant earlier, instant now) {
    return std::exp(-static_cast<double>((now - earlier).count()) / arrival_smoothing_ms);
}

//! Duration of a call at an upstream: the nominal duration times the upstream's slowdown factor.
milliseconds scale_duration(milliseconds duration, double slowdown) {
    return to_milliseconds(static_cast<double>(duration.count()) * slowdown);
}

//! Sort key of jobs; the smallest is served first. Jobs that can still meet their soft deadline
//! come first, then those of requests with more completed stages, then those within the shares of
//! their workspaces, then those of higher priority.
struct urgency {
    bool is_late;       //!< can no longer meet its soft deadline, and no call has taken a piece
    int negated_depth;  //!< minus the job's depth: requests with more completed stages sort first
    bool is_beyond_share;
    int priority;
    instant soft_deadline;
    const job_id* id;

    bool operator<(const urgency& other) const {
        return std::tie(is_late, negated_depth, is_beyond_share, priority, soft_deadline, *id) <
               std::tie(other.is_late, other.negated_depth, other.is_beyond_share, other.priority,
                        other.soft_deadline, *other.id);
    }
};

urgency urgency_of(const packer& state, const stage_job& job, bool is_beyond_share, instant now) {
    const auto duration = call_duration(state.limits, std::min(job.pieces, state.limits.batch));
    return {now + duration > job.soft_deadline,
            -job.depth,
            is_beyond_share,
            job.priority,
            job.soft_deadline,
            &job.id};
}

//! A started job is completed even if it is late: its results hold memory until then.
urgency urgency_of(const packer& state, const open_job& open, instant now) {
    urgency own = urgency_of(state, open.job, open.is_beyond_share, now);
    own.is_late = own.is_late && !is_started(open);
    return own;
}

instant next_free_time(const packer& state, const packer_upstream& upstream, instant now) {
    const auto call = state.calls.find(upstream.call);
    if (upstream.call == 0 || call == state.calls.end()) {
        return now;
    }
    return std::max(now, call->second.started_at +
                             scale_duration(call->second.expected_duration, upstream.slowdown));
}

//! True if the job should wait for an upstream in its preferred zone: one becomes free within the
//! longest wait and can still complete the job by its soft deadline.
bool should_wait_for_zone(const packer& state, const packer_upstream& upstream,
                          const stage_job& job, instant now) {
    if (job.zone.empty() || job.zone == upstream.value.zone ||
        job.bytes_to_zone < min_zone_wait_bytes) {
        return false;
    }
    const auto max_wait = to_milliseconds(
        std::min(max_zone_wait_ms,
                 zone_wait_ms_per_mb * static_cast<double>(job.bytes_to_zone) / bytes_per_mb));
    for (const auto& [id, other] : state.upstreams) {
        if (other.value.zone != job.zone || !is_usable(other, now) ||
            other.slowdown >= slow_upstream_threshold) {
            continue;
        }
        const instant starts_at = next_free_time(state, other, now);
        const instant completed_at = starts_at + call_duration_at(state, other, job.pieces);
        if (starts_at - now <= max_wait && completed_at <= job.soft_deadline) {
            return true;
        }
    }
    return false;
}

//! Number of pieces that faster upstreams complete during one full call of a slow upstream.
int pieces_completed_by_faster(const packer& state, const packer_upstream& slow, instant now) {
    const auto duration = call_duration_at(state, slow, state.limits.batch);
    int pieces = 0;
    for (const auto& [id, other] : state.upstreams) {
        if (id == slow.value.id || !is_usable(other, now) || other.slowdown >= slow.slowdown) {
            continue;
        }
        const auto left = duration - (next_free_time(state, other, now) - now);
        const auto call_length = call_duration_at(state, other, state.limits.batch);
        if (left >= call_length && call_length.count() > 0) {
            pieces += static_cast<int>(left / call_length) * state.limits.batch;
        }
    }
    return pieces;
}

void append_waiting_pieces(const open_job& open, int max_count,
                           std::vector<called_piece>& selected) {
    int left = max_count;
    for (std::size_t i = 0; i < open.progress.size() && left > 0; ++i) {
        if (open.progress[i] == piece_progress::waiting) {
            selected.push_back({open.job.id, static_cast<int>(i), open.job.result_bytes});
            --left;
        }
    }
}

//! Estimated bytes held by results of other packers; decreases linearly to 0 as they expire.
std::uint64_t other_packers_bytes(const packer_upstream& upstream, instant now) {
    const auto age = now - upstream.other_packers_estimated_at;
    if (upstream.other_packers_bytes == 0 || age >= other_packers_result_lifetime) {
        return 0;
    }
    const double left =
        1 - static_cast<double>(age.count()) / other_packers_result_lifetime.count();
    return truncate_to<std::uint64_t>(static_cast<double>(upstream.other_packers_bytes) * left);
}

//! True if more pieces wait than fit into two full calls. Jobs are then split to fill calls;
//! otherwise the pieces of a job stay in one call, since their results are used together.
bool must_fill_calls(const packer& state, const job_queue& queue) {
    return queue.waiting_pieces > 2 * state.limits.batch;
}

//! Work that ranks before a job, and the job itself.
struct work_amount {
    int pieces{0};
    std::uint64_t bytes{0};  //!< results of the pieces
};

//! Forecast of completion times: pieces are packed into full calls, and each call goes to the
//! usable upstream that becomes free first. Results that fill the memory are made at the rate at
//! which earlier ones are released.
class call_schedule {
public:
    call_schedule(const packer& state, instant now) : limits_(state.limits), now_(now) {
        const std::uint64_t capacity = result_capacity(state);
        const double held_for_ms =
            state.residence_ms +
            static_cast<double>(call_duration(state.limits, state.limits.batch).count());
        for (const auto& [id, upstream] : state.upstreams) {
            const instant available_at = std::max(now, upstream.directives.no_requests_until);
            if (is_usable(upstream, available_at)) {
                free_.emplace(std::max(next_free_time(state, upstream, now), available_at),
                              effective_slowdown(state, upstream));
                free_bytes_ += capacity - std::min(capacity, held_bytes(state, upstream));
                bytes_per_ms_ += static_cast<double>(capacity) / held_for_ms;
            }
        }
    }

    //! Time when the work is completed; instant::max() without a usable upstream.
    instant completion_time(const work_amount& work) {
        if (free_.empty()) {
            return instant::max();
        }
        if (work.pieces <= 0) {
            return std::max(now_, memory_time(work.bytes));
        }
        return std::max(call_time(work.pieces),
                        memory_time(work.bytes) + call_duration(limits_, 1));
    }

private:
    using call_start = std::pair<instant, double>;  // start time and the upstream's slowdown factor

    //! Time from which the memory can hold all these results, as earlier ones are released.
    [[nodiscard]] instant memory_time(std::uint64_t bytes) const {
        if (bytes <= free_bytes_ || bytes_per_ms_ <= 0) {
            return now_;
        }
        return now_ + to_milliseconds(static_cast<double>(bytes - free_bytes_) / bytes_per_ms_);
    }

    //! Time when the first `pieces` pieces are completed if there is memory for them.
    instant call_time(int pieces) {
        const int batch = std::max(limits_.batch, 1);
        const auto last = static_cast<std::size_t>((pieces - 1) / batch);
        while (starts_.size() <= last) {
            add_call(batch);
        }
        const auto [at, slowdown] = starts_[last];
        return at + scale_duration(call_duration(limits_, pieces - static_cast<int>(last) * batch),
                                   slowdown);
    }

    void add_call(int batch) {
        const call_start next = *free_.begin();
        free_.erase(free_.begin());
        free_.emplace(next.first + scale_duration(call_duration(limits_, batch), next.second),
                      next.second);
        starts_.push_back(next);
    }

    const stage_limits& limits_;
    instant now_;
    std::uint64_t free_bytes_{0};
    double bytes_per_ms_{0};  // rate at which memory is released while it is full
    // Next free time of each usable upstream, after the calls in `starts_`.
    std::multiset<call_start> free_;
    std::vector<call_start> starts_;  // scheduled calls, by start time
};

bool has_small_job_results(const packer& state, const stage_job& job) {
    return has_small_results(state.limits,
                             job.result_bytes * static_cast<std::uint64_t>(job.pieces));
}

//! Adds the waiting pieces of a job that ranks before another one. Those with large results don't
//! delay a job with small ones when the memory is full, as it passes them.
void add_work_ahead(work_amount& work, const packer& state, const open_job& open,
                    bool for_small_results) {
    const int waiting = count_waiting_pieces(open);
    const bool is_small = has_small_job_results(state, open.job);
    if (is_small || !for_small_results) {
        work.pieces += waiting;
    }
    if (!for_small_results) {
        work.bytes += is_small ? 0 : open.job.result_bytes * static_cast<std::uint64_t>(waiting);
    }
}

int pieces_that_fit(std::uint64_t free_bytes, std::uint64_t piece_bytes, int wanted) {
    if (piece_bytes == 0) {
        return wanted;
    }
    return static_cast<int>(
        std::min<std::uint64_t>(free_bytes / piece_bytes, static_cast<std::uint64_t>(wanted)));
}

}  // namespace

std::uint64_t result_capacity(const stage_limits& limits) {
    return truncate_to<std::uint64_t>(limits.result_mb * bytes_per_mb * usable_memory_fraction);
}

std::uint64_t result_capacity(const packer& state) {
    return result_capacity(state.limits);
}

milliseconds call_duration(const stage_limits& limits, int pieces) {
    return to_milliseconds(limits.call_ms + limits.piece_ms * pieces);
}

milliseconds call_duration_at(const packer& state, const packer_upstream& upstream, int pieces) {
    const int in_call = std::min(pieces, state.limits.batch);
    return scale_duration(call_duration(state.limits, in_call), upstream.slowdown);
}

bool is_usable(const packer_upstream& upstream, instant now) {
    return now >= upstream.backoff_until && now >= upstream.directives.no_requests_until &&
           !upstream.directives.is_leaving;
}

double effective_slowdown(const packer& state, const packer_upstream& upstream) {
    const double limit = upstream.directives.max_per_second.value_or(0);
    const auto full_call =
        static_cast<double>(call_duration(state.limits, state.limits.batch).count());
    if (limit <= 0 || full_call <= 0) {
        return upstream.slowdown;
    }
    constexpr double ms_per_second = 1000;
    return std::max(upstream.slowdown, ms_per_second / limit / full_call);
}

std::uint64_t held_bytes(const packer& state, const packer_upstream& upstream) {
    std::uint64_t bytes = 0;
    for (const auto& [result, held] : upstream.stored_results) {
        bytes += held.bytes;
    }
    const auto call = state.calls.find(upstream.call);
    if (upstream.call != 0 && call != state.calls.end()) {
        for (const called_piece& piece : call->second.pieces) {
            bytes += piece.bytes;
        }
    }
    return bytes;
}

double utilization(const packer& state, instant now) {
    double pieces_per_ms = 0;
    double bytes_per_ms = 0;
    const auto full_call =
        static_cast<double>(call_duration(state.limits, state.limits.batch).count());
    for (const auto& [id, upstream] : state.upstreams) {
        if (is_usable(upstream, now)) {
            pieces_per_ms += state.limits.batch / (full_call * effective_slowdown(state, upstream));
            bytes_per_ms +=
                static_cast<double>(result_capacity(state)) / (state.residence_ms + full_call);
        }
    }
    if (pieces_per_ms <= 0 || bytes_per_ms <= 0) {
        return 1;
    }
    const work_rate& arrivals = state.on_time_arrivals;
    const double decay = decay_since(arrivals.updated_at, now);
    return decay *
           std::max(arrivals.pieces_per_ms / pieces_per_ms, arrivals.bytes_per_ms / bytes_per_ms);
}

void record_arrival(packer& state, const stage_job& job, instant now) {
    work_rate& rate = state.on_time_arrivals;
    const double decay = decay_since(rate.updated_at, now);
    const auto bytes = static_cast<double>(job.result_bytes) * job.pieces;
    const double large_bytes = has_small_job_results(state, job) ? 0 : bytes;
    rate.pieces_per_ms = rate.pieces_per_ms * decay + job.pieces / arrival_smoothing_ms;
    rate.bytes_per_ms = rate.bytes_per_ms * decay + large_bytes / arrival_smoothing_ms;
    rate.updated_at = now;
}

instant late_end(const packer& state, const stage_job& job, instant end, instant now) {
    if (end == instant::max()) {
        return end;
    }
    const double load = utilization(state, now);
    if (job.depth == 0 && load >= saturated_utilization) {
        return instant::max();
    }
    const double spare = 1 - std::min(load, max_started_utilization);
    return now + to_milliseconds(static_cast<double>((end - now).count()) / spare);
}

bool is_started(const open_job& open) {
    return std::ranges::any_of(
        open.progress, [](piece_progress piece) { return piece != piece_progress::waiting; });
}

int count_waiting_pieces(const open_job& open) {
    return static_cast<int>(
        std::count(open.progress.begin(), open.progress.end(), piece_progress::waiting));
}

job_queue rank_jobs(const packer& state, instant now) {
    std::vector<std::pair<urgency, const open_job*>> ranked;
    job_queue queue;
    for (const auto& [id, open] : state.jobs) {
        const int waiting = count_waiting_pieces(open);
        if (waiting > 0) {
            ranked.emplace_back(urgency_of(state, open, now), &open);
            queue.waiting_pieces += waiting;
        }
    }
    std::ranges::sort(ranked, [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [rank, open] : ranked) {
        queue.jobs.push_back(open);
    }
    return queue;
}

std::vector<called_piece> select_pieces(const packer& state, const packer_upstream& upstream,
                                        const job_queue& queue, instant now) {
    std::vector<called_piece> selected;
    int pieces_to_skip = upstream.slowdown >= slow_upstream_threshold
                             ? pieces_completed_by_faster(state, upstream, now)
                             : 0;
    const std::uint64_t capacity = result_capacity(state);
    const std::uint64_t held = held_bytes(state, upstream) + other_packers_bytes(upstream, now);
    std::uint64_t free_bytes = capacity > held ? capacity - held : 0;
    const bool may_split_jobs = must_fill_calls(state, queue);
    for (const open_job* const open : queue.jobs) {
        const int waiting = count_waiting_pieces(*open);
        if (waiting == 0) {
            continue;  // selected for another upstream since the queue was ranked
        }
        if (pieces_to_skip > 0) {
            pieces_to_skip -= waiting;
            continue;
        }
        const stage_job& job = open->job;
        const auto duration = call_duration_at(state, upstream, job.pieces);
        const int remaining_capacity = state.limits.batch - static_cast<int>(selected.size());
        if (remaining_capacity <= 0) {
            break;
        }
        if (now + duration > job.hard_deadline || should_wait_for_zone(state, upstream, job, now)) {
            continue;
        }
        const bool is_suspect = open->crashes > 0;
        if (is_suspect && !selected.empty()) {
            continue;
        }
        const bool is_split = remaining_capacity < waiting && waiting <= state.limits.batch;
        if (is_split && !may_split_jobs) {
            continue;
        }
        // A job larger than the free memory is served in parts; it might never fit as a whole.
        const int count =
            pieces_that_fit(free_bytes, job.result_bytes, std::min(remaining_capacity, waiting));
        append_waiting_pieces(*open, count, selected);
        free_bytes -= static_cast<std::uint64_t>(count) * job.result_bytes;
        if (is_suspect && !selected.empty()) {
            break;
        }
    }
    return selected;
}

double work_before_in_workspace(const packer& state, const stage_job& job, instant now) {
    const urgency own = urgency_of(state, job, false, now);
    double work = 0;
    for (const auto& [id, open] : state.jobs) {
        if (open.job.workspace != job.workspace) {
            continue;
        }
        urgency other = urgency_of(state, open, now);
        other.is_beyond_share = false;
        if (other < own) {
            work += work_of(state.limits, open.job, count_waiting_pieces(open));
        }
    }
    return work;
}

instant expected_end(const packer& state, const stage_job& job, bool is_beyond_share, instant now) {
    const urgency own = urgency_of(state, job, is_beyond_share, now);
    const auto pieces = static_cast<std::uint64_t>(std::max(job.pieces, 0));
    // A job without pieces stands for the end of the queue; the size of one result tells which.
    const bool is_small =
        has_small_results(state.limits, job.result_bytes * std::max<std::uint64_t>(pieces, 1));
    work_amount work{job.pieces, 0};
    for (const auto& [id, open] : state.jobs) {
        if (urgency_of(state, open, now) < own) {
            add_work_ahead(work, state, open, is_small);
        }
    }
    work.bytes += is_small ? 0 : job.result_bytes * pieces;
    return call_schedule(state, now).completion_time(work);
}

std::vector<job_forecast> expected_ends(const packer& state, instant now) {
    call_schedule schedule(state, now);
    std::vector<job_forecast> forecasts;
    work_amount small_ahead;
    work_amount all_ahead;
    for (const open_job* const open : rank_jobs(state, now).jobs) {
        const bool is_small = has_small_job_results(state, open->job);
        add_work_ahead(small_ahead, state, *open, true);
        add_work_ahead(all_ahead, state, *open, false);
        forecasts.push_back({open, schedule.completion_time(is_small ? small_ahead : all_ahead)});
    }
    return forecasts;
}

}  // namespace cyclamenmount::detail
