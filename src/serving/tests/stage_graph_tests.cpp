#include "serving/stage_graph.h"
#include "serving/tests/stage_graph_config.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

//! Stages 0 and 1 have no dependencies; stage 2 depends on stage 1, stage 3 on stage 2.
route make_route() {
    route result;
    result.stages = {
        {{"a"}, {}, 3'000'000}, {{"a"}, {}, 8'000}, {{"b"}, {1}, 60'000}, {{"c"}, {2}, 6'000}};
    return result;
}

//! Marks a stage as complete, with these result handles.
void complete(stage_graph& graph, std::size_t stage, std::vector<std::string> results) {
    graph.stages[stage].state = stage_state::completed;
    graph.stages[stage].results = std::move(results);
}

}  // namespace

TEST_GROUP(stage_graph){};

TEST(stage_graph, stages_start_when_their_inputs_are_complete) {
    // GIVEN a graph of four stages
    stage_graph graph = make_stage_graph(make_route(), std::vector<int>{2, 1, 8, 16});
    // WHEN no stage is complete
    // THEN stages 0 and 1 can start
    CHECK_TRUE(startable_stages(graph) == (std::vector<std::size_t>{0, 1}));
    // WHEN stage 1 is complete
    graph.stages[0].state = stage_state::submitted;
    complete(graph, 1, {"h1"});
    // THEN stage 2 can start, with its result as input
    CHECK_TRUE(startable_stages(graph) == std::vector<std::size_t>{2});
    CHECK_TRUE(inputs_of(graph, 2) == std::vector<std::string>{"h1"});
    LONGS_EQUAL(1, depth_of(graph, 2));
    LONGS_EQUAL(2, depth_of(graph, 3));
}

TEST(stage_graph, the_request_takes_the_results_of_the_final_stages) {
    // GIVEN a graph whose stages are all complete
    stage_graph graph = make_stage_graph(make_route(), std::vector<int>{2, 1, 1, 1});
    complete(graph, 0, {"x", "y"});
    complete(graph, 1, {"h1"});
    complete(graph, 2, {"h2"});
    complete(graph, 3, {"h3"});
    // WHEN the inputs of the request are computed
    // THEN they are the results of stages 0 and 3, in order
    CHECK_TRUE(is_complete(graph));
    CHECK_TRUE(final_results(graph) == (std::vector<std::string>{"x", "y", "h3"}));
}

TEST(stage_graph, a_stage_without_pieces_is_skipped) {
    // GIVEN a graph whose first stage has no pieces
    const stage_graph graph = make_stage_graph(make_route(), std::vector<int>{0, 1, 8, 16});
    // WHEN the startable stages are listed
    // THEN the first stage isn't among them
    CHECK_TRUE(startable_stages(graph) == std::vector<std::size_t>{1});
    // AND a request without any pieces is complete at once
    CHECK_TRUE(is_complete(make_stage_graph(make_route(), std::vector<int>{0, 0, 0, 0})));
    CHECK_TRUE(is_complete(make_stage_graph(make_route(), {})));
}

TEST(stage_graph, the_remaining_time_is_that_of_the_longest_path) {
    // GIVEN calls of 150 ms plus 10 ms per piece, at most 8 pieces
    stage_graph graph = make_stage_graph(make_route(), std::vector<int>{2, 1, 8, 16});
    const serving_config config = testing::make_stage_graph_config();
    // WHEN no stage is complete
    // THEN the path through stages 1, 2 and 3 takes 160 + 230 + 230 ms
    LONGS_EQUAL(620, remaining_time(graph, config).count());
    LONGS_EQUAL(460, remaining_time_after(graph, 1, config).count());
    LONGS_EQUAL(0, remaining_time_after(graph, 3, config).count());
    // WHEN stage 1 is complete
    complete(graph, 1, {"h"});
    // THEN its time is no longer part of the remaining time
    LONGS_EQUAL(460, remaining_time(graph, config).count());
}

TEST(stage_graph, a_restart_discards_all_results) {
    // GIVEN a graph with a result
    stage_graph graph = make_stage_graph(make_route(), std::vector<int>{1, 1, 1, 1});
    complete(graph, 1, {"h1"});
    // WHEN it restarts
    restart(graph);
    // THEN all stages are waiting again
    CHECK_TRUE(startable_stages(graph) == (std::vector<std::size_t>{0, 1}));
    // AND the graph may not restart a second time
    CHECK_FALSE(may_restart(graph));
}

TEST(stage_graph, results_are_released_once_every_dependent_stage_is_complete) {
    // GIVEN stage 1 is complete, and its result is still needed by stage 2
    stage_graph graph = make_stage_graph(make_route(), std::vector<int>{1, 1, 1, 1});
    complete(graph, 1, {"h1"});
    LONGS_EQUAL(0, release_used_inputs(graph, 1).size());
    complete(graph, 2, {"h2"});
    // WHEN stage 2 is complete too
    const auto unneeded = release_used_inputs(graph, 2);
    // THEN the results of stage 1 are released, and those of stage 2 are kept for stage 3
    LONGS_EQUAL(1, unneeded.size());
    CHECK_TRUE(unneeded[0].results == std::vector<std::string>{"h1"});
    CHECK_TRUE(graph.stages[1].results.empty());
    CHECK_TRUE(graph.stages[2].results == std::vector<std::string>{"h2"});
}

TEST(stage_graph, results_with_two_dependent_stages_are_kept_until_both_are_complete) {
    // GIVEN a stage with two dependent stages, one of which is complete
    stage_graph graph = make_stage_graph(make_route(), std::vector<int>{1, 1, 1, 1});
    graph.stages[3].after = {1};
    complete(graph, 1, {"h1"});
    complete(graph, 2, {"h2"});
    // WHEN the inputs of the complete one are released
    // THEN none are, as the other one still needs them
    LONGS_EQUAL(0, release_used_inputs(graph, 2).size());
    // WHEN the other one is complete too
    complete(graph, 3, {"h3"});
    // THEN the shared inputs are released
    LONGS_EQUAL(1, release_used_inputs(graph, 3).size());
}

TEST(stage_graph, a_stage_must_complete_before_earlier_results_expire) {
    // GIVEN results with a lifetime of 4 s: an input of stage 2 from 10 s, and an input of the
    // request from 9 s
    stage_graph graph = make_stage_graph(make_route(), std::vector<int>{2, 1, 8, 16});
    const serving_config config = testing::make_stage_graph_config();
    complete(graph, 0, {"x", "y"});
    graph.stages[0].completed_at = instant(9s);
    complete(graph, 1, {"h1"});
    graph.stages[1].completed_at = instant(10s);
    // WHEN the deadline of stage 2 is computed, which stage 3 of 230 ms depends on
    // THEN it is the expiry of the request's input less the time of stage 3
    LONGS_EQUAL(13'000 - 230, results_deadline(graph, 2, config).time_since_epoch().count());
    // AND there is no deadline without any results
    CHECK_TRUE(results_deadline(make_stage_graph(make_route(), std::vector<int>{1, 1, 1, 1}), 0,
                                config) == instant::max());
}

// Guards against a configuration whose stages make each request walk all paths, or read beyond
// them.
TEST(stage_graph, stages_are_valid_only_if_they_can_be_ordered) {
    const auto make_stages = [](const std::vector<std::vector<std::size_t>>& after) {
        std::vector<route_stage> stages(after.size());
        for (std::size_t i = 0; i < after.size(); ++i) {
            stages[i].after = after[i];
        }
        return stages;
    };
    CHECK_TRUE(is_valid_graph({}));
    CHECK_TRUE(is_valid_graph(make_stages({{}, {0}, {0, 1}})));
    CHECK_TRUE(is_valid_graph(make_stages({{1}, {}})));
    CHECK_FALSE(is_valid_graph(make_stages({{0}})));
    CHECK_FALSE(is_valid_graph(make_stages({{1}, {0}})));
    CHECK_FALSE(is_valid_graph(make_stages({{}, {2}})));
    CHECK_FALSE(is_valid_graph(make_stages({{}, {static_cast<std::size_t>(-1)}})));
    CHECK_FALSE(is_valid_graph(std::vector<route_stage>(max_route_stages + 1)));
    // WHEN each of the most stages depends on all before it
    route dense;
    dense.stages.resize(max_route_stages);
    for (std::size_t i = 0; i < dense.stages.size(); ++i) {
        for (std::size_t earlier = 0; earlier < i; ++earlier) {
            dense.stages[i].after.push_back(earlier);
        }
    }
    CHECK_TRUE(is_valid_graph(dense.stages));
    const stage_graph graph = make_stage_graph(dense, std::vector<int>(max_route_stages, 1));
    // THEN its paths are known in no time
    const auto one = [](const graph_stage& /*stage*/) { return 1.0; };
    DOUBLES_EQUAL(64, longest_path(graph, one), 0.01);
    DOUBLES_EQUAL(63, longest_path_after(graph, 0, one), 0.01);
    LONGS_EQUAL(63, depth_of(graph, 63));
}
