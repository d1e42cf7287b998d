#include "serving/stage_chain.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenmount {

bool follows(const chain_stage& later, std::size_t earlier) {
    return std::find(later.after.begin(), later.after.end(), earlier) != later.after.end();
}

bool is_done(const chain_stage& stage) {
    return stage.state == stage_state::made || stage.pieces == 0;
}

double longest_way_after(const stage_chain& chain, std::size_t stage,
                         const stage_cost_function& cost) {
    double longest = 0;
    // Stages only come after earlier ones.
    for (std::size_t later = stage + 1; later < chain.stages.size(); ++later) {
        if (follows(chain.stages[later], stage)) {
            longest = std::max(longest,
                               longest_way_after(chain, later, cost) + cost(chain.stages[later]));
        }
    }
    return longest;
}

double longest_way(const stage_chain& chain, const stage_cost_function& cost) {
    double longest = 0;
    for (std::size_t i = 0; i < chain.stages.size(); ++i) {
        longest = std::max(longest, longest_way_after(chain, i, cost) + cost(chain.stages[i]));
    }
    return longest;
}

namespace {

//! A request whose results are lost twice is better refused: its objective has passed.
constexpr int most_restarts = 1;

//! Time of one call that makes all pieces of the stage, or a full call if there are more.
double call_time_ms(const chain_stage& stage, const catalogue& lists) {
    const auto pool = lists.pools.find(stage.pool);
    if (stage.pieces == 0 || pool == lists.pools.end() || !pool->second.stage) {
        return 0;
    }
    const stage_limits& limits = *pool->second.stage;
    return limits.call_ms + limits.piece_ms * std::min(stage.pieces, limits.batch);
}

//! What a stage that isn't done takes at least.
auto time_of_stage(const catalogue& lists) {
    return [&lists](const chain_stage& stage) {
        return is_done(stage) ? 0 : call_time_ms(stage, lists);
    };
}

}  // namespace

stage_chain make_stage_chain(const route& from, std::span<const int> pieces) {
    stage_chain chain;
    for (std::size_t i = 0; i < from.stages.size(); ++i) {
        const route_stage& stage = from.stages[i];
        const int count = i < pieces.size() ? std::max(pieces[i], 0) : 0;
        chain.stages.push_back(
            {stage.pool, stage.after, count, stage.result_bytes, {}, {}, {}, {}, {}});
    }
    return chain;
}

std::vector<std::size_t> startable_stages(const stage_chain& chain) {
    std::vector<std::size_t> startable;
    for (std::size_t i = 0; i < chain.stages.size(); ++i) {
        const chain_stage& stage = chain.stages[i];
        const bool has_inputs =
            std::all_of(stage.after.begin(), stage.after.end(),
                        [&](std::size_t earlier) { return is_done(chain.stages[earlier]); });
        if (stage.state == stage_state::waiting && stage.pieces > 0 && has_inputs) {
            startable.push_back(i);
        }
    }
    return startable;
}

std::vector<std::string> inputs_of(const stage_chain& chain, std::size_t stage) {
    std::vector<std::string> inputs;
    for (const std::size_t earlier : chain.stages[stage].after) {
        const auto& results = chain.stages[earlier].results;
        inputs.insert(inputs.end(), results.begin(), results.end());
    }
    return inputs;
}

bool is_complete(const stage_chain& chain) {
    return std::all_of(chain.stages.begin(), chain.stages.end(), is_done);
}

bool is_final(const stage_chain& chain, std::size_t stage) {
    return std::none_of(chain.stages.begin(), chain.stages.end(),
                        [&](const chain_stage& later) { return follows(later, stage); });
}

std::vector<std::string> final_results(const stage_chain& chain) {
    std::vector<std::string> results;
    for (std::size_t i = 0; i < chain.stages.size(); ++i) {
        if (is_final(chain, i)) {
            const auto& made = chain.stages[i].results;
            results.insert(results.end(), made.begin(), made.end());
        }
    }
    return results;
}

std::vector<unneeded_results> take_inputs_used(stage_chain& chain, std::size_t made) {
    std::vector<unneeded_results> unneeded;
    for (const std::size_t earlier : chain.stages[made].after) {
        const bool is_needed =
            std::any_of(chain.stages.begin(), chain.stages.end(), [&](const chain_stage& later) {
                return follows(later, earlier) && !is_done(later);
            });
        if (!is_needed) {
            chain_stage& one = chain.stages[earlier];
            unneeded.push_back({one.pool, std::exchange(one.results, {})});
        }
    }
    return unneeded;
}

std::vector<unneeded_results> take_all_results(stage_chain& chain) {
    std::vector<unneeded_results> unneeded;
    for (chain_stage& one : chain.stages) {
        unneeded.push_back({one.pool, std::exchange(one.results, {})});
    }
    return unneeded;
}

void restart(stage_chain& chain) {
    for (chain_stage& stage : chain.stages) {
        stage.state = stage_state::waiting;
        stage.results.clear();
        stage.zone = {};
    }
    ++chain.restarts;
}

bool may_restart(const stage_chain& chain) {
    return chain.restarts < most_restarts;
}

milliseconds time_ahead(const stage_chain& chain, const catalogue& lists) {
    return milliseconds(std::lround(longest_way(chain, time_of_stage(lists))));
}

milliseconds time_after(const stage_chain& chain, std::size_t stage, const catalogue& lists) {
    return milliseconds(std::lround(longest_way_after(chain, stage, time_of_stage(lists))));
}

instant results_allow(const stage_chain& chain, std::size_t stage, const catalogue& lists) {
    const milliseconds after = time_after(chain, stage, lists);
    instant latest = instant::max();
    for (std::size_t i = 0; i < chain.stages.size(); ++i) {
        const chain_stage& made = chain.stages[i];
        const auto pool = lists.pools.find(made.pool);
        if (made.results.empty() || pool == lists.pools.end() || !pool->second.stage) {
            continue;
        }
        const instant gone = made.made_at + pool->second.stage->kept;
        latest = std::min(latest, follows(chain.stages[stage], i) ? gone : gone - after);
    }
    return latest;
}

int depth_of(const stage_chain& chain, std::size_t stage) {
    int deepest = 0;
    for (const std::size_t earlier : chain.stages[stage].after) {
        deepest = std::max(deepest, depth_of(chain, earlier) + 1);
    }
    return deepest;
}

}  // namespace cyclamenmount
