#include "serving/chain_admission.h"

#include <algorithm>

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

bool is_ahead(const chain_stage& stage) {
    return stage.pieces > 0 && stage.state != stage_state::made;
}

milliseconds longest_way(const stage_chain& chain, std::size_t stage, const wait_function& wait) {
    milliseconds longest{0};
    for (std::size_t later = stage + 1; later < chain.stages.size(); ++later) {
        if (follows(chain.stages[later], stage)) {
            longest = std::max(longest, longest_way(chain, later, wait));
        }
    }
    const chain_stage& here = chain.stages[stage];
    return longest + (is_ahead(here) ? wait(here.pool) : 0ms);
}

}  // namespace

milliseconds time_with_waits(const stage_chain& chain, const catalogue& lists,
                             const wait_function& wait) {
    milliseconds longest{0};
    for (std::size_t i = 0; i < chain.stages.size(); ++i) {
        longest = std::max(longest, longest_way(chain, i, wait));
    }
    return longest + time_ahead(chain, lists);
}

milliseconds time_after_with_waits(const stage_chain& chain, std::size_t stage,
                                   const catalogue& lists, const wait_function& wait) {
    const chain_stage& here = chain.stages[stage];
    const milliseconds own = is_ahead(here) ? wait(here.pool) : 0ms;
    return longest_way(chain, stage, wait) - own + time_after(chain, stage, lists);
}

std::optional<chain_refusal> refuse_chain(const stage_chain& chain, const catalogue& lists,
                                          const chain_times& times, const wait_function& wait) {
    chain_refusal worst;
    for (const chain_stage& stage : chain.stages) {
        if (is_ahead(stage) && wait(stage.pool) > worst.retry_after) {
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
