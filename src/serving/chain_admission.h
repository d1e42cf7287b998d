//! Whether a request's stages should be begun, given what waits at the pools ahead.
//!
//! Without it, every request of a burst joins the first queue, all of them reach the last one late,
//! and the pools go on with late work long after the burst.
#pragma once

#include "serving/stage_chain.h"

#include <functional>
#include <optional>

namespace cyclamenmount {

struct chain_times {
    instant now{};
    instant objective{};         //!< answered later, the request is worth little
    milliseconds final_time{0};  //!< from the end of the stages to the first event
    int priority{0};             //!< 0 is the most urgent
};

struct chain_refusal {
    pool_name pool;  //!< with the longest wait
    milliseconds retry_after{0};
};

//! Tells what an order at a pool would wait.
using wait_function = std::function<milliseconds(const pool_name&)>;

//! Waits and calls on the longest way through the stages that are still to be made.
milliseconds time_with_waits(const stage_chain& chain, const catalogue& lists,
                             const wait_function& wait);

//! The same for what comes after `stage`.
milliseconds time_after_with_waits(const stage_chain& chain, std::size_t stage,
                                   const catalogue& lists, const wait_function& wait);

//! None if the stages may begin. Refuses what would be late while a pool ahead is overloaded; less
//! urgent requests are refused at a lower load, so that the more urgent ones find room.
std::optional<chain_refusal> refuse_chain(const stage_chain& chain, const catalogue& lists,
                                          const chain_times& times, const wait_function& wait);

}  // namespace cyclamenmount
