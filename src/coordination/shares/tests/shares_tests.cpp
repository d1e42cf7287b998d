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

void check_within(const share_fleet& all, const char* text) {
    const workspace_share sum = all.in_force();
    CHECK_TRUE_TEXT(sum.requests_per_second <= all.limits.requests_per_second + tolerance, text);
    CHECK_TRUE_TEXT(sum.concurrent <= all.limits.concurrent, text);
    CHECK_TRUE_TEXT(sum.tokens_per_minute <= all.limits.tokens_per_minute + tolerance, text);
}

//! Seeded load: 80% at one instance, which one changes; requests last a while.
struct load {
    std::mt19937_64 random;
    std::deque<std::pair<instant, std::size_t>> running;
    std::size_t favourite{0};
    int served{0};

    void step(share_fleet& all) {
        while (!running.empty() && running.front().first <= all.now) {
            all.end(running.front().second, 20);
            running.pop_front();
        }
        for (int count = 0; count < 6; ++count) {
            const bool skewed = random() % 10 < 8;
            const std::size_t index = skewed ? favourite : random() % all.instances.size();
            if (all.take(index)) {
                ++served;
                running.emplace_back(all.now + milliseconds(250), index);
            }
        }
        all.step();
    }
};

}  // namespace

TEST_GROUP(shares){};

TEST(shares, divides_by_demand_and_spreads_what_is_left) {
    const struct {
        double limit;
        std::vector<double> demands;
        std::vector<double> parts;
    } cases[] = {{10, {0, 0}, {5, 5}},
                 {10, {2, 4}, {4, 6}},
                 {10, {20, 2}, {8, 2}},
                 {10, {20, 20}, {5, 5}},
                 {0, {1, 1}, {0, 0}}};

    for (const auto& row : cases) {
        const std::vector<double> parts = detail::divide(row.limit, row.demands);
        for (std::size_t index = 0; index < parts.size(); ++index) {
            DOUBLES_EQUAL(row.parts[index], parts[index], tolerance);
        }
    }
    const std::vector<int> demands(8, 1);
    int sum = 0;
    for (const int part : detail::divide_units(3, demands)) {
        sum += part;
    }
    LONGS_EQUAL(3, sum);
}

TEST(shares, one_instance_may_use_nearly_the_whole_limit) {
    // GIVEN eight instances and all load at one of them
    share_fleet all = make_share_fleet(8, test_limits());
    load offered;
    offered.favourite = 3;
    for (int count = 0; count < 200; ++count) {
        offered.step(all);
        check_within(all, "skewed");
    }
    // THEN its share is far over an eighth
    const held_share& held = all.instances[3].shares.held.at(shared_workspace);
    CHECK_TRUE(held.share.requests_per_second > 0.5 * all.limits.requests_per_second);
}

TEST(shares, the_sum_keeps_to_the_limit_through_faults) {
    enum class fault { none, home_killed, member_killed, cut_off, restarted, joined };
    for (const fault met : {fault::none, fault::home_killed, fault::member_killed, fault::cut_off,
                            fault::restarted, fault::joined}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            // GIVEN a busy fleet
            share_fleet all = make_share_fleet(5, test_limits());
            all.set_roster({0, 1, 2, 3}, 1);
            load offered;
            offered.random.seed(seed);
            const std::string text =
                "fault " + std::to_string(static_cast<int>(met)) + " seed " + std::to_string(seed);
            for (int count = 0; count < 100; ++count) {
                offered.step(all);
                check_within(all, text.c_str());
            }
            // WHEN the fault comes, and the roster follows 3 s later
            const std::size_t home = all.home();
            const std::size_t victim = met == fault::home_killed ? home : (home + 1) % 4;
            share_instance& hit = all.instances[victim];
            hit.dead = met == fault::home_killed || met == fault::member_killed;
            hit.cut_off = met == fault::cut_off;
            offered.favourite = (victim + 1) % 4;
            for (int count = 0; count < 300; ++count) {
                if (count == 60 && (hit.dead || hit.cut_off)) {
                    std::vector<std::size_t> rest{0, 1, 2, 3};
                    std::erase(rest, victim);
                    hit.dead = true;
                    all.set_roster(rest, 2);
                }
                if (count == 60 && met == fault::restarted) {
                    hit.shares = make_shares();
                    std::erase_if(offered.running,
                                  [victim](const auto& place) { return place.second == victim; });
                }
                if (count == 60 && met == fault::joined) {
                    all.set_roster({0, 1, 2, 3, 4}, 2);
                }
                offered.step(all);
                // THEN the sum stays within the limit
                check_within(all, text.c_str());
            }
            CHECK_TRUE(offered.served > 0);
        }
    }
}

TEST(shares, without_a_home_the_lower_of_last_and_even_share_holds) {
    // GIVEN shares of one home
    share_fleet all = make_share_fleet(4, test_limits());
    load offered;
    for (int count = 0; count < 100; ++count) {
        offered.step(all);
    }
    const std::size_t home = all.home();
    const std::size_t other = (home + 1) % 4;
    // WHEN it is silent for long
    all.instances[home].dead = true;
    offered.favourite = other;
    for (int count = 0; count < 120; ++count) {
        offered.step(all);
        check_within(all, "no home");
    }
    // THEN others still serve, within their even share
    const int before = offered.served;
    for (int count = 0; count < 40; ++count) {
        offered.step(all);
    }
    CHECK_TRUE(offered.served > before);
    CHECK_TRUE(offered.served - before <= 2 * 80);
}

TEST(shares, what_is_idle_is_given_up) {
    share_fleet all = make_share_fleet(4, test_limits());
    load offered;
    for (int count = 0; count < 60; ++count) {
        offered.step(all);
    }
    for (const auto& place : offered.running) {
        all.end(place.second, 1);
    }
    all.pass(std::chrono::seconds(30));
    for (const share_instance& value : all.instances) {
        CHECK_TRUE(value.shares.held.empty());
        CHECK_TRUE(value.shares.books.empty());
    }
}
