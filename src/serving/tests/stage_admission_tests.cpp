#include "serving/stage_admission.h"
#include "serving/tests/stage_graph_config.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};

//! Three sequential stages whose calls take 160, 230 and 230 ms.
stage_graph make_graph() {
    route sequential;
    sequential.stages = {{{"a"}, {}, 1}, {{"b"}, {0}, 1}, {{"c"}, {1}, 1}};
    return make_stage_graph(sequential, std::vector<int>{1, 8, 16});
}

//! Queueing times: `wait_at_c` at pool c, 100 ms at the other pools.
stage_wait_function waits(milliseconds wait_at_c) {
    return [wait_at_c](const graph_stage& stage) {
        return stage.pool.value == "c" ? wait_at_c : 100ms;
    };
}

//! An objective 1,600 ms ahead; 200 ms of that are needed after the last stage.
request_timing make_times(int priority) {
    return {start, start + 1600ms, 200ms, priority};
}

}  // namespace

TEST_GROUP(stage_admission){};

TEST(stage_admission, queueing_times_of_all_pools_ahead_are_added) {
    // GIVEN a graph with 620 ms of calls, and queueing times of 100, 100 and 400 ms
    const stage_graph graph = make_graph();
    const serving_config config = testing::make_stage_graph_config();
    // WHEN its remaining time is computed
    // THEN it includes the calls and the queueing times
    LONGS_EQUAL(1220, remaining_time_with_waits(graph, config, waits(400ms)).count());
    LONGS_EQUAL(960, remaining_time_after_with_waits(graph, 0, config, waits(400ms)).count());
}

TEST(stage_admission, a_request_that_will_be_late_at_an_overloaded_pool_is_refused_at_once) {
    // GIVEN a queueing time of 800 ms at the last pool, and 1,600 ms until the objective
    const stage_graph graph = make_graph();
    const serving_config config = testing::make_stage_graph_config();
    // WHEN a request arrives
    const auto refusal = check_stage_admission(graph, config, make_times(0), waits(800ms));
    // THEN it is refused before any stage starts, with the queueing time of that pool as retry time
    CHECK_TRUE(refusal.has_value());
    STRCMP_EQUAL("c", refusal->pool.value.c_str());
    LONGS_EQUAL(800, refusal->retry_after.count());
}

TEST(stage_admission, a_request_that_can_still_be_on_time_is_started) {
    // GIVEN the same graph with a shorter queueing time
    const stage_graph graph = make_graph();
    // WHEN a request arrives
    // THEN it is started
    CHECK_FALSE(check_stage_admission(graph, testing::make_stage_graph_config(), make_times(0),
                                      waits(500ms))
                    .has_value());
}

TEST(stage_admission, a_late_request_is_started_while_no_pool_is_overloaded) {
    // GIVEN a request whose objective has passed, and short queueing times
    const stage_graph graph = make_graph();
    request_timing late = make_times(0);
    late.objective = start;
    // WHEN it arrives
    // THEN it is started, as it delays no other request
    CHECK_FALSE(check_stage_admission(graph, testing::make_stage_graph_config(), late, waits(100ms))
                    .has_value());
}

TEST(stage_admission, less_urgent_requests_are_refused_first) {
    // GIVEN a queueing time of 250 ms at one pool, and requests that will be late
    const stage_graph graph = make_graph();
    request_timing urgent = make_times(0);
    urgent.objective = start + 900ms;
    request_timing less_urgent = make_times(2);
    less_urgent.objective = start + 900ms;
    // WHEN both arrive
    // THEN only the less urgent one is refused
    CHECK_FALSE(
        check_stage_admission(graph, testing::make_stage_graph_config(), urgent, waits(250ms))
            .has_value());
    CHECK_TRUE(
        check_stage_admission(graph, testing::make_stage_graph_config(), less_urgent, waits(250ms))
            .has_value());
}

TEST(stage_admission, callers_that_are_refused_together_return_apart) {
    // GIVEN a queue that drains in 600 ms
    // WHEN callers are refused with different random numbers
    // THEN each is told to wait that long at least, and they are spread over half as long again
    LONGS_EQUAL(600, spread_retry_after(600ms, 0).count());
    LONGS_EQUAL(750, spread_retry_after(600ms, 32).count());
    CHECK_TRUE(spread_retry_after(600ms, 63) < 900ms);
}

// Guards against refused callers that return in the order of chance when room is scarce.
TEST(stage_admission, the_most_urgent_callers_are_told_to_return_first) {
    // GIVEN a queue that drains in 600 ms
    // WHEN callers of several priorities with time left are refused
    const auto delay = [](int priority, milliseconds left, std::uint64_t random) {
        return spread_retry_after(600ms, priority, left, random);
    };
    // THEN each priority returns after the more urgent ones, within half as long again
    LONGS_EQUAL(600, delay(0, 5s, 0).count());
    for (int priority = 0; priority < 3; ++priority) {
        CHECK_TRUE(delay(priority, 5s, 63) < delay(priority + 1, 5s, 0));
    }
    CHECK_TRUE(delay(9, 5s, 63) < 900ms);
    // AND callers with little time left return with the first ones
    CHECK_TRUE(delay(3, 850ms, 63) < delay(1, 5s, 0));
}

// Guards against a kind of request that is starved by more urgent ones.
TEST(stage_admission, a_third_of_the_requests_of_each_priority_competes_as_the_most_urgent) {
    // GIVEN 10,000 requests of a low priority
    constexpr int count = 10'000;
    int raised = 0;
    for (int i = 0; i < count; ++i) {
        // WHEN their priority at stages is asked for
        const int priority = competing_priority(2, "r" + std::to_string(i));
        // THEN it is their own or the most urgent one
        CHECK_TRUE(priority == 0 || priority == 2);
        raised += priority == 0 ? 1 : 0;
    }
    // AND a third of them has the most urgent one
    CHECK_TRUE(raised > count / 3 - count / 50 && raised < count / 3 + count / 50);
    // AND none is ever less urgent than its own
    for (int i = 0; i < 100; ++i) {
        CHECK_TRUE(competing_priority(-1, std::to_string(i)) == -1);
    }
}
