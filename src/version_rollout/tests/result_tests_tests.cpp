#include "version_rollout/result_tests.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

version_results results_of(bool is_target, std::uint64_t requests, std::uint64_t bad) {
    version_results results;
    results.route = "/r";
    results.is_target = is_target;
    results.requests = requests;
    results.bad = bad;
    return results;
}

}  // namespace

TEST_GROUP(result_tests){};

// Guards against a version being rejected for a few failures that both versions have.
TEST(result_tests, equal_failure_rates_are_not_rejected) {
    // GIVEN one failure in 20 at both versions
    const std::vector<version_results> results{results_of(true, 100, 5),
                                               results_of(false, 1200, 60)};

    // WHEN they are tested
    const result_evidence evidence = test_results(results);

    // THEN nothing speaks against the target
    CHECK_FALSE(evidence.is_rejected());
    CHECK(evidence.probability > doubt_level);
}

// Guards against a wrong tail of the exact test: the value is C(20,3) / C(200,3).
TEST(result_tests, exact_probability_is_that_of_the_hypergeometric_tail) {
    // GIVEN three failures, all among the target's 20 of 200 requests
    // WHEN the probability is computed
    const double probability = failure_probability(3, 20, 0, 180);

    // THEN it is that of all three falling to the target by chance
    DOUBLES_EQUAL(1140.0 / 1313400.0, probability, 1e-9);
}

// Guards against a bad version that gets more than its 50 bad responses before the test rejects it.
TEST(result_tests, failures_are_rejected_before_the_fiftieth) {
    for (const std::uint64_t one_in : {2U, 3U, 5U, 10U}) {
        // GIVEN 40 failures of the target, and one in 200 of the old version
        const std::vector<version_results> results{results_of(true, 40 * one_in, 40),
                                                   results_of(false, 480 * one_in, 2 * one_in)};

        // WHEN they are tested
        // THEN the target is rejected
        CHECK_TRUE(test_results(results).is_rejected());
    }
}

// Guards against a slow version that is accepted: all its times are three times as long, or one in
// three of them is four times as long.
TEST(result_tests, slow_target_is_rejected) {
    for (const bool is_partly_slow : {false, true}) {
        // GIVEN times of 80 to 200 ms, and those of the target
        std::mt19937 random(1);
        version_results target = results_of(true, 100, 0);
        version_results old = results_of(false, 1000, 0);
        for (int index = 0; index < 1000; ++index) {
            add_time(old.first_event, milliseconds(80 + random() % 120));
        }
        for (int index = 0; index < 100; ++index) {
            const int factor = is_partly_slow ? (index % 3 == 0 ? 4 : 1) : 3;
            add_time(target.first_event, milliseconds(80 + random() % 120) * factor);
        }

        // WHEN they are tested
        // THEN the target is rejected
        CHECK_TRUE(test_results(std::vector{target, old}).is_rejected());
    }
}

// Guards against the rejection of a version that is somewhat slower, as one with empty caches is.
TEST(result_tests, target_of_one_and_a_half_times_is_not_rejected) {
    // GIVEN times of 80 to 800 ms, one and a half times as long at the target
    std::mt19937 random(2);
    version_results target = results_of(true, 500, 0);
    version_results old = results_of(false, 5000, 0);
    for (int index = 0; index < 5000; ++index) {
        add_time(old.first_event, milliseconds(80 + random() % 720));
    }
    for (int index = 0; index < 500; ++index) {
        add_time(target.first_event, milliseconds(80 + random() % 720) * 3 / 2);
    }

    // WHEN they are tested
    // THEN nothing speaks against the target
    CHECK(test_results(std::vector{target, old}).probability > doubt_level);
}

// Guards against absurd counts of a peer that end the process or take seconds.
TEST(result_tests, absurd_counts_are_harmless) {
    // GIVEN more bad responses than requests, and counts near the type's limit
    version_results target = results_of(true, 3, ~std::uint64_t{0});
    version_results old = results_of(false, ~std::uint64_t{0}, 7);
    old.first_event.assign(100'000, ~std::uint64_t{0});

    // WHEN they are tested
    const result_evidence evidence = test_results(std::vector{target, old});

    // THEN the probability is one
    CHECK(evidence.probability >= 0 && evidence.probability <= 1);
}

// Guards against a verdict without results on a route, and against waiting for a route with hardly
// any traffic.
TEST(result_tests, results_are_enough_in_proportion_to_traffic) {
    // GIVEN a busy route with many results, and one with few requests
    version_results quiet = results_of(false, 12, 0);
    quiet.route = "/quiet";
    const std::vector<version_results> enough{results_of(true, 40, 0), results_of(false, 400, 0),
                                              quiet};
    const std::vector<version_results> lacking{results_of(true, 3, 0), results_of(false, 400, 0)};

    // WHEN both are checked
    // THEN only the busy route needs results
    CHECK_TRUE(has_enough_results(enough, 0.08));
    CHECK_FALSE(has_enough_results(lacking, 0.08));
}
