#include "serving/stage_graph.h"

#include "types/numeric.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenmount {

bool depends_on(const graph_stage& later, std::size_t earlier) {
    return std::find(later.after.begin(), later.after.end(), earlier) != later.after.end();
}

bool is_done(const graph_stage& stage) {
    return stage.state == stage_state::completed || stage.pieces == 0;
}

namespace {

//! Cost of the most expensive path from each stage to the end, including the stage.
std::vector<double> longest_paths_from(const stage_graph& graph, const stage_cost_function& cost) {
    std::vector<double> longest(graph.stages.size());
    // A stage depends only on stages with a lower index.
    for (std::size_t later = graph.stages.size(); later-- > 0;) {
        longest[later] += cost(graph.stages[later]);
        for (const std::size_t earlier : graph.stages[later].after) {
            longest[earlier] = std::max(longest[earlier], longest[later]);
        }
    }
    return longest;
}

}  // namespace

bool is_valid_graph(std::span<const route_stage> stages) {
    if (stages.size() > max_route_stages) {
        return false;
    }
    // Each pass marks the stages whose inputs are marked; stages on a cycle never are.
    std::vector<bool> is_reached(stages.size());
    std::size_t reached = 0;
    for (std::size_t before = stages.size() + 1; reached != before;) {
        before = reached;
        for (std::size_t i = 0; i < stages.size(); ++i) {
            const bool has_inputs = std::ranges::all_of(stages[i].after, [&](std::size_t earlier) {
                return earlier < stages.size() && is_reached[earlier];
            });
            if (has_inputs && !is_reached[i]) {
                is_reached[i] = true;
                ++reached;
            }
        }
    }
    return reached == stages.size();
}

double longest_path_after(const stage_graph& graph, std::size_t stage,
                          const stage_cost_function& cost) {
    return longest_paths_from(graph, cost).at(stage) - cost(graph.stages[stage]);
}

double longest_path(const stage_graph& graph, const stage_cost_function& cost) {
    const auto longest = longest_paths_from(graph, cost);
    return longest.empty() ? 0 : std::ranges::max(longest);
}

namespace {

//! Maximum number of restarts after lost results. A request that loses results again is refused, as
//! its latency objective has passed by then.
constexpr int max_restarts = 1;

//! Returns a cost function: the least time in milliseconds that an incomplete stage takes.
auto least_time_of_stage(const serving_config& config) {
    return [&config](const graph_stage& stage) {
        return is_done(stage) ? 0 : estimated_call_ms(stage, config);
    };
}

}  // namespace

double estimated_call_ms(const graph_stage& stage, const serving_config& config) {
    const auto pool = config.pools.find(stage.pool);
    if (stage.pieces == 0 || pool == config.pools.end() || !pool->second.stage) {
        return 0;
    }
    const stage_limits& limits = *pool->second.stage;
    return limits.call_ms + limits.piece_ms * std::min(stage.pieces, limits.batch);
}

stage_graph make_stage_graph(const route& from, std::span<const int> pieces) {
    stage_graph graph;
    for (std::size_t i = 0; i < from.stages.size(); ++i) {
        const route_stage& stage = from.stages[i];
        const int count = i < pieces.size() ? std::max(pieces[i], 0) : 0;
        graph.stages.push_back(
            {stage.pool, stage.after, count, stage.result_bytes, {}, {}, {}, {}, {}});
    }
    return graph;
}

std::vector<std::size_t> startable_stages(const stage_graph& graph) {
    std::vector<std::size_t> startable;
    for (std::size_t i = 0; i < graph.stages.size(); ++i) {
        const graph_stage& stage = graph.stages[i];
        const bool has_inputs =
            std::all_of(stage.after.begin(), stage.after.end(),
                        [&](std::size_t earlier) { return is_done(graph.stages[earlier]); });
        if (stage.state == stage_state::waiting && stage.pieces > 0 && has_inputs) {
            startable.push_back(i);
        }
    }
    return startable;
}

