#include "serving/chain_admission.h"
#include "serving/tests/chain_lists.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};

//! Three sequential stages whose calls take 160, 230 and 230 ms.
stage_chain make_graph() {
    route sequential;
    sequential.stages = {{{"a"}, {}, 1}, {{"b"}, {0}, 1}, {{"c"}, {1}, 1}};
    return make_stage_chain(sequential, std::vector<int>{1, 8, 16});
}

//! Queueing times: `wait_at_c` at pool c, 100 ms at the other pools.
wait_function waits(milliseconds wait_at_c) {
    return [wait_at_c](const pool_name& pool) { return pool.value == "c" ? wait_at_c : 100ms; };
}

//! An objective 1,600 ms ahead; 200 ms of that are needed after the last stage.
chain_times make_times(int priority) {
    return {start, start + 1600ms, 200ms, priority};
}

}  // namespace

TEST_GROUP(chain_admission){};

TEST(chain_admission, queueing_times_of_all_pools_ahead_are_added) {
    // GIVEN a graph with 620 ms of calls, and queueing times of 100, 100 and 400 ms
    const stage_chain graph = make_graph();
    const catalogue lists = testing::make_stage_graph_config();
    // WHEN its remaining time is computed
    // THEN it includes the calls and the queueing times
    LONGS_EQUAL(1220, remaining_time_with_waits(graph, lists, waits(400ms)).count());
    LONGS_EQUAL(960, time_after_with_waits(graph, 0, lists, waits(400ms)).count());
}

TEST(chain_admission, a_request_that_will_be_late_at_an_overloaded_pool_is_refused_at_once) {
    // GIVEN a queueing time of 800 ms at the last pool, and 1,600 ms until the objective
    const stage_chain graph = make_graph();
    const catalogue lists = testing::make_stage_graph_config();
    // WHEN a request arrives
    const auto refusal = refuse_chain(graph, lists, make_times(0), waits(800ms));
    // THEN it is refused before any stage starts, with the queueing time of that pool as retry time
    CHECK_TRUE(refusal.has_value());
    STRCMP_EQUAL("c", refusal->pool.value.c_str());
    LONGS_EQUAL(800, refusal->retry_after.count());
}

TEST(chain_admission, a_request_that_can_still_be_on_time_is_started) {
    // GIVEN the same graph with a shorter queueing time
    const stage_chain graph = make_graph();
    // WHEN a request arrives
    // THEN it is started
    CHECK_FALSE(refuse_chain(graph, testing::make_stage_graph_config(), make_times(0), waits(500ms))
                    .has_value());
}

TEST(chain_admission, a_late_request_is_started_while_no_pool_is_overloaded) {
    // GIVEN a request whose objective has passed, and short queueing times
    const stage_chain graph = make_graph();
    chain_times late = make_times(0);
    late.objective = start;
    // WHEN it arrives
    // THEN it is started, as it delays no other request
    CHECK_FALSE(
        refuse_chain(graph, testing::make_stage_graph_config(), late, waits(100ms)).has_value());
}

TEST(chain_admission, less_urgent_requests_are_refused_first) {
    // GIVEN a queueing time of 250 ms at one pool, and requests that will be late
    const stage_chain graph = make_graph();
    chain_times urgent = make_times(0);
    urgent.objective = start + 900ms;
    chain_times less_urgent = make_times(2);
    less_urgent.objective = start + 900ms;
    // WHEN both arrive
    // THEN only the less urgent one is refused
    CHECK_FALSE(
        refuse_chain(graph, testing::make_stage_graph_config(), urgent, waits(250ms)).has_value());
    CHECK_TRUE(refuse_chain(graph, testing::make_stage_graph_config(), less_urgent, waits(250ms))
                   .has_value());
}
