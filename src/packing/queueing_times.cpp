//! Queueing times that a packer reports.
#include "packing/internal/selection.h"
#include "packing/packer.h"
#include "types/numeric.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

//! Utilization that is assumed at most when the time is estimated in which a queue drains.
constexpr double max_drain_utilization = 0.8;
//! Results of a job count as small if an upstream's memory holds at least this many times as much.
constexpr std::uint64_t small_result_divisor = 64;

//! Priorities whose queueing times are told apart.
constexpr int reported_priorities = 4;

//! Workspaces beyond their share that are reported at most, to bound the size of replies.
constexpr std::size_t max_reported_workspaces = 16;

//! Where a new job would rank: after all jobs of its priority that can still meet their soft
//! deadline, and only behind those within their share, or also behind the others.
struct queue_end {
    int priority{0};
    bool is_beyond_share{false};
};

//! Expected completion time of a job at this place in the queue.
instant queue_completion_time(const packer& state, const queue_end& place, int pieces,
                              std::uint64_t bytes, instant now) {
    stage_job last;
    last.pieces = pieces;
    last.result_bytes = bytes;
    last.soft_deadline = instant::max();
    last.priority = place.priority;
    return detail::expected_end(state, last, place.is_beyond_share, now);
}

milliseconds waiting_time(const packer& state, const queue_end& place, std::uint64_t bytes,
                          instant now) {
    const instant end = queue_completion_time(state, place, 1, bytes, now);
    if (end == instant::max()) {
        return detail::max_backoff;
    }
    return std::max(end - now - detail::call_duration(state.limits, 1), 0ms);
}

//! Size of a result that doesn't count as small.
std::uint64_t large_result_bytes(const packer& state) {
    return std::max<std::uint64_t>(1, detail::result_capacity(state) / small_result_divisor + 1);
}

}  // namespace

bool has_small_results(const stage_limits& limits, std::uint64_t bytes) {
    return bytes * small_result_divisor <= detail::result_capacity(limits);
}

queueing_times waiting_times(const packer& state, instant now) {
    queueing_times times;
    beyond_share_waits& beyond = times.beyond_share;
    beyond.workspaces = workspaces_beyond_share(state.shares, max_reported_workspaces, now);
    for (int priority = 0; priority < reported_priorities; ++priority) {
        // The last entry stands for all lower priorities.
        const bool is_last = priority == reported_priorities - 1;
        const int rank = is_last ? std::numeric_limits<int>::max() : priority;
        const std::uint64_t large = large_result_bytes(state);
        times.for_calls.push_back(waiting_time(state, {rank, false}, 0, now));
        times.for_memory.push_back(waiting_time(state, {rank, false}, large, now));
        if (!beyond.workspaces.empty()) {
            beyond.call_waits.push_back(waiting_time(state, {rank, true}, 0, now));
            beyond.memory_waits.push_back(waiting_time(state, {rank, true}, large, now));
        }
    }
    times.until_drained = drain_time(state, false, now);
    if (!beyond.workspaces.empty()) {
        beyond.drained_in = drain_time(state, true, now);
    }
    return times;
}

milliseconds drain_time(const packer& state, bool for_beyond_share, instant now) {
    if (state.upstreams.empty()) {
        return 1000ms;
    }
    const instant end =
        queue_completion_time(state, {std::numeric_limits<int>::max(), for_beyond_share}, 0,
                              large_result_bytes(state), now);
    if (end == instant::max()) {
        return detail::max_backoff;
    }
    const double spare = 1 - std::min(detail::utilization(state, now), max_drain_utilization);
    return to_milliseconds(static_cast<double>((end - now).count()) / spare);
}

}  // namespace cyclamenmount
