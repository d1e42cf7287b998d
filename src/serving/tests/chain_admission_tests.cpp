#include "serving/chain_admission.h"
#include "serving/tests/chain_lists.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};

//! Three stages one after the other: 160, 230 and 230 ms of calls.
stage_chain make_chain() {
    route one;
    one.stages = {{{"a"}, {}, 1}, {{"b"}, {0}, 1}, {{"c"}, {1}, 1}};
    return make_stage_chain(one, std::vector<int>{1, 8, 16});
}

wait_function waits(milliseconds at_c) {
    return [at_c](const pool_name& pool) { return pool.value == "c" ? at_c : 100ms; };
}

chain_times make_times(int priority) {
    return {start, start + 1600ms, 200ms, priority};
}

}  // namespace

TEST_GROUP(chain_admission){};

TEST(chain_admission, waits_at_all_pools_ahead_count) {
    // GIVEN a chain of 620 ms of calls, and waits of 100, 100 and 400 ms
    const stage_chain chain = make_chain();
    const catalogue lists = testing::make_chain_lists();
    // WHEN its time is asked for
    // THEN both are in it
    LONGS_EQUAL(1220, time_with_waits(chain, lists, waits(400ms)).count());
    LONGS_EQUAL(960, time_after_with_waits(chain, 0, lists, waits(400ms)).count());
}

TEST(chain_admission, a_request_that_will_be_late_at_an_overloaded_pool_is_refused_at_once) {
    // GIVEN a last pool with 800 ms of waiting before it, where 1,600 ms are left
    const stage_chain chain = make_chain();
    const catalogue lists = testing::make_chain_lists();
    // WHEN a request comes
    const auto refused = refuse_chain(chain, lists, make_times(0), waits(800ms));
    // THEN it is refused before any stage has begun, with the time that the pool needs
    CHECK_TRUE(refused.has_value());
    STRCMP_EQUAL("c", refused->pool.value.c_str());
    LONGS_EQUAL(800, refused->retry_after.count());
}

TEST(chain_admission, one_that_can_still_be_on_time_is_begun) {
    // GIVEN the same chain with less waiting
    const stage_chain chain = make_chain();
    // WHEN and THEN it is begun
    CHECK_FALSE(
        refuse_chain(chain, testing::make_chain_lists(), make_times(0), waits(500ms)).has_value());
}

TEST(chain_admission, a_late_request_is_begun_while_no_pool_is_overloaded) {
    // GIVEN a request whose objective has passed, and short waits
    const stage_chain chain = make_chain();
    chain_times late = make_times(0);
    late.objective = start;
    // WHEN and THEN it is begun, as nobody else is hurt
    CHECK_FALSE(refuse_chain(chain, testing::make_chain_lists(), late, waits(100ms)).has_value());
}

TEST(chain_admission, less_urgent_requests_yield_first) {
    // GIVEN a pool with 250 ms of waiting and requests that will be late
    const stage_chain chain = make_chain();
    chain_times urgent = make_times(0);
    urgent.objective = start + 900ms;
    chain_times patient = make_times(2);
    patient.objective = start + 900ms;
    // WHEN both come
    // THEN only the less urgent one is refused
    CHECK_FALSE(refuse_chain(chain, testing::make_chain_lists(), urgent, waits(250ms)).has_value());
    CHECK_TRUE(refuse_chain(chain, testing::make_chain_lists(), patient, waits(250ms)).has_value());
}
