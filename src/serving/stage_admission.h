//! Admission control for requests with stages, based on the queueing times of their pools.
//!
//! Without it, every request of a burst joins the first queue, all of them reach the last queue
//! late, and the pools keep processing late work long after the burst.
#pragma once

#include "serving/stage_graph.h"

#include <functional>
#include <optional>
#include <string_view>

namespace cyclamenmount {

//! Timing of one request, for the decision whether to start its stages.
struct request_timing {
    instant now{};
    instant objective{};         //!< latest time at which the response meets its objective
    milliseconds final_time{0};  //!< time from the end of the last stage to the first event
    int priority{0};             //!< 0 is the most urgent priority
};

//! Refusal of a request before any of its stages starts.
struct stage_refusal {
    pool_name pool;               //!< pool with the longest queueing time
    milliseconds retry_after{0};  //!< queueing time of that pool
};

//! Returns the queueing time of the job of a stage at its pool.
using stage_wait_function = std::function<milliseconds(const graph_stage&)>;

//! Returns the time in which the incomplete stages can finish: the queueing times on the longest
//! path plus the shortest processing time.
milliseconds remaining_time_with_waits(const stage_graph& graph, const serving_config& config,
                                       const stage_wait_function& wait);

//! Returns the remaining time, including queueing times, of the stages after `stage`.
milliseconds remaining_time_after_with_waits(const stage_graph& graph, std::size_t stage,
                                             const serving_config& config,
                                             const stage_wait_function& wait);

//! Returns none if the stages may start. Refuses a request that would miss its objective while one
//! of its pools is overloaded. Less urgent requests are refused at a lower load, which leaves
//! capacity to more urgent ones.
std::optional<stage_refusal> check_stage_admission(const stage_graph& graph,
                                                   const serving_config& config,
                                                   const request_timing& times,
                                                   const stage_wait_function& wait);

//! Returns the time after which a refused caller should retry: at least the time in which the queue
//! drains. Callers that are refused together are spread over half as long again by `random`, so
//! that they don't form the next burst.
milliseconds spread_retry_after(milliseconds drained_in, std::uint64_t random);

//! The same for callers of several priorities: the more urgent ones come first, and so do those
//! whose deadline, `left` from now, would pass before the last ones come.
milliseconds spread_retry_after(milliseconds drained_in, int priority, milliseconds left,
                                std::uint64_t random);

//! Priority of a request in the competition for scarce stages. A fixed part of the requests of each
//! priority competes as the most urgent one, so that no kind of request is served less than about a
//! quarter as often as all. The same for all stages of a request, on all instances.
int competing_priority(int priority, std::string_view request);

}  // namespace cyclamenmount
