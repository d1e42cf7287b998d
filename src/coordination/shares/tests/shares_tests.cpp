#include "coordination/shares/internal/division.h"
#include "coordination/shares/tests/share_fleet.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

constexpr double tolerance = 1e-6;

allowance test_limits() {
    allowance limits;
    limits.plan = {"gold"};
    limits.requests_per_second = 80;
    limits.concurrent = 24;
    limits.tokens_per_minute = 60000;
    return limits;
}

//! Checks that the sum of all shares in use stays within the limits.
void check_sum_within_limits(const share_fleet& fleet, const char* label) {
    const workspace_share sum = fleet.in_force();
    CHECK_TRUE_TEXT(sum.requests_per_second <= fleet.limits.requests_per_second + tolerance, label);
    CHECK_TRUE_TEXT(sum.concurrent <= fleet.limits.concurrent, label);
    CHECK_TRUE_TEXT(sum.tokens_per_minute <= fleet.limits.tokens_per_minute + tolerance, label);
}

//! Seeded random load: 80% of the requests go to one instance; each request lasts 250 ms.
struct load {
    std::mt19937_64 random;
    std::deque<std::pair<instant, std::size_t>> running;  //!< end time and instance of each request
    std::size_t hot_instance{0};                          //!< index of the instance with most load
    int served{0};                                        //!< number of admitted requests

    void step(share_fleet& fleet) {
        while (!running.empty() && running.front().first <= fleet.now) {
            fleet.end(running.front().second, 20);
            running.pop_front();
        }
        for (int count = 0; count < 6; ++count) {
            const bool to_hot_instance = random() % 10 < 8;
            const std::size_t index =
                to_hot_instance ? hot_instance : random() % fleet.instances.size();
            if (fleet.take(index)) {
                ++served;
                running.emplace_back(fleet.now + milliseconds(250), index);
            }
        }
        fleet.step();
    }
};

}  // namespace

TEST_GROUP(shares){};

TEST(shares, divides_by_demand_and_spreads_the_rest) {
    // GIVEN limits, demands, and the parts expected of them
    const struct {
        double limit;
        std::vector<double> demands;
        std::vector<double> parts;
    } cases[] = {{10, {0, 0}, {5, 5}},
                 {10, {2, 4}, {4, 6}},
                 {10, {20, 2}, {8, 2}},
                 {10, {20, 20}, {5, 5}},
                 {0, {1, 1}, {0, 0}}};

    // WHEN each limit is divided
    // THEN the parts are as expected
    for (const auto& row : cases) {
        const std::vector<double> parts = detail::divide(row.limit, row.demands);
        for (std::size_t index = 0; index < parts.size(); ++index) {
            DOUBLES_EQUAL(row.parts[index], parts[index], tolerance);
        }
    }
    // AND whole units add up to the limit
    const std::vector<int> demands(8, 1);
    int sum = 0;
    for (const int part : detail::divide_units(3, demands)) {
        sum += part;
    }
    LONGS_EQUAL(3, sum);
}

TEST(shares, one_instance_may_use_nearly_the_whole_limit) {
    // GIVEN eight instances and 80% of the load at one of them
    share_fleet fleet = make_share_fleet(8, test_limits());
    load offered;
    offered.hot_instance = 3;
    // WHEN the load lasts for 10 s
    for (int count = 0; count < 200; ++count) {
        offered.step(fleet);
        check_sum_within_limits(fleet, "skewed");
    }
    // THEN that instance holds more than half of the limit
    const held_share& held = fleet.instances[3].shares.held.at(shared_workspace);
    CHECK_TRUE(held.share.requests_per_second > 0.5 * fleet.limits.requests_per_second);
}

