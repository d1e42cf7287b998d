//! Trials of quarantined keys.
#include "crash_quarantine/trials.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(100'000)};
const pool_name pool{"a"};

using parts = std::vector<std::string>;

//! Adds the crash of an upstream that ran requests with these parts.
void crash(crash_suspects& suspects, int upstream, const parts& keys, bool was_trial = false) {
    for (const std::string& key : keys) {
        suspects[key].key = key;
        add_crash(suspects[key], {pool, "u" + std::to_string(upstream) + "@1", was_trial});
    }
}

milliseconds time_to_trial_of(const trial_records& records, const crash_suspects& suspects,
                              const parts& keys, instant now, trial_turn turn = {},
                              bool is_repeatable = true) {
    return decide_trial(records, suspects, {keys, is_repeatable}, turn, now).wait;
}

}  // namespace

TEST_GROUP(trials){};

// Guards against a sound part that stays in quarantine with the deadly one beside it, as no request
// with it can show that it is sound.
TEST(trials, a_part_that_came_with_a_deadly_one_is_tried_soon) {
    // GIVEN three crashes with a common part and a deadly one
    crash_suspects suspects;
    for (const int upstream : {1, 2, 3}) {
        crash(suspects, upstream, {"common", "deadly"});
    }
    trial_records records;
    follow_suspects(records, suspects, start);
    // WHEN a request holds the common part alone, THEN it is tried a second later
    CHECK_TRUE(time_to_trial_of(records, suspects, {"common", "sound"}, start) == 1s);
    CHECK_TRUE(time_to_trial_of(records, suspects, {"common", "sound"}, start + 1s) == 0ms);
    // AND one that can't be repeated after two
    CHECK_TRUE(time_to_trial_of(records, suspects, {"common"}, start + 1s, {}, false) == 1s);
    // AND requests with both parts aren't tried for a minute
    CHECK_TRUE(time_to_trial_of(records, suspects, {"common", "deadly"}, start + 1s) == 59s);
    // AND neither are those with the deadly part once the common one is cleared
    suspects.erase("common");
    CHECK_TRUE(time_to_trial_of(records, suspects, {"common", "deadly"}, start + 1s) == 59s);
}

// Guards against the same for a first part behind which several deadly ones take turns.
TEST(trials, a_part_with_several_deadly_ones_behind_it_is_tried_soon) {
    // GIVEN three crashes with a common part and two deadly ones by turns
    crash_suspects suspects;
    crash(suspects, 1, {"common", "deadly1"});
    crash(suspects, 2, {"common", "deadly2"});
    crash(suspects, 3, {"common", "deadly1"});
    trial_records records;
    follow_suspects(records, suspects, start);
    // WHEN a request holds the common part alone, THEN it is tried a second later
    CHECK_TRUE(time_to_trial_of(records, suspects, {"common", "sound"}, start + 1s) == 0ms);
    // AND one with a deadly part isn't
    CHECK_TRUE(time_to_trial_of(records, suspects, {"common", "deadly1"}, start + 1s) > 5s);
}

// Guards against trials of a deadly part that explains the crashes alone.
TEST(trials, a_part_that_alone_is_common_to_the_crashes_is_tried_late) {
    // GIVEN three crashes with one part and others that are never the same
    crash_suspects suspects;
    for (const int upstream : {1, 2, 3}) {
        const std::string number = std::to_string(upstream);
        crash(suspects, upstream, {"deadly", "part" + number, "request-" + number});
    }
    trial_records records;
    follow_suspects(records, suspects, start);
    // WHEN a request holds the part, THEN it isn't tried within ten seconds
    CHECK_TRUE(time_to_trial_of(records, suspects, {"deadly", "other"}, start) == 10s);
    // AND not within a minute where no other part was in progress
    crash_suspects alone;
    for (const int upstream : {1, 2, 3}) {
        crash(alone, upstream, {"deadly", "request-" + std::to_string(upstream)});
    }
    CHECK_TRUE(time_to_trial_of(records, alone, {"deadly", "other"}, start) == 60s);
}

