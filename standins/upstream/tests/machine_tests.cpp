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

//! Starts an attempt if the machine admits it, as the request handlers do.
start_decision arrive(upstream_machine& machine, const std::string& request, instant now) {
    record_arrival(machine, now);
    const start_decision decision = decide_start(machine, now);
    if (decision == start_decision::run) {
        start_work(machine, work(request), now);
    }
    return decision;
}

}  // namespace

// clang-format off
TEST_GROUP(upstream_admission) {};

// clang-format on

TEST(upstream_admission, work_over_the_cold_capacity_is_counted_and_crashes_it) {
    upstream_machine machine = make(false, 2);
    CHECK(arrive(machine, "r1", start) == start_decision::run);
    CHECK(arrive(machine, "r2", start) == start_decision::run);
    UNSIGNED_LONGS_EQUAL(0, machine.truth.over_cold);
    CHECK(arrive(machine, "r3", start) == start_decision::crash);
    UNSIGNED_LONGS_EQUAL(1, machine.truth.over_cold);
    LONGS_EQUAL(2, machine.truth.max_in_flight_cold);
}

TEST(upstream_admission, starts_after_turning_cold_count_separately_only_within_the_grace_period) {
    // GIVEN a warm upstream with three running attempts, which turns cold
    upstream_machine machine = make(true);
    for (const char* request : {"r1", "r2", "r3"}) {
        CHECK(arrive(machine, request, start) == start_decision::run);
    }
    turn_cold(machine, start);
    UNSIGNED_LONGS_EQUAL(0, machine.truth.over_cold + machine.truth.over_cold_grace);
    // WHEN one attempt arrives just before and one at the end of the grace period
    CHECK(arrive(machine, "r4", start + cold_grace - 1ms) == start_decision::run);
    CHECK(arrive(machine, "r5", start + cold_grace) == start_decision::crash);
    // THEN the first counts as within the grace period, the second as a violation
    UNSIGNED_LONGS_EQUAL(1, machine.truth.over_cold_grace);
    UNSIGNED_LONGS_EQUAL(1, machine.truth.over_cold);
}

TEST(upstream_admission, a_crash_loses_the_work_and_changes_the_incarnation) {
    upstream_machine machine = make(true);
    arrive(machine, "r1", start);
    const std::string before = machine.incarnation;
    crash_upstream(machine, start);
    CHECK(arrive(machine, "r2", start) == start_decision::down);
    restart(machine, start + 500ms);
    CHECK(before != machine.incarnation);
    LONGS_EQUAL(0, in_flight(machine));
    STRCMP_EQUAL("cold", state_name(machine).c_str());
}

TEST(upstream_admission, turns_warm_after_the_warm_up_time) {
    upstream_machine machine = make(false);
    refresh(machine, start + 59999ms);
    CHECK(!machine.warm);
    refresh(machine, start + 60000ms);
    CHECK(machine.warm);
}

TEST(upstream_admission, work_waits_when_warm_and_at_capacity) {
    upstream_machine machine = make(true);
    for (const char* request : {"r1", "r2", "r3", "r4"}) {
        CHECK(arrive(machine, request, start) == start_decision::run);
    }
    CHECK(arrive(machine, "r5", start) == start_decision::wait);
}

TEST(upstream_admission, work_after_the_grace_of_a_mark_is_counted) {
    upstream_machine machine = make(true);
    machine.out_of_service_since = start;
    machine.leaving_since = start + 1000ms;
    record_arrival(machine, start + marked_grace);
    UNSIGNED_LONGS_EQUAL(0, machine.truth.while_out);
    record_arrival(machine, start + marked_grace + 1ms);
    UNSIGNED_LONGS_EQUAL(1, machine.truth.while_out);
    UNSIGNED_LONGS_EQUAL(0, machine.truth.while_leaving);
}

TEST(upstream_admission, runs_are_counted_by_key_and_attempt) {
    upstream_machine machine = make(true);
    start_work(machine, work("r1", "k"), start);
    start_work(machine, work("r1", "k"), start);
    UNSIGNED_LONGS_EQUAL(2, machine.truth.runs_by_key["k"]);
    UNSIGNED_LONGS_EQUAL(1, machine.truth.repeated_attempts);
}

TEST(upstream_admission, cancelled_and_disconnected_work_frees_its_capacity) {
    upstream_machine machine = make(false, 1);
    arrive(machine, "r1", start);
    CHECK(cancel_work(machine, {"r1", "a1"}));
    CHECK(!cancel_work(machine, {"r1", "a1"}));
    CHECK(arrive(machine, "r2", start) == start_decision::run);
    drop_disconnected(machine, [](int /*socket*/) { return true; });
    CHECK(arrive(machine, "r3", start) == start_decision::run);
    UNSIGNED_LONGS_EQUAL(0, machine.truth.over_cold);
}