TEST(shares, the_sum_stays_within_the_limit_through_faults) {
    enum class fault { none, owner_killed, member_killed, cut_off, restarted, joined };
    for (const fault injected : {fault::none, fault::owner_killed, fault::member_killed,
                                 fault::cut_off, fault::restarted, fault::joined}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            // GIVEN a fleet under load
            share_fleet fleet = make_share_fleet(5, test_limits());
            fleet.set_roster({0, 1, 2, 3}, 1);
            load offered;
            offered.random.seed(seed);
            const std::string label = "fault " + std::to_string(static_cast<int>(injected)) +
                                      " seed " + std::to_string(seed);
            for (int count = 0; count < 100; ++count) {
                offered.step(fleet);
                check_sum_within_limits(fleet, label.c_str());
            }
            // WHEN the fault occurs, and the roster changes 3 s later
            const std::size_t owner = fleet.owner();
            const std::size_t affected_index =
                injected == fault::owner_killed ? owner : (owner + 1) % 4;
            share_instance& affected = fleet.instances[affected_index];
            affected.dead = injected == fault::owner_killed || injected == fault::member_killed;
            affected.cut_off = injected == fault::cut_off;
            offered.hot_instance = (affected_index + 1) % 4;
            for (int count = 0; count < 300; ++count) {
                if (count == 60 && (affected.dead || affected.cut_off)) {
                    std::vector<std::size_t> remaining_members{0, 1, 2, 3};
                    std::erase(remaining_members, affected_index);
                    affected.dead = true;
                    fleet.set_roster(remaining_members, 2);
                }
                if (count == 60 && injected == fault::restarted) {
                    affected.shares = make_shares();
                    std::erase_if(offered.running, [affected_index](const auto& entry) {
                        return entry.second == affected_index;
                    });
                }
                if (count == 60 && injected == fault::joined) {
                    fleet.set_roster({0, 1, 2, 3, 4}, 2);
                }
                offered.step(fleet);
                // THEN the sum of all shares in use stays within the limit
                check_sum_within_limits(fleet, label.c_str());
            }
            CHECK_TRUE(offered.served > 0);
        }
    }
}

TEST(shares, without_an_owner_the_lower_of_last_and_equal_share_applies) {
    // GIVEN shares granted by one owner
    share_fleet fleet = make_share_fleet(4, test_limits());
    load offered;
    for (int count = 0; count < 100; ++count) {
        offered.step(fleet);
    }
    const std::size_t owner = fleet.owner();
    const std::size_t other = (owner + 1) % 4;
    // WHEN the owner is dead for 6 s
    fleet.instances[owner].dead = true;
    offered.hot_instance = other;
    for (int count = 0; count < 120; ++count) {
        offered.step(fleet);
        check_sum_within_limits(fleet, "no home");
    }
    // THEN the others still serve requests, within their equal shares
    const int before = offered.served;
    for (int count = 0; count < 40; ++count) {
        offered.step(fleet);
    }
    CHECK_TRUE(offered.served > before);
    CHECK_TRUE(offered.served - before <= 2 * 80);
}

TEST(shares, a_burst_after_light_load_is_bounded) {
    // GIVEN full buckets after light load at one instance
    share_fleet fleet = make_share_fleet(8, test_limits());
    for (int count = 0; count < 200; ++count) {
        if (fleet.take(0)) {
            fleet.end(0, 0);
        }
        fleet.step();
    }
    // WHEN every instance gets more requests than it admits, for 1 s
    int served = 0;
    for (int count = 0; count < 20; ++count) {
        for (std::size_t index = 0; index < 8; ++index) {
            while (fleet.take(index)) {
                fleet.end(index, 0);
                ++served;
            }
        }
        fleet.step();
    }
    // THEN they serve at most the limit, a burst of 0.2 s at that rate, and one request each
    CHECK_TRUE(served <= 80 + 80 / 5 + 8);
}

TEST(shares, idle_shares_are_released) {
    // GIVEN a fleet under load
    share_fleet fleet = make_share_fleet(4, test_limits());
    load offered;
    for (int count = 0; count < 60; ++count) {
        offered.step(fleet);
    }
    // WHEN all requests end, and none follow for 30 s
    for (const auto& entry : offered.running) {
        fleet.end(entry.second, 1);
    }
    fleet.pass(std::chrono::seconds(30));
    // THEN no share and no ledger is left
    for (const share_instance& instance : fleet.instances) {
        CHECK_TRUE(instance.shares.held.empty());
        CHECK_TRUE(instance.shares.ledgers.empty());
    }
}
