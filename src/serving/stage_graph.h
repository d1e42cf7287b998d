//! Progress of the stages of one request: dependencies, results, and the remaining time.
#pragma once

#include "serving/types/serving_config.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace cyclamenmount {

//! A stage waits for its inputs, then its job is submitted, then its results are complete.
enum class stage_state { waiting, submitted, completed };

//! One stage of a request and its state.
struct graph_stage {
    pool_name pool;
    std::vector<std::size_t> after;  //!< indexes of the stages whose results it uses
    int pieces{0};                   //!< pieces of work; a stage with 0 is skipped
    std::uint64_t result_bytes{0};   //!< approximate size of the result of one piece
    stage_state state{stage_state::waiting};
    std::vector<std::string> results;  //!< one result handle per piece, in piece order
    zone_name zone;  //!< availability zone that holds the results; empty if unknown
    instant submitted_at{};
    instant completed_at{};  //!< time at which the results were complete
};

//! The stages of one request, a directed acyclic graph.
struct stage_graph {
    std::vector<graph_stage> stages;  //!< in topological order
    int restarts{0};                  //!< times the graph was restarted after a lost result
};

//! Stages that a route may have.
inline constexpr std::size_t max_route_stages = 64;

//! True if no stage depends on itself or on one that doesn't exist, and there aren't too many.
bool is_valid_graph(std::span<const route_stage> stages);

//! Creates the graph of a request; `pieces` holds the number of pieces of each stage of the route.
stage_graph make_stage_graph(const route& from, std::span<const int> pieces);

//! Returns the indexes of the waiting stages whose inputs are all complete.
std::vector<std::size_t> startable_stages(const stage_graph& graph);

//! Returns the result handles of the stages that `stage` depends on, in order.
std::vector<std::string> inputs_of(const stage_graph& graph, std::size_t stage);

//! Returns true if every stage is complete or skipped.
bool is_complete(const stage_graph& graph);

//! Returns true if no other stage depends on `stage`; the request itself uses its results.
bool is_final(const stage_graph& graph, std::size_t stage);

//! Returns the result handles of all final stages, in order; they are the inputs of the request.
std::vector<std::string> final_results(const stage_graph& graph);

//! Returns true if the stage is complete, or skipped because it has no pieces.
bool is_done(const graph_stage& stage);

//! Cost of one stage, e.g. its time in milliseconds.
using stage_cost_function = std::function<double(const graph_stage&)>;

//! Returns the cost of the most expensive path from `stage` to the end, excluding `stage` itself.
double longest_path_after(const stage_graph& graph, std::size_t stage,
                          const stage_cost_function& cost);

//! Returns the cost of the most expensive path through the whole graph.
double longest_path(const stage_graph& graph, const stage_cost_function& cost);

//! Returns true if `later` depends on the stage with index `earlier`.
bool depends_on(const graph_stage& later, std::size_t earlier);

//! Results that the upstreams of a pool can release.
struct unneeded_results {
    pool_name pool;
    std::vector<std::string> results;
};

//! Removes and returns the inputs of the stage `completed` that no incomplete stage depends on.
std::vector<unneeded_results> release_used_inputs(stage_graph& graph, std::size_t completed);

//! Removes and returns the results of all stages.
std::vector<unneeded_results> release_all_results(stage_graph& graph);

//! Returns true if results that the request itself uses were released after its stages completed.
bool lacks_final_results(const stage_graph& graph);

//! Resets all stages to waiting, after a result was lost together with the upstream that held it.
void restart(stage_graph& graph);

//! Returns true if the graph may be restarted after a lost result.
bool may_restart(const stage_graph& graph);

//! Returns the estimated time in milliseconds of one call with all pieces of the stage, or of a
//! full batch if there are more.
double estimated_call_ms(const graph_stage& stage, const serving_config& config);

//! Returns the shortest time in which the incomplete stages can finish, without queueing.
milliseconds remaining_time(const stage_graph& graph, const serving_config& config);

//! Returns the shortest time of the incomplete stages after `stage`, excluding `stage` itself.
milliseconds remaining_time_after(const stage_graph& graph, std::size_t stage,
                                  const serving_config& config);

//! Returns the deadline of `stage` that follows from the expiry of existing results. The inputs of
//! `stage` must last until its call begins, all other results until the request itself uses them.
instant results_deadline(const stage_graph& graph, std::size_t stage, const serving_config& config);

//! Returns the number of stages on the longest dependency path before `stage`.
int depth_of(const stage_graph& graph, std::size_t stage);

}  // namespace cyclamenmount
