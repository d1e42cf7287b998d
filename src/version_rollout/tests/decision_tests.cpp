#include "version_rollout/tests/rollout_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

constexpr milliseconds duration{60'000};

//! Times that vary by a factor of three.
version_answer usual_answer(std::mt19937& random) {
    return {false, milliseconds(60 + random() % 120), milliseconds(20 + random() % 40)};
}

bool is_one_in(std::mt19937& random, unsigned count) {
    return random() % count == 0;
}

//! A kind of bad version.
struct bad_kind {
    const char* name;
    answer_function answer;
};

const std::vector<bad_kind>& bad_kinds() {
    static const std::vector<bad_kind> kinds{
        {"fails a third",
         [](const auto& version, const auto& /*route*/, milliseconds /*at*/, auto& random) {
             version_answer answer = usual_answer(random);
             answer.is_bad = version == new_version && is_one_in(random, 3);
             return answer;
         }},
        {"fails after ten seconds",
         [](const auto& version, const auto& /*route*/, milliseconds at, auto& random) {
             version_answer answer = usual_answer(random);
             answer.is_bad =
                 version == new_version && at > milliseconds(10'000) && is_one_in(random, 3);
             return answer;
         }},
        {"fails on one route",
         [](const auto& version, const auto& route, milliseconds /*at*/, auto& random) {
             version_answer answer = usual_answer(random);
             answer.is_bad = version == new_version && route == "/b" && is_one_in(random, 2);
             return answer;
         }},
        {"first events come late",
         [](const auto& version, const auto& /*route*/, milliseconds /*at*/, auto& random) {
             version_answer answer = usual_answer(random);
             answer.first_event *= version == new_version ? 4 : 1;
             return answer;
         }},
        {"long gaps",
         [](const auto& version, const auto& /*route*/, milliseconds /*at*/, auto& random) {
             version_answer answer = usual_answer(random);
             answer.longest_gap *= version == new_version ? 4 : 1;
             return answer;
         }},
    };
    return kinds;
}

void check_exposure(const exposure& seen) {
    constexpr double canary_share = 0.1;
    constexpr double tolerance = 50;
    constexpr milliseconds rollback{5000};
    CHECK(static_cast<double>(seen.target) <=
          canary_share * static_cast<double>(seen.pool) + tolerance);
    if (seen.bad_limit_reached >= 0ms) {
        CHECK(seen.last_sent <= seen.bad_limit_reached + rollback);
    }
}

answer_function good() {
    return [](const auto& /*version*/, const auto& /*route*/, milliseconds /*at*/, auto& random) {
        return usual_answer(random);
    };
}

}  // namespace

TEST_GROUP(rollout_decisions){};

// Guards against each kind of bad version that stays in force or gets more than its share.
TEST(rollout_decisions, bad_versions_are_rolled_back_within_the_bounds) {
    for (const bad_kind& kind : bad_kinds()) {
        // GIVEN eight instances and an order for a bad version
        rollout_fleet fleet(8, kind.answer);
        fleet.routes = {"/a", "/b", "/c"};
        fleet.run(1000ms, 100);
        fleet.write_order();
        fleet.run(500ms, 100);
        fleet.add_upstreams(new_version, 10);

        // WHEN the order runs
        fleet.run(duration, 100);

        // THEN it is rolled back and the version got no more than its share
        CHECK_TEXT(fleet.phase() == rollout_phase::rolled_back, kind.name);
        check_exposure(fleet.seen);
    }
}

// Guards against a bad version that gets half of the traffic: the policy without orders uses all
// versions alike.
TEST(rollout_decisions, naive_policy_exceeds_the_share) {
    // GIVEN instances that know no rollouts
    rollout_fleet fleet(8, bad_kinds().front().answer);
    for (rollout_state& state : fleet.states) {
        state.settings.is_enabled = false;
    }
    fleet.write_order();
    fleet.add_upstreams(new_version, 10);

    // WHEN requests arrive
    fleet.run(20'000ms, 100);

    // THEN the target gets far more than the share allows
    CHECK(fleet.seen.target > fleet.seen.pool / 4);
    CHECK_FALSE(fleet.phase().has_value());
}

// Guards against a good version that is rejected because of a burst, in which all versions are
// slower and fail.
TEST(rollout_decisions, good_version_is_completed_over_a_burst) {
    // GIVEN times and failures that rise from 10 to 20 s
    rollout_fleet fleet(8, [](const auto& /*version*/, const auto& /*route*/, milliseconds at,
                              std::mt19937& random) {
        version_answer answer = usual_answer(random);
        const bool is_burst = at > milliseconds(10'000) && at < milliseconds(20'000);
        answer.first_event *= is_burst ? 6 : 1;
        answer.longest_gap *= is_burst ? 5 : 1;
        answer.is_bad = is_burst && is_one_in(random, 8);
        return answer;
    });
    fleet.write_order();
    fleet.add_upstreams(new_version, 10);

    // WHEN the load triples meanwhile
    fleet.run(10'000ms, 100);
    fleet.run(10'000ms, 300);
    fleet.run_to_verdict(duration, 100);

    // THEN the version is completed before the deadline
    CHECK(fleet.phase() == rollout_phase::completed);
    CHECK(fleet.now() < duration + milliseconds(1'000'000));
}

// Guards against a good version that is never accepted because its upstreams see hardly any
// requests, or none.
TEST(rollout_decisions, good_version_is_completed_with_little_traffic) {
    for (const double rate : {0.0, 0.5, 3.0}) {
        // GIVEN a good version
        rollout_fleet fleet(8, good());
        fleet.write_order();
        fleet.add_upstreams(new_version, 4);

        // WHEN few requests arrive
        fleet.run_to_verdict(duration, rate);

        // THEN it is completed
        const std::string text =
            std::to_string(rate) + " requests/s: " + fleet.decisions.back().why;
        CHECK_TEXT(fleet.phase() == rollout_phase::completed, text.c_str());
    }
}

// Guards against a completed order while an instance still sends requests to the old version, which
// the platform stops at once.
TEST(rollout_decisions, nothing_is_open_at_the_old_version_on_completion) {
    // GIVEN a good version
    rollout_fleet fleet(8, good());
    fleet.write_order();
    fleet.add_upstreams(new_version, 10);

    // WHEN it is completed
    fleet.run_to_verdict(duration, 100);

    // THEN no instance has requests at the old version, and new ones go to the target alone
    CHECK(fleet.phase() == rollout_phase::completed);
    for (const rollout_state& state : fleet.states) {
        const auto open = state.open.find(the_pool);
        CHECK(open == state.open.end() || !open->second.contains(old_version));
        const version_choice choice =
            choose_versions(state, the_pool, "/r", instant{} + fleet.now());
        CHECK(choice.preferred == std::set{new_version});
        CHECK_FALSE(choice.otherwise.has_value());
    }
}

// Guards against an order without upstreams that ends early, or never.
TEST(rollout_decisions, order_without_upstreams_runs_until_its_deadline) {
    // GIVEN an order whose target never starts
    rollout_fleet fleet(3, good());
    fleet.write_order();

    // WHEN it runs
    fleet.run(duration - 2000ms, 50);
    const auto before = fleet.phase();
    fleet.run(3000ms, 50);

    // THEN it is running until shortly before the deadline, then rolled back
    CHECK(before == rollout_phase::running);
    CHECK(fleet.phase() == rollout_phase::rolled_back);
}

// Guards against a faulty order that stays open or affects the traffic.
TEST(rollout_decisions, faulty_order_is_rolled_back_and_logged_once) {
    for (const bool has_unknown_pool : {false, true}) {
        // GIVEN an order that can't be carried out
        rollout_fleet fleet(3, good());
        fleet.add_upstreams(new_version, 10);
        fleet.run(1000ms, 50);
        fleet.write_order();
        if (has_unknown_pool) {
            fleet.stored.pool.value = "unknown";
        } else {
            fleet.stored.fault = "duration_s isn't positive";
        }

        // WHEN it is read
        fleet.run(10'000ms, 50);

        // THEN it is rolled back, each instance logs it once, and both versions are used
        CHECK(fleet.phase() == rollout_phase::rolled_back);
        CHECK_EQUAL(3, std::ranges::count(fleet.decisions, "refused", &rollout_decision::what));
        CHECK(fleet.seen.target > fleet.seen.pool / 4);
    }
}

// Guards against a version of stage upstreams that is accepted without any result, as packed calls
// aren't counted by version.
TEST(rollout_decisions, order_of_a_stage_pool_is_rolled_back_without_traffic) {
    // GIVEN a pool of stages
    rollout_fleet fleet(3, good());
    auto config = std::make_shared<serving_config>();
    config->pools[the_pool].stage = stage_limits{};
    fleet.view.config = config;
    fleet.run(1000ms, 50);

    // WHEN an order is written and the target's upstreams start
    fleet.write_order();
    fleet.add_upstreams(new_version, 4);
    fleet.run(5000ms, 50);

    // THEN it is rolled back, and the target got nothing
    CHECK(fleet.phase() == rollout_phase::rolled_back);
    CHECK_EQUAL(0U, fleet.seen.target);
}
