#include "serving/chain_admission.h"

#include <algorithm>
#include <cmath>

namespace cyclamenmount {

namespace {

//! A pool whose orders wait this long is overloaded: a call takes about 250 ms, and an order that
//! comes at a random time waits half of one.
constexpr milliseconds overload_wait{350};
//! Less for each step of priority, down to the least.
constexpr milliseconds overload_step{100};
constexpr milliseconds least_overload_wait{150};

milliseconds limit_for(int priority) {
    return std::max(least_overload_wait, overload_wait - overload_step * priority);
}

//! Waiting time of a stage that isn't done, in milliseconds.
auto wait_of_stage(const wait_function& wait) {
    return [&wait](const chain_stage& stage) {
        return is_done(stage) ? 0 : static_cast<double>(wait(stage.pool).count());
    };
}

}  // namespace

milliseconds time_with_waits(const stage_chain& chain, const catalogue& lists,
                             const wait_function& wait) {
    return milliseconds(std::lround(longest_way(chain, wait_of_stage(wait)))) +
           time_ahead(chain, lists);
}

milliseconds time_after_with_waits(const stage_chain& chain, std::size_t stage,
                                   const catalogue& lists, const wait_function& wait) {
    return milliseconds(std::lround(longest_way_after(chain, stage, wait_of_stage(wait)))) +
           time_after(chain, stage, lists);
}

std::optional<chain_refusal> refuse_chain(const stage_chain& chain, const catalogue& lists,
                                          const chain_times& times, const wait_function& wait) {
    chain_refusal worst;
    for (const chain_stage& stage : chain.stages) {
        if (!is_done(stage) && wait(stage.pool) > worst.retry_after) {
            worst = {stage.pool, wait(stage.pool)};
        }
    }
    if (worst.retry_after < limit_for(times.priority)) {
        return std::nullopt;
    }
    const milliseconds needed = time_with_waits(chain, lists, wait) + times.final_time;
    if (times.now + needed <= times.objective) {
        return std::nullopt;
    }
    return worst;
}

}  // namespace cyclamenmount