// Guards against a deadly part that crashes one upstream after the other in trials.
TEST(trials, each_failed_trial_delays_the_next_one) {
    // GIVEN two parts that always came together, and the crash of a request that was a trial of one
    crash_suspects suspects;
    for (const int upstream : {1, 2, 3}) {
        crash(suspects, upstream, {"first", "second"});
    }
    crash(suspects, 4, {"first"}, true);
    crash(suspects, 4, {"third"});
    trial_records records;
    follow_suspects(records, suspects, start);
    // WHEN another request holds it, THEN it is tried ten times later
    CHECK_TRUE(time_to_trial_of(records, suspects, {"first", "fourth"}, start) == 10s);
    // AND after further failures at the end of the quarantine
    for (const int upstream : {5, 6, 7}) {
        crash(suspects, upstream, {"first"}, true);
        crash(suspects, upstream, {"third"});
    }
    follow_suspects(records, suspects, start);
    CHECK_TRUE(time_to_trial_of(records, suspects, {"first", "fourth"}, start) == 600s);
}

// Guards against trials of one key by several instances, or several requests, at once.
TEST(trials, one_request_of_one_instance_tries_a_key_at_a_time) {
    // GIVEN a part that may be tried, and three instances
    crash_suspects suspects;
    for (const int upstream : {1, 2, 3}) {
        crash(suspects, upstream, {"common", "deadly"});
    }
    trial_records records;
    follow_suspects(records, suspects, start);
    const parts keys{"common", "sound"};
    for (int step = 0; step < 60; ++step) {
        const instant now = start + 1s + step * 100ms;
        int ready = 0;
        for (std::size_t rank = 0; rank < 3; ++rank) {
            const milliseconds wait = time_to_trial_of(records, suspects, keys, now, {rank, 3});
            ready += wait == 0ms ? 1 : 0;
            // AND each one's turn comes again
            CHECK_TRUE(wait <= 2s);
        }
        // THEN it is one instance's turn at any time
        LONGS_EQUAL(1, ready);
    }
    // WHEN a request is a trial, THEN no other one is, until its result is known
    const parts tried{"common"};
    begin_trial(records, tried);
    CHECK_TRUE(is_on_trial(records, "common", start + 10s));
    CHECK_TRUE(time_to_trial_of(records, suspects, keys, start + 10s) > 0ms);
    end_trial(records, tried, start + 10s);
    CHECK_TRUE(time_to_trial_of(records, suspects, keys, start + 10s + 999ms) > 0ms);
    CHECK_TRUE(time_to_trial_of(records, suspects, keys, start + 11s) == 0ms);
}

// Guards against a request with two sound parts that no instance ever tries, as their turns differ.
TEST(trials, a_request_with_several_quarantined_parts_has_a_turn) {
    // GIVEN crashes with two sound parts and a deadly one, which became known at different times
    crash_suspects suspects;
    trial_records records;
    for (const int upstream : {1, 2, 3}) {
        crash(suspects, upstream, {"first", "deadly"});
    }
    follow_suspects(records, suspects, start);
    for (const int upstream : {1, 2, 3}) {
        crash(suspects, upstream, {"second"});
    }
    follow_suspects(records, suspects, start + 300ms);
    // WHEN requests hold both sound parts THEN it is one of five instances' turn at any time from
    // the later trial on
    const parts keys{"first", "second", "sound"};
    CHECK_TRUE(time_to_trial_of(records, suspects, keys, start + 1s) == 300ms);
    for (int step = 0; step < 50; ++step) {
        int ready = 0;
        for (std::size_t rank = 0; rank < 5; ++rank) {
            ready += time_to_trial_of(records, suspects, keys, start + 1300ms + step * 100ms,
                                      {rank, 5}) == 0ms
                         ? 1
                         : 0;
        }
        LONGS_EQUAL(1, ready);
    }
    // AND both are then on trial
    const auto decision = decide_trial(records, suspects, {keys, true}, {}, start + 2s);
    CHECK_TRUE(decision.quarantined == (parts{"first", "second"}));
}

TEST(trials, what_is_known_of_a_cleared_key_is_forgotten) {
    // GIVEN a quarantined part
    crash_suspects suspects;
    for (const int upstream : {1, 2, 3}) {
        crash(suspects, upstream, {"common", "deadly"});
    }
    trial_records records;
    follow_suspects(records, suspects, start);
    LONGS_EQUAL(2, records.size());
    // WHEN an answer clears it THEN nothing is kept of it
    suspects.erase("common");
    follow_suspects(records, suspects, start + 5s);
    LONGS_EQUAL(1, records.size());
    // AND a further crash of the other one begins its delay anew
    crash(suspects, 4, {"deadly"});
    follow_suspects(records, suspects, start + 20s);
    CHECK_TRUE(time_to_trial_of(records, suspects, {"deadly"}, start + 20s) == 60s);
}
