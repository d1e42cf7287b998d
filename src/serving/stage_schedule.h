//! Start times of stages that run beside a longer path of the same request.
//!
//! A result takes up memory of its upstream until the request uses it. A result that is ready early
//! holds memory that other requests need, and is wasted if the request is refused at a later stage.
#pragma once

#include "serving/stage_admission.h"

namespace cyclamenmount {

//! Returns how long the start of a waiting stage can be postponed without delaying the request, by
//! the reported queueing times; 0 for the stages on the longest path.
milliseconds start_slack(const stage_graph& graph, std::size_t stage, const serving_config& config,
                         const stage_wait_function& wait, instant now);

//! Returns the time from which the stage should run: now, unless its results would be ready long
//! before those of the longest path.
instant latest_start(const stage_graph& graph, std::size_t stage, const serving_config& config,
                     const stage_wait_function& wait, instant now);

}  // namespace cyclamenmount
