//! Calls while the store is away, on a fake clock.
#include "news/store_pacing.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};

}  // namespace

TEST_GROUP(store_pacing){};

TEST(store_pacing, a_cut_watch_is_no_outage) {
    // GIVEN two calls without an answer
    store_pacing pacing;
    note_call(pacing, false);
    note_call(pacing, false);
    // WHEN a call is to be made
    // THEN nothing holds it back
    CHECK_FALSE(is_lost(pacing));
    CHECK_TRUE(take_turn(pacing, 400ms, start));
    CHECK_TRUE(take_turn(pacing, 400ms, start));
}

TEST(store_pacing, four_loops_share_one_probe_while_the_store_is_lost) {
    // GIVEN a store that doesn't answer
    store_pacing pacing;
    for (int i = 0; i < failures_until_lost; ++i) {
        note_call(pacing, false);
    }
    // WHEN four loops want to call every 50 ms for 4 s
    int calls = 0;
    for (instant now = start; now < start + 4s; now += 50ms) {
        for (int loop = 0; loop < 4; ++loop) {
            calls += take_turn(pacing, 400ms, now) ? 1 : 0;
        }
    }
    // THEN one of them calls in each period
    LONGS_EQUAL(10, calls);
}

TEST(store_pacing, an_answer_frees_all_loops) {
    // GIVEN a lost store
    store_pacing pacing;
    for (int i = 0; i < failures_until_lost; ++i) {
        note_call(pacing, false);
    }
    CHECK_TRUE(take_turn(pacing, 2000ms, start));
    CHECK_FALSE(take_turn(pacing, 2000ms, start + 100ms));
    // WHEN the probe is answered
    note_call(pacing, true);
    // THEN the other loops call at once
    CHECK_TRUE(take_turn(pacing, 2000ms, start + 100ms));
    CHECK_TRUE(take_turn(pacing, 2000ms, start + 100ms));
}
