#include "serving/fleet_state.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(100'000)};

serving_upstream make_upstream(std::string id, std::string zone = "z1") {
    serving_upstream upstream;
    upstream.id = {std::move(id)};
    upstream.pool = {"p"};
    upstream.address = "10.0.0.1:80";
    upstream.zone = {std::move(zone)};
    return upstream;
}

//! Number of upstreams in the pool that may receive requests.
std::size_t usable_count(const fleet_view_ptr& view) {
    const auto found = view->pools.find({"p"});
    return found == view->pools.end() ? 0 : found->second.size();
}

//! State with two upstreams and a store that has been reached for 60 s.
fleet_state make_fleet_state() {
    fleet_state state;
    reduce(state, store_became_reachable{}, start - 60s);
    reduce(state, upstreams_listed{{make_upstream("u1"), make_upstream("u2", "z2")}, 10}, start);
    return state;
}

}  // namespace

TEST_GROUP(fleet_state){};

TEST(fleet_state, a_configuration_is_never_replaced_by_an_older_version) {
    // GIVEN version 7 in force
    fleet_state state;
    serving_config newer;
    newer.version = 7;
    reduce(state, serving_config_read{newer}, start);
    // WHEN an older version is read, e.g. by a stale read
    serving_config older;
    older.version = 6;
    const auto outcome = reduce(state, serving_config_read{older}, start + 1s);
    // THEN nothing changes
    POINTERS_EQUAL(nullptr, outcome.view.get());
    LONGS_EQUAL(7, state.config->version);
}

TEST(fleet_state, a_leaving_upstream_gets_no_new_work) {
    // GIVEN two upstreams
    fleet_state state = make_fleet_state();
    // WHEN one reports that it leaves
    serving_upstream leaving = make_upstream("u1");
    leaving.is_leaving = true;
    const auto outcome = reduce(state, upstream_written{leaving, 11}, start + 1s);
    // THEN the new view holds only the other one, and the change is reported with its version
    LONGS_EQUAL(1, usable_count(outcome.view));
    STRCMP_EQUAL("upstream_leaving", outcome.changes.front().what.c_str());
    LONGS_EQUAL(11, outcome.changes.front().version);
}

TEST(fleet_state, an_event_older_than_the_list_changes_nothing) {
    // GIVEN upstreams listed at revision 10
    fleet_state state = make_fleet_state();
    // WHEN events of revision 9 arrive late
    serving_upstream leaving = make_upstream("u1");
    leaving.is_leaving = true;
    const auto written = reduce(state, upstream_written{leaving, 9}, start + 1s);
    const auto removed = reduce(state, upstream_removed{{"u2"}, 9}, start + 1s);
    // THEN no new view is made
    POINTERS_EQUAL(nullptr, written.view.get());
    POINTERS_EQUAL(nullptr, removed.view.get());
    // AND both upstreams are still in use
    CHECK_FALSE(state.upstreams.at({"u1"}).value.is_leaving);
    CHECK_FALSE(state.upstreams.at({"u2"}).is_removed);
}

TEST(fleet_state, a_removed_upstream_is_dropped_at_once_while_the_store_is_reached) {
    // GIVEN two upstreams
    fleet_state state = make_fleet_state();
    // WHEN the store removes one
    const auto outcome = reduce(state, upstream_removed{{"u1"}, 11}, start + 1s);
    // THEN it is no longer in the view
    LONGS_EQUAL(1, usable_count(outcome.view));
}

TEST(fleet_state, upstreams_may_register_again_for_two_seconds_after_an_outage) {
    // GIVEN a store outage in which the entry of u1 expired
    fleet_state state = make_fleet_state();
    reduce(state, store_became_unreachable{}, start + 1s);
    reduce(state, store_became_reachable{}, start + 5s);
    const auto listed =
        reduce(state, upstreams_listed{{make_upstream("u2", "z2")}, 20}, start + 5s);
    // WHEN u1 hasn't registered again yet
    // THEN it is still used
    LONGS_EQUAL(2, usable_count(listed.view));
    // WHEN it is still missing after two seconds
    POINTERS_EQUAL(nullptr, reduce(state, fleet_tick{}, start + 6999ms).view.get());
    const auto late = reduce(state, fleet_tick{}, start + 7s);
    // THEN it is removed from the view
    LONGS_EQUAL(1, usable_count(late.view));
}

TEST(fleet_state, an_upstream_that_registers_again_is_kept) {
    // GIVEN an upstream whose entry expired in a store outage
    fleet_state state = make_fleet_state();
    reduce(state, store_became_unreachable{}, start + 1s);
    reduce(state, store_became_reachable{}, start + 5s);
    reduce(state, upstreams_listed{{make_upstream("u2", "z2")}, 20}, start + 5s);
    // WHEN the upstream registers again in time
    reduce(state, upstream_written{make_upstream("u1"), 21}, start + 6s);
    const auto outcome = reduce(state, member_removed{"none"}, start + 8s);
    // THEN it is still in use after the two seconds
    POINTERS_EQUAL(nullptr, outcome.view.get());
    CHECK_TRUE(state.upstreams.contains({"u1"}));
}

TEST(fleet_state, a_zone_out_of_service_gets_no_work_until_it_returns) {
    // GIVEN upstreams in two zones
    fleet_state state = make_fleet_state();
    // WHEN one zone is taken out and returned
    const auto out = reduce(state, zone_taken_out_of_service{{"z2"}}, start + 1s);
    const auto back = reduce(state, zone_returned_to_service{{"z2"}}, start + 2s);
    // THEN the first view excludes its upstream, and the second includes it
    LONGS_EQUAL(1, usable_count(out.view));
    LONGS_EQUAL(2, usable_count(back.view));
}

// Guards against the late deletion of a process's entry that takes its successor off the list.
TEST(fleet_state, the_deletion_of_another_processes_entry_leaves_a_member_listed) {
    // GIVEN a member whose address an earlier process had
    fleet_state state;
    reduce(state, members_listed{{{{"second"}, "10.0.0.1:7", {"z"}}}, 5}, start);
    // WHEN the entry of the earlier process is deleted THEN the member stays
    CHECK_FALSE(reduce(state, member_removed{"10.0.0.1:7", {"first"}}, start).view);
    LONGS_EQUAL(1, state.members.size());
    // WHEN its own is deleted THEN it is gone
    CHECK_TRUE(reduce(state, member_removed{"10.0.0.1:7", {"second"}}, start).view != nullptr);
    LONGS_EQUAL(0, state.members.size());
}

TEST(fleet_state, updates_that_arrive_together_make_one_view) {
    // GIVEN one page of the store with the entries of 500 upstreams
    fleet_state state = make_fleet_state();
    std::vector<store_event> page;
    for (std::uint64_t revision = 11; revision < 511; ++revision) {
        page.emplace_back(
            upstream_written{make_upstream("n" + std::to_string(revision)), revision});
    }
    const std::uint64_t before = state.view_count;
    // WHEN the page is applied
    const auto outcome = reduce(state, page, start + 1s);
    // THEN one view is made with all of them, and each change is reported
    LONGS_EQUAL(before + 1, state.view_count);
    LONGS_EQUAL(502, usable_count(outcome.view));
    LONGS_EQUAL(500, outcome.changes.size());
}
