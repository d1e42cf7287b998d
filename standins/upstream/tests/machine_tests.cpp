#include "standins/upstream/machine.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::standins;

namespace {

constexpr instant start{milliseconds(1000000)};

upstream_machine make(bool warm, int cold_capacity = 1) {
    upstream_settings settings;
    settings.id = "U1";
    settings.capacity = 4;
    settings.cold_capacity = cold_capacity;
    settings.starts_warm = warm;
    settings.warm_after = 60000ms;
    return make_machine(settings, start);
}

arriving_work work(const std::string& request, const std::string& key = "") {
    return {{request, "a1"}, key, "z", -1, ""};
}

//! Starts work if the judge lets it, as the handlers do.
start_verdict arrive(upstream_machine& machine, const std::string& request, instant now) {
    judge_arrival(machine, now);
    const start_verdict verdict = judge_start(machine, now);
    if (verdict == start_verdict::run) {
        start_work(machine, work(request), now);
    }
    return verdict;
}

}  // namespace

// clang-format off
TEST_GROUP(upstream_judge) {};

// clang-format on

TEST(upstream_judge, work_over_the_cold_capacity_counts_and_makes_it_fall) {
    upstream_machine machine = make(false, 2);
    CHECK(arrive(machine, "r1", start) == start_verdict::run);
    CHECK(arrive(machine, "r2", start) == start_verdict::run);
    UNSIGNED_LONGS_EQUAL(0, machine.truth.over_cold);
    CHECK(arrive(machine, "r3", start) == start_verdict::fall_over);
    UNSIGNED_LONGS_EQUAL(1, machine.truth.over_cold);
    LONGS_EQUAL(2, machine.truth.max_in_flight_cold);
}

TEST(upstream_judge, turning_cold_counts_apart_only_within_the_grace) {
    // GIVEN a warm upstream with three pieces of work, which turns cold
    upstream_machine machine = make(true);
    for (const char* request : {"r1", "r2", "r3"}) {
        CHECK(arrive(machine, request, start) == start_verdict::run);
    }
    turn_cold(machine, start);
    UNSIGNED_LONGS_EQUAL(0, machine.truth.over_cold + machine.truth.over_cold_grace);
    // WHEN more arrives just before and at the end of the grace
    CHECK(arrive(machine, "r4", start + cold_grace - 1ms) == start_verdict::run);
    CHECK(arrive(machine, "r5", start + cold_grace) == start_verdict::fall_over);
    // THEN each is counted in its place
    UNSIGNED_LONGS_EQUAL(1, machine.truth.over_cold_grace);
    UNSIGNED_LONGS_EQUAL(1, machine.truth.over_cold);
}

TEST(upstream_judge, a_fall_loses_the_work_and_brings_another_incarnation) {
    upstream_machine machine = make(true);
    arrive(machine, "r1", start);
    const std::string before = machine.incarnation;
    fall_over(machine, start);
    CHECK(arrive(machine, "r2", start) == start_verdict::down);
    restart(machine, start + 500ms);
    CHECK(before != machine.incarnation);
    LONGS_EQUAL(0, in_flight(machine));
    STRCMP_EQUAL("cold", state_name(machine).c_str());
}

TEST(upstream_judge, warms_up_after_its_time) {
    upstream_machine machine = make(false);
    refresh(machine, start + 59999ms);
    CHECK(!machine.warm);
    refresh(machine, start + 60000ms);
    CHECK(machine.warm);
}

TEST(upstream_judge, warm_and_full_makes_work_wait) {
    upstream_machine machine = make(true);
    for (const char* request : {"r1", "r2", "r3", "r4"}) {
        CHECK(arrive(machine, request, start) == start_verdict::run);
    }
    CHECK(arrive(machine, "r5", start) == start_verdict::wait);
}

TEST(upstream_judge, work_long_after_a_mark_counts) {
    upstream_machine machine = make(true);
    machine.out_since = start;
    machine.leaving_since = start + 1000ms;
    judge_arrival(machine, start + marked_bound);
    UNSIGNED_LONGS_EQUAL(0, machine.truth.while_out);
    judge_arrival(machine, start + marked_bound + 1ms);
    UNSIGNED_LONGS_EQUAL(1, machine.truth.while_out);
    UNSIGNED_LONGS_EQUAL(0, machine.truth.while_leaving);
}

TEST(upstream_judge, runs_are_counted_by_key_and_attempt) {
    upstream_machine machine = make(true);
    start_work(machine, work("r1", "k"), start);
    start_work(machine, work("r1", "k"), start);
    UNSIGNED_LONGS_EQUAL(2, machine.truth.runs_by_key["k"]);
    UNSIGNED_LONGS_EQUAL(1, machine.truth.repeated_attempts);
}

TEST(upstream_judge, cancelled_and_closed_work_frees_its_place) {
    upstream_machine machine = make(false, 1);
    arrive(machine, "r1", start);
    CHECK(cancel_work(machine, {"r1", "a1"}));
    CHECK(!cancel_work(machine, {"r1", "a1"}));
    CHECK(arrive(machine, "r2", start) == start_verdict::run);
    drop_gone(machine, [](int /*socket*/) { return true; });
    CHECK(arrive(machine, "r3", start) == start_verdict::run);
    UNSIGNED_LONGS_EQUAL(0, machine.truth.over_cold);
}
