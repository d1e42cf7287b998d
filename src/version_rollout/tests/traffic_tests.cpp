#include "version_rollout/tests/rollout_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

answer_function good() {
    return [](const auto& /*version*/, const auto& /*route*/, milliseconds /*at*/,
              auto& /*random*/) { return version_answer{}; };
}

}  // namespace

TEST_GROUP(rollout_traffic){};

// Guards against a bad version that gets traffic before its order is known: its upstreams may be
// read earlier than the order.
TEST(rollout_traffic, new_version_waits_until_the_orders_are_confirmed) {
    // GIVEN an instance that knows the old version
    rollout_fleet fleet(1, good());
    fleet.run(1000ms, 10);
    rollout_state& state = fleet.states.front();
    const instant now = instant{} + fleet.now();

    // WHEN it reads upstreams of a new version
    fleet.add_upstreams(new_version, 2);
    const auto view = std::make_shared<fleet_view>(fleet.view);
    (void)reduce(state, rollout_view_changed{view}, now + 10ms);

    // THEN it uses them only after the orders were confirmed as of a later time
    CHECK(choose_versions(state, the_pool, "/r", now + 20ms).preferred == std::set{old_version});
    (void)reduce(state, orders_confirmed{now + 9ms}, now + 30ms);
    CHECK(choose_versions(state, the_pool, "/r", now + 40ms).preferred == std::set{old_version});
    (void)reduce(state, orders_confirmed{now + 10ms}, now + 50ms);
    CHECK_FALSE(choose_versions(state, the_pool, "/r", now + 60ms).preferred.has_value());
}

// Guards against refusals at the start of a fleet with one version.
TEST(rollout_traffic, only_version_needs_no_confirmation) {
    // GIVEN an instance that has read upstreams but no orders
    rollout_fleet fleet(1, good());
    rollout_state& state = fleet.states.front();
    const auto view = std::make_shared<fleet_view>(fleet.view);
    (void)reduce(state, rollout_view_changed{view}, instant{} + 10ms);

    // WHEN a request arrives
    // THEN the version is used
    CHECK_FALSE(choose_versions(state, the_pool, "/r", instant{} + 20ms).preferred.has_value());
}

// Guards against an instance that goes on sending requests to a bad version because it can't read
// the order's status.
TEST(rollout_traffic, stale_orders_stop_the_target) {
    // GIVEN an order that runs
    rollout_fleet fleet(2, good());
    fleet.write_order();
    fleet.add_upstreams(new_version, 5);
    fleet.run(5000ms, 100);
    CHECK(fleet.seen.target > 0);

    // WHEN the store can't be read for longer than the age limit
    fleet.is_store_down = true;
    fleet.run(2000ms, 100);
    const std::uint64_t before = fleet.seen.target;
    fleet.run(3000ms, 100);

    // THEN the target gets nothing more
    CHECK_EQUAL(before, fleet.seen.target);
}

// Guards against a version that is bad on a rare route and isn't tried there.
TEST(rollout_traffic, rare_routes_go_first) {
    // GIVEN a route that one request in 30 is for
    rollout_fleet fleet(1, good());
    fleet.routes.assign(29, "/often");
    fleet.routes.emplace_back("/rarely");
    fleet.write_order();
    fleet.add_upstreams(new_version, 5);

    // WHEN the order runs for 10 s
    fleet.run(10'000ms, 100);

    // THEN the target got most requests of that route
    const order_progress& progress = fleet.states.front().orders.at(the_pool);
    CHECK(progress.sent_by_route.at("/rarely") >= 15);
}

// Guards against a version that is bad only under load, and whose upstreams all idle.
TEST(rollout_traffic, few_upstreams_of_the_target_get_its_requests) {
    // GIVEN ten upstreams of either version
    rollout_fleet fleet(1, good());
    fleet.write_order();
    fleet.add_upstreams(new_version, 10);

    // WHEN the order runs
    fleet.run(2000ms, 100);

    // THEN one upstream of the target carries what one of the old version does
    CHECK_EQUAL(9U, fleet.states.front().orders.at(the_pool).outside_subset.size());
}

// Guards against the target of a removed order being used as if it were a rolling release.
TEST(rollout_traffic, removed_order_keeps_the_target_out) {
    // GIVEN an order that runs
    rollout_fleet fleet(2, good());
    fleet.write_order();
    fleet.add_upstreams(new_version, 5);
    fleet.run(5000ms, 100);

    // WHEN its entry is removed without a verdict
    fleet.remove_order();
    fleet.run(1000ms, 100);
    const rollout_state& state = fleet.states.front();
    const instant now = instant{} + fleet.now();

    // THEN the target gets nothing until the deadline, also no stream that it began
    CHECK(choose_versions(state, the_pool, "/r", now).preferred == std::set{old_version});
    CHECK_FALSE(may_continue(state, the_pool, new_version, now));
    const instant later = now + 60'000ms;
    CHECK_FALSE(choose_versions(state, the_pool, "/r", later).preferred.has_value());
}

// Guards against counts of an order that a later one replaced.
TEST(rollout_traffic, new_order_replaces_the_old_one) {
    // GIVEN an order that runs
    rollout_fleet fleet(2, good());
    fleet.write_order("1");
    fleet.add_upstreams(new_version, 5);
    fleet.run(10'000ms, 100);

    // WHEN another one with another target follows
    fleet.write_order("2", 60'000ms, {"3"});
    fleet.run(1000ms, 100);
    const rollout_state& state = fleet.states.front();

    // THEN the counts begin anew, and the first target gets nothing
    CHECK_EQUAL(0U, state.orders.at(the_pool).target_requests);
    CHECK(choose_versions(state, the_pool, "/r", instant{} + fleet.now()).preferred ==
          std::set{old_version});
}
