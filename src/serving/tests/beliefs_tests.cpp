#include "serving/beliefs.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(100'000)};

serving_upstream make_upstream(std::string id, std::string zone = "z1") {
    serving_upstream one;
    one.id = {std::move(id)};
    one.pool = {"p"};
    one.address = "10.0.0.1:80";
    one.zone = {std::move(zone)};
    return one;
}

std::size_t usable(const fleet_view_ptr& view) {
    const auto found = view->pools.find({"p"});
    return found == view->pools.end() ? 0 : found->second.size();
}

//! Beliefs with the store reached for a long time and two upstreams.
beliefs make_beliefs() {
    beliefs state;
    reduce(state, store_regained{}, start - 60s);
    reduce(state, upstreams_listed{{make_upstream("u1"), make_upstream("u2", "z2")}, 10}, start);
    return state;
}

}  // namespace

TEST_GROUP(beliefs){};

TEST(beliefs, a_configuration_never_goes_back) {
    // GIVEN version 7 in force
    beliefs state;
    catalogue newer;
    newer.version = 7;
    reduce(state, catalogue_read{newer}, start);
    // WHEN an older version is read, as from a stale read
    catalogue older;
    older.version = 6;
    const auto outcome = reduce(state, catalogue_read{older}, start + 1s);
    // THEN nothing changes
    POINTERS_EQUAL(nullptr, outcome.view.get());
    LONGS_EQUAL(7, state.lists->version);
}

TEST(beliefs, a_leaving_upstream_gets_no_work_at_once) {
    // GIVEN two upstreams
    beliefs state = make_beliefs();
    // WHEN one reports that it leaves
    serving_upstream leaving = make_upstream("u1");
    leaving.is_leaving = true;
    const auto outcome = reduce(state, upstream_written{leaving, 11}, start + 1s);
    // THEN the new view has the other only, and the change is told with its version
    LONGS_EQUAL(1, usable(outcome.view));
    STRCMP_EQUAL("upstream_leaving", outcome.changes.front().what.c_str());
    LONGS_EQUAL(11, outcome.changes.front().version);
}

TEST(beliefs, an_event_older_than_the_list_changes_nothing) {
    // GIVEN upstreams listed at revision 10
    beliefs state = make_beliefs();
    // WHEN an event of revision 9 comes late
    serving_upstream leaving = make_upstream("u1");
    leaving.is_leaving = true;
    const auto written = reduce(state, upstream_written{leaving, 9}, start + 1s);
    const auto removed = reduce(state, upstream_removed{{"u2"}, 9}, start + 1s);
    // THEN no new view is made
    POINTERS_EQUAL(nullptr, written.view.get());
    POINTERS_EQUAL(nullptr, removed.view.get());
    // AND both upstreams are still in use
    CHECK_FALSE(state.upstreams.at({"u1"}).value.is_leaving);
    CHECK_FALSE(state.upstreams.at({"u2"}).is_gone);
}

TEST(beliefs, a_removed_upstream_is_gone_at_once_while_the_store_is_stable) {
    // GIVEN two upstreams
    beliefs state = make_beliefs();
    // WHEN the store removes one
    const auto outcome = reduce(state, upstream_removed{{"u1"}, 11}, start + 1s);
    // THEN it gets nothing any more
    LONGS_EQUAL(1, usable(outcome.view));
}

TEST(beliefs, entries_that_lapsed_in_an_outage_may_come_back_for_two_seconds) {
    // GIVEN an outage of the store in which an entry has lapsed
    beliefs state = make_beliefs();
    reduce(state, store_lost{}, start + 1s);
    reduce(state, store_regained{}, start + 5s);
    const auto listed =
        reduce(state, upstreams_listed{{make_upstream("u2", "z2")}, 20}, start + 5s);
    // WHEN it hasn't come back yet
    // THEN the upstream is still used
    LONGS_EQUAL(2, usable(listed.view));
    // WHEN it is still missing after two seconds
    POINTERS_EQUAL(nullptr, reduce(state, beliefs_tick{}, start + 6999ms).view.get());
    const auto late = reduce(state, beliefs_tick{}, start + 7s);
    // THEN it counts as gone
    LONGS_EQUAL(1, usable(late.view));
}

TEST(beliefs, an_upstream_that_registers_again_is_kept) {
    // GIVEN an entry that lapsed in an outage
    beliefs state = make_beliefs();
    reduce(state, store_lost{}, start + 1s);
    reduce(state, store_regained{}, start + 5s);
    reduce(state, upstreams_listed{{make_upstream("u2", "z2")}, 20}, start + 5s);
    // WHEN the upstream registers again in time
    reduce(state, upstream_written{make_upstream("u1"), 21}, start + 6s);
    const auto outcome = reduce(state, member_removed{"none"}, start + 8s);
    // THEN it is in use after the two seconds
    POINTERS_EQUAL(nullptr, outcome.view.get());
    CHECK_TRUE(state.upstreams.contains({"u1"}));
}

TEST(beliefs, a_zone_out_of_service_gets_no_work_until_it_returns) {
    // GIVEN upstreams in two zones
    beliefs state = make_beliefs();
    // WHEN one zone is taken out and returned
    const auto out = reduce(state, zone_taken_out{{"z2"}}, start + 1s);
    const auto back = reduce(state, zone_returned{{"z2"}}, start + 2s);
    // THEN its upstream is left out of the first view and is in the second
    LONGS_EQUAL(1, usable(out.view));
    LONGS_EQUAL(2, usable(back.view));
}

TEST(beliefs, news_that_comes_together_makes_one_view) {
    // GIVEN the entries of a large fleet's upstreams, as one page of the store tells them
    beliefs state = make_beliefs();
    std::vector<store_news> page;
    for (std::uint64_t revision = 11; revision < 511; ++revision) {
        page.emplace_back(
            upstream_written{make_upstream("n" + std::to_string(revision)), revision});
    }
    const std::uint64_t before = state.views;
    // WHEN they are taken
    const auto outcome = reduce(state, page, start + 1s);
    // THEN there is one view with all of them, and each is told of
    LONGS_EQUAL(before + 1, state.views);
    LONGS_EQUAL(502, usable(outcome.view));
    LONGS_EQUAL(500, outcome.changes.size());
}
