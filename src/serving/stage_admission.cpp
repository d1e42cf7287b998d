#include "serving/stage_admission.h"

#include "types/numeric.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace cyclamenmount {

namespace {

//! Queueing time from which a pool counts as overloaded for requests of priority 0. A call takes
//! about 250 ms, so a job that arrives at a random time waits 125 ms even without overload.
constexpr milliseconds max_overload_wait{350};
//! Reduction of the overload threshold per priority level, down to the minimum.
constexpr milliseconds overload_wait_step{100};
constexpr milliseconds min_overload_wait{150};

milliseconds overload_wait_for(int priority) {
    return std::max(min_overload_wait, max_overload_wait - overload_wait_step * priority);
}

//! Returns a cost function: the queueing time of an incomplete stage in milliseconds.
auto wait_of_stage(const stage_wait_function& wait) {
    return [&wait](const graph_stage& stage) {
        return is_done(stage) ? 0 : static_cast<double>(wait(stage).count());
    };
}

}  // namespace

milliseconds remaining_time_with_waits(const stage_graph& graph, const serving_config& config,
                                       const stage_wait_function& wait) {
    return to_milliseconds(longest_path(graph, wait_of_stage(wait))) +
           remaining_time(graph, config);
}

milliseconds remaining_time_after_with_waits(const stage_graph& graph, std::size_t stage,
                                             const serving_config& config,
                                             const stage_wait_function& wait) {
    return to_milliseconds(longest_path_after(graph, stage, wait_of_stage(wait))) +
           remaining_time_after(graph, stage, config);
}

std::optional<stage_refusal> check_stage_admission(const stage_graph& graph,
                                                   const serving_config& config,
                                                   const request_timing& times,
                                                   const stage_wait_function& wait) {
    stage_refusal longest;
    for (const graph_stage& stage : graph.stages) {
        if (!is_done(stage) && wait(stage) > longest.retry_after) {
            longest = {stage.pool, wait(stage)};
        }
    }
    if (longest.retry_after < overload_wait_for(times.priority)) {
        return std::nullopt;
    }
    const milliseconds needed = remaining_time_with_waits(graph, config, wait) + times.final_time;
    if (times.now + needed <= times.objective) {
        return std::nullopt;
    }
    return longest;
}

milliseconds spread_retry_after(milliseconds drained_in, std::uint64_t random) {
    constexpr std::int64_t steps = 64;
    const std::int64_t spread = drained_in.count() / 2;
    const auto step = static_cast<std::int64_t>(random % steps);
    return drained_in + milliseconds(spread * step / steps);
}

milliseconds spread_retry_after(milliseconds drained_in, int priority, milliseconds left,
                                std::uint64_t random) {
    constexpr int bands = 4;
    constexpr std::uint64_t steps = 64;
    const milliseconds spread = drained_in / 2;
    const bool has_time = left > drained_in + spread;
    const int band = has_time ? std::clamp(priority, 0, bands - 1) : 0;
    const auto step = static_cast<std::int64_t>(random % steps);
    return drained_in + spread * band / bands +
           spread * step / (bands * static_cast<std::int64_t>(steps));
}

int competing_priority(int priority, std::string_view request) {
    //! One request in this many competes as the most urgent ones do: more than the quarter that has
    //! to be served, as not each of them is on time and chance picks fewer in a short burst.
    constexpr std::uint64_t raised_divisor = 3;
    const std::uint64_t hash = XXH3_64bits(request.data(), request.size());
    return hash % raised_divisor == 0 ? std::min(priority, 0) : priority;
}

}  // namespace cyclamenmount
