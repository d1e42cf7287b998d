#include "version_rollout/tests/rollout_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

constexpr milliseconds duration{60'000};

answer_function good() {
    return [](const auto& /*version*/, const auto& /*route*/, milliseconds /*at*/, auto& random) {
        return version_answer{false, milliseconds(60 + random() % 120),
                              milliseconds(20 + random() % 40)};
    };
}

answer_function bad() {
    return [](const auto& version, const auto& /*route*/, milliseconds at, auto& random) {
        return version_answer{version == new_version && at > milliseconds(3000) &&
                                  random() % 3 == 0,
                              milliseconds(60 + random() % 120), milliseconds(20 + random() % 40)};
    };
}

void begin(rollout_fleet& fleet) {
    fleet.run(1000ms, 100);
    fleet.write_order();
    fleet.add_upstreams(new_version, 10);
    fleet.run(2000ms, 100);
}

void check_share(const exposure& seen) {
    CHECK(static_cast<double>(seen.target) <= 0.1 * static_cast<double>(seen.pool) + 50);
}

}  // namespace

TEST_GROUP(rollout_failures){};

// Guards against an order without verdict after the process that decides was killed.
TEST(rollout_failures, killed_decider_is_replaced) {
    // GIVEN an order for a bad version
    rollout_fleet fleet(8, bad());
    begin(fleet);

    // WHEN the decider is gone
    const std::size_t killed = fleet.decider();
    fleet.frozen.insert(killed);
    fleet.run_to_verdict(30'000ms, 100);

    // THEN another one rolls back
    CHECK(fleet.phase() == rollout_phase::rolled_back);
    check_share(fleet.seen);
}

// Guards against a decider that was frozen and, when it runs again, decides on old figures.
TEST(rollout_failures, thawed_decider_changes_nothing) {
    // GIVEN a decider that is frozen while another one rolls back
    rollout_fleet fleet(8, bad());
    begin(fleet);
    const std::size_t decider = fleet.decider();
    fleet.frozen.insert(decider);
    fleet.run(50'000ms, 100);
    CHECK(fleet.phase() == rollout_phase::rolled_back);

    // WHEN it runs again
    fleet.frozen.clear();
    const std::uint64_t before = fleet.seen.target;
    fleet.run(5000ms, 100);

    // THEN the status stays, and the target gets nothing
    CHECK(fleet.phase() == rollout_phase::rolled_back);
    CHECK_EQUAL(before, fleet.seen.target);
}

// Guards against a decider that hears of no one and accepts the version, or blocks the others.
TEST(rollout_failures, partitioned_decider_is_replaced) {
    for (const bool is_bad : {false, true}) {
        // GIVEN an order, and a decider without connections to its peers
        rollout_fleet fleet(8, is_bad ? bad() : good());
        begin(fleet);
        fleet.cut_off.insert(fleet.decider());

        // WHEN the order runs
        fleet.run_to_verdict(duration, 100);

        // THEN the verdict is right
        CHECK(fleet.phase() == (is_bad ? rollout_phase::rolled_back : rollout_phase::completed));
    }
}

// Guards against a bad version that stays in use while its rejection can't be stored.
TEST(rollout_failures, rejection_holds_without_the_store) {
    // GIVEN an order for a bad version
    rollout_fleet fleet(8, bad());
    begin(fleet);
    fleet.run(1500ms, 100);

    // WHEN the store can't be reached for 10 s
    fleet.is_store_down = true;
    fleet.run(10'000ms, 100);
    fleet.is_store_down = false;
    fleet.run_to_verdict(30'000ms, 100);

    // THEN the order is rolled back later
    CHECK(fleet.phase() == rollout_phase::rolled_back);
    check_share(fleet.seen);
}

// Guards against an instance that alone can't read the store and goes on with a rejected version.
TEST(rollout_failures, instance_without_the_store_learns_the_verdict_from_peers) {
    // GIVEN an order for a bad version
    rollout_fleet fleet(8, bad());
    begin(fleet);

    // WHEN one instance loses the store and the others roll back
    fleet.without_store.insert(5);
    fleet.run_to_verdict(30'000ms, 100);
    fleet.run(1000ms, 100);

    // THEN it knows
    CHECK(fleet.states[5].orders.at(the_pool).step == rollout_step::rolled_back);
}

// Guards against a verdict that is lost with a store that was restored from an older copy.
TEST(rollout_failures, verdict_is_written_again_after_a_restoration) {
    // GIVEN an order that is rolled back
    rollout_fleet fleet(8, bad());
    begin(fleet);
    fleet.run_to_verdict(30'000ms, 100);
    CHECK(fleet.phase() == rollout_phase::rolled_back);

    // WHEN the store is restored to the time before
    fleet.stored.phase = rollout_phase::running;
    const std::uint64_t before = fleet.seen.target;
    fleet.run(5000ms, 100);

    // THEN the verdict is stored again, and the target got nothing meanwhile
    CHECK(fleet.phase() == rollout_phase::rolled_back);
    CHECK_EQUAL(before, fleet.seen.target);
}

// Guards against a share that is exceeded because restarted processes count from zero.
TEST(rollout_failures, restarts_keep_the_share) {
    // GIVEN an order
    rollout_fleet fleet(8, good());
    begin(fleet);

    // WHEN all instances restart one after the other
    for (std::size_t instance = 0; instance < 8; ++instance) {
        fleet.run(2000ms, 100);
        fleet.restart(instance);
    }
    check_share(fleet.seen);
    fleet.run_to_verdict(duration, 100);

    // THEN the version is accepted at the order's time, not at that of the last restart
    CHECK(fleet.phase() == rollout_phase::completed);
}

// Guards against an order that begins anew when all processes were lost.
TEST(rollout_failures, wall_clock_gives_the_age_after_the_loss_of_all) {
    // GIVEN an order that was stored as running for 30 s
    rollout_fleet fleet(3, good());
    fleet.write_order();
    fleet.stored.phase = rollout_phase::running;
    fleet.stored.started_ago = 58'000ms;

    // WHEN all processes start
    fleet.run(4000ms, 50);

    // THEN it is over its deadline
    CHECK(fleet.phase() == rollout_phase::rolled_back);
}

// Guards against a wrong wall clock of one instance that ends the order of all.
TEST(rollout_failures, wall_clock_is_ignored_while_a_peer_knows_the_age) {
    // GIVEN an order that runs
    rollout_fleet fleet(3, good());
    fleet.write_order();
    fleet.add_upstreams(new_version, 10);
    fleet.run(3000ms, 50);

    // WHEN an instance restarts whose clock is an hour ahead
    const std::size_t restarted = fleet.decider();
    fleet.stored.started_ago = 3'600'000ms;
    fleet.restart(restarted);
    fleet.run(5000ms, 50);

    // THEN it takes the age from the others
    const order_progress& progress = fleet.states[restarted].orders.at(the_pool);
    CHECK(order_age(progress, instant{} + fleet.now()) < 10'000ms);
    CHECK(fleet.phase() == rollout_phase::running);
}

// Guards against a malformed message that ends an order or a process.
TEST(rollout_failures, malformed_messages_are_dropped) {
    // GIVEN an order that runs
    rollout_fleet fleet(1, good());
    begin(fleet);
    rollout_state& state = fleet.states.front();
    const instant now = instant{} + fleet.now();
    const std::string key = state.orders.at(the_pool).key;

    // WHEN messages with a negative age, another order and an unknown pool arrive
    rollout_notice notice{{}, the_pool, key, -1ms, rollout_step::rolled_back, ""};
    (void)reduce(state, rollout_notice_received{notice}, now);
    notice = {{}, the_pool, "other", 0ms, rollout_step::rolled_back, ""};
    (void)reduce(state, rollout_notice_received{notice}, now);
    notice = {{}, {"unknown"}, key, 0ms, rollout_step::rolled_back, ""};
    (void)reduce(state, rollout_notice_received{notice}, now);

    // THEN the order runs
    CHECK(state.orders.at(the_pool).step == rollout_step::comparing);
}