std::vector<std::string> inputs_of(const stage_graph& graph, std::size_t stage) {
    std::vector<std::string> inputs;
    for (const std::size_t earlier : graph.stages[stage].after) {
        const auto& results = graph.stages[earlier].results;
        inputs.insert(inputs.end(), results.begin(), results.end());
    }
    return inputs;
}

bool is_complete(const stage_graph& graph) {
    return std::all_of(graph.stages.begin(), graph.stages.end(), is_done);
}

bool is_final(const stage_graph& graph, std::size_t stage) {
    return std::none_of(graph.stages.begin(), graph.stages.end(),
                        [&](const graph_stage& later) { return depends_on(later, stage); });
}

std::vector<std::string> final_results(const stage_graph& graph) {
    std::vector<std::string> results;
    for (std::size_t i = 0; i < graph.stages.size(); ++i) {
        if (is_final(graph, i)) {
            const auto& stage_results = graph.stages[i].results;
            results.insert(results.end(), stage_results.begin(), stage_results.end());
        }
    }
    return results;
}

std::vector<unneeded_results> release_used_inputs(stage_graph& graph, std::size_t completed) {
    std::vector<unneeded_results> unneeded;
    for (const std::size_t earlier : graph.stages[completed].after) {
        const bool is_needed =
            std::any_of(graph.stages.begin(), graph.stages.end(), [&](const graph_stage& later) {
                return depends_on(later, earlier) && !is_done(later);
            });
        if (!is_needed) {
            graph_stage& input = graph.stages[earlier];
            unneeded.push_back({input.pool, std::exchange(input.results, {})});
        }
    }
    return unneeded;
}

std::vector<unneeded_results> release_all_results(stage_graph& graph) {
    std::vector<unneeded_results> unneeded;
    for (graph_stage& stage : graph.stages) {
        unneeded.push_back({stage.pool, std::exchange(stage.results, {})});
    }
    return unneeded;
}

bool lacks_final_results(const stage_graph& graph) {
    for (std::size_t i = 0; i < graph.stages.size(); ++i) {
        const graph_stage& stage = graph.stages[i];
        if (stage.state == stage_state::completed && stage.pieces > 0 && stage.results.empty() &&
            is_final(graph, i)) {
            return true;
        }
    }
    return false;
}

void restart(stage_graph& graph) {
    for (graph_stage& stage : graph.stages) {
        stage.state = stage_state::waiting;
        stage.results.clear();
        stage.zone = {};
    }
    ++graph.restarts;
}

bool may_restart(const stage_graph& graph) {
    return graph.restarts < max_restarts;
}

milliseconds remaining_time(const stage_graph& graph, const serving_config& config) {
    return to_milliseconds(longest_path(graph, least_time_of_stage(config)));
}

milliseconds remaining_time_after(const stage_graph& graph, std::size_t stage,
                                  const serving_config& config) {
    return to_milliseconds(longest_path_after(graph, stage, least_time_of_stage(config)));
}

instant results_deadline(const stage_graph& graph, std::size_t stage,
                         const serving_config& config) {
    const milliseconds after = remaining_time_after(graph, stage, config);
    instant deadline = instant::max();
    for (std::size_t i = 0; i < graph.stages.size(); ++i) {
        const graph_stage& producer = graph.stages[i];
        const auto pool = config.pools.find(producer.pool);
        if (producer.results.empty() || pool == config.pools.end() || !pool->second.stage) {
            continue;
        }
        const instant expires_at = producer.completed_at + pool->second.stage->result_lifetime;
        deadline = std::min(deadline,
                            depends_on(graph.stages[stage], i) ? expires_at : expires_at - after);
    }
    return deadline;
}

int depth_of(const stage_graph& graph, std::size_t stage) {
    std::vector<int> depths(graph.stages.size());
    for (std::size_t i = 0; i <= stage; ++i) {
        for (const std::size_t earlier : graph.stages[i].after) {
            depths[i] = std::max(depths[i], depths[earlier] + 1);
        }
    }
    return depths[stage];
}

}  // namespace cyclamenmount
