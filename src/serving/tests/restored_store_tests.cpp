//! Tests of the fleet's state over a restoration of the store from an older copy.
#include "serving/fleet_state.h"
#include "types/store_version.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(100'000)};

object_version first_era(std::uint64_t revision) {
    return make_store_version(1, revision);
}

//! Versions after the restoration; their revisions are lower.
object_version second_era(std::uint64_t revision) {
    return make_store_version(2, revision);
}

serving_upstream make_upstream(const char* id, bool is_leaving = false) {
    serving_upstream upstream;
    upstream.id.value = id;
    upstream.pool.value = "p";
    upstream.address = "10.0.0.1:1";
    upstream.is_leaving = is_leaving;
    upstream.started_at_ms = 7;
    return upstream;
}

std::size_t usable(const fleet_view_ptr& view) {
    const auto found = view->pools.find({"p"});
    return found == view->pools.end() ? 0 : found->second.size();
}

fleet_state make_fleet_state() {
    fleet_state state;
    reduce(state, store_became_reachable{}, start - 60s);
    return state;
}

}  // namespace

TEST_GROUP(restored_store){};

TEST(restored_store, versions_compare_eras_first) {
    // GIVEN a version of an earlier era with a higher revision
    // THEN it is the lower version, and both parts can be read
    CHECK_TRUE(first_era(900) < second_era(5));
    LONGS_EQUAL(2, era_of(second_era(5)));
    LONGS_EQUAL(5, revision_of(second_era(5)));
}

TEST(restored_store, an_upstream_that_leaves_is_not_used_again_by_an_older_copy) {
    // GIVEN an upstream that has said that it leaves
    fleet_state state = make_fleet_state();
    reduce(state, upstreams_listed{{make_upstream("u")}, first_era(10)}, start);
    reduce(state, upstream_written{make_upstream("u", true), first_era(20)}, start);
    // WHEN the copy lists it as usable, and it writes its load in the new era
    const auto listed =
        reduce(state, upstreams_listed{{make_upstream("u")}, second_era(10)}, start + 1s);
    reduce(state, upstream_written{make_upstream("u"), second_era(12)}, start + 1s);
    // THEN it is still leaving
    CHECK_TRUE(!listed.view || usable(listed.view) == 0);
    CHECK_TRUE(state.upstreams.at({"u"}).value.is_leaving);
    // WHEN another process registers with its id, THEN that one is used
    serving_upstream next = make_upstream("u");
    next.started_at_ms = 8;
    LONGS_EQUAL(1, usable(reduce(state, upstream_written{next, second_era(13)}, start + 2s).view));
}

TEST(restored_store, a_departed_upstream_is_used_only_if_it_registers_again) {
    // GIVEN an upstream whose entry was deleted
    fleet_state state = make_fleet_state();
    reduce(state, upstreams_listed{{make_upstream("u")}, first_era(10)}, start);
    reduce(state, upstream_removed{{"u"}, first_era(20)}, start);
    // WHEN the copy lists it, THEN it isn't used
    reduce(state, upstreams_listed{{make_upstream("u")}, second_era(10)}, start + 1s);
    CHECK_FALSE(state.upstreams.contains({"u"}));
    // WHEN it writes its entry in the new era, THEN it is used
    LONGS_EQUAL(
        1,
        usable(
            reduce(state, upstream_written{make_upstream("u"), second_era(11)}, start + 2s).view));
}

TEST(restored_store, an_upstream_that_the_copy_lacks_may_register_again) {
    // GIVEN an upstream that registered after the copy was made
    fleet_state state = make_fleet_state();
    reduce(state, upstreams_listed{{make_upstream("u")}, first_era(10)}, start);
    // WHEN the copy lacks it, THEN it stays for the time of its registration
    reduce(state, upstreams_listed{{}, second_era(5)}, start + 1s);
    CHECK_TRUE(state.upstreams.contains({"u"}));
    reduce(state, fleet_tick{}, start + 1s + reregistration_time);
    CHECK_FALSE(state.upstreams.contains({"u"}));
}

TEST(restored_store, a_zone_stays_out_of_service_until_operators_have_repeated_it) {
    // GIVEN two zones that were taken out of service
    fleet_state state = make_fleet_state();
    reduce(state, zones_out_of_service_listed{{{"a"}, {"b"}}, first_era(10)}, start);
    // WHEN the copy lacks both, and one is taken out again
    reduce(state, zones_out_of_service_listed{{}, second_era(5)}, start + 1s);
    CHECK_TRUE(state.zones_out_of_service.contains({"a"}));
    reduce(state, zone_taken_out_of_service{{"b"}}, start + 2s);
    // AND the list is read again
    reduce(state, zones_out_of_service_listed{{{"b"}}, second_era(7)}, start + 3s);
    CHECK_TRUE(state.zones_out_of_service.contains({"a"}));
    // THEN only that one is out once the others had the time to be repeated
    reduce(state, fleet_tick{}, start + 1s + rewrite_time);
    CHECK_TRUE(state.zones_out_of_service == (std::set<zone_name>{{"b"}}));
}

TEST(restored_store, members_that_the_copy_lacks_stay_until_they_had_time_to_register) {
    // GIVEN two members
    fleet_state state = make_fleet_state();
    const member one{{"1"}, "10.0.0.1:1", {"z"}, 1000};
    const member two{{"2"}, "10.0.0.2:1", {"z"}, 1000};
    reduce(state, members_listed{{one, two}, first_era(10)}, start);
    // WHEN the copy has one of them, and the other doesn't register again
    reduce(state, members_listed{{one}, second_era(5)}, start + 1s);
    LONGS_EQUAL(2, state.members.size());
    // THEN it is gone after some time
    const auto later = reduce(state, fleet_tick{}, start + 1s + rewrite_time);
    LONGS_EQUAL(1, later.view->members.size());
}

TEST(restored_store, crashes_that_the_copy_lacks_stay_in_force_and_count_as_not_stored) {
    // GIVEN a quarantined key and a suspect of which the copy knows one crash less
    fleet_state state = make_fleet_state();
    const upstream_crash crash_1{{"p"}, "u1@1"};
    const upstream_crash crash_2{{"p"}, "u2@1"};
    const upstream_crash crash_3{{"p"}, "u3@1"};
    reduce(state,
           suspects_listed{{{{"x", {crash_1, crash_2, crash_3}}, first_era(8)},
                            {{"y", {crash_1, crash_2}}, first_era(9)}},
                           first_era(10)},
           start);
    // WHEN the copy lacks the first one
    reduce(state, suspects_listed{{{{"y", {crash_1}}, second_era(3)}}, second_era(5)}, start + 1s);
    // THEN all crashes are in force, and those that it lacks are to be stored again
    CHECK_TRUE(is_quarantined(merged_suspect(state.suspects.at("x"))));
    LONGS_EQUAL(3, state.suspects.at("x").unconfirmed.size());
    LONGS_EQUAL(0, state.suspects.at("x").stored.revision);
    LONGS_EQUAL(2, merged_suspect(state.suspects.at("y")).crashes.size());
    LONGS_EQUAL(1, state.suspects.at("y").unconfirmed.size());
}
