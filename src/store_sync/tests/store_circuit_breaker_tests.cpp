//! Tests of the circuit breaker for store calls, on a fake clock.
#include "store_sync/store_circuit_breaker.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};

}  // namespace

TEST_GROUP(store_circuit_breaker){};

TEST(store_circuit_breaker, two_failed_calls_do_not_open_the_circuit_breaker) {
    // GIVEN two failed calls, as after an interrupted watch
    store_circuit_breaker breaker;
    record_call(breaker, false);
    record_call(breaker, false);
    // WHEN a call is to be made
    // THEN the circuit breaker is closed and allows it
    CHECK_FALSE(is_open(breaker));
    CHECK_TRUE(allow_call(breaker, 400ms, start));
    CHECK_TRUE(allow_call(breaker, 400ms, start));
}

TEST(store_circuit_breaker, four_loops_share_one_probe_while_the_store_is_unreachable) {
    // GIVEN an open circuit breaker
    store_circuit_breaker breaker;
    for (int i = 0; i < failures_until_open; ++i) {
        record_call(breaker, false);
    }
    // WHEN four loops try to call every 50 ms for 4 s
    int calls = 0;
    for (instant now = start; now < start + 4s; now += 50ms) {
        for (int loop = 0; loop < 4; ++loop) {
            calls += allow_call(breaker, 400ms, now) ? 1 : 0;
        }
    }
    // THEN one call is allowed in each period of 400 ms
    LONGS_EQUAL(10, calls);
}

TEST(store_circuit_breaker, a_response_allows_the_calls_of_all_loops) {
    // GIVEN an open circuit breaker whose probe was just sent
    store_circuit_breaker breaker;
    for (int i = 0; i < failures_until_open; ++i) {
        record_call(breaker, false);
    }
    CHECK_TRUE(allow_call(breaker, 2000ms, start));
    CHECK_FALSE(allow_call(breaker, 2000ms, start + 100ms));
    // WHEN the probe gets a response
    record_call(breaker, true);
    // THEN the other loops may call at once
    CHECK_TRUE(allow_call(breaker, 2000ms, start + 100ms));
    CHECK_TRUE(allow_call(breaker, 2000ms, start + 100ms));
}
