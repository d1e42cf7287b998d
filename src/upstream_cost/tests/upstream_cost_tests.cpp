#include "types/numeric.h"
#include "upstream_cost/upstream_cost.h"

#include <cmath>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};
const pool_name pool{"p"};

//! One response of ten events every 50 ms from each of three upstreams of different speed.
void observe_all(cost_state& state, instant now, int responses) {
    const double factors[] = {0.6, 1.0, 1.6};
    for (int i = 0; i < responses; ++i) {
        for (std::size_t at = 0; at < 3; ++at) {
            const auto took = to_milliseconds(9 * 50 * factors[at]);
            reduce(state, events_observed{at + 1, "r", 10, took, true, 0}, now);
        }
    }
}

double factor_of(const cost_state& state, upstream_key upstream, instant now) {
    const upstream_key all[] = {1, 2, 3};
    return std::exp(log_factor(state, measure_pool(state, all, now), upstream, now));
}

}  // namespace

TEST_GROUP(upstream_cost){};

// Guards against treating engines of different speed alike.
TEST(upstream_cost, factors_follow_the_time_between_events) {
    // GIVEN responses of three upstreams of different speed
    cost_state state;
    observe_all(state, start, 20);
    // THEN their factors are relative to the pool's geometric mean
    const double mean = std::cbrt(0.6 * 1.0 * 1.6);
    DOUBLES_EQUAL(0.6 / mean, factor_of(state, 1, start), 0.06);
    DOUBLES_EQUAL(1.0 / mean, factor_of(state, 2, start), 0.06);
    DOUBLES_EQUAL(1.6 / mean, factor_of(state, 3, start), 0.12);
}

// Guards against a preference for or against an upstream of which nothing is known.
TEST(upstream_cost, an_unknown_upstream_counts_as_the_mean_of_its_pool) {
    cost_state state;
    // GIVEN no observation at all, or only of others
    DOUBLES_EQUAL(1, factor_of(state, 9, start), 1e-9);
    observe_all(state, start, 20);
    // THEN the factor is 1
    DOUBLES_EQUAL(1, factor_of(state, 9, start), 1e-9);
}

// Guards against one outlier that makes an upstream look slow.
TEST(upstream_cost, a_single_outlier_changes_little) {
    // GIVEN known upstreams
    cost_state state;
    observe_all(state, start, 20);
    const double before = factor_of(state, 1, start);
    // WHEN one response takes a hundred times as long
    reduce(state, events_observed{1, "r", 10, 27s, true, 0}, start);
    // THEN the factor rises by less than a tenth
    CHECK_TRUE(factor_of(state, 1, start) < 1.1 * before);
}

// Guards against avoiding an upstream for good because of old observations.
TEST(upstream_cost, factors_return_to_one_without_observations) {
    // GIVEN known upstreams
    cost_state state;
    observe_all(state, start, 20);
    CHECK_TRUE(factor_of(state, 3, start) > 1.4);
    // WHEN nothing is observed for several minutes
    const instant later = start + 180s;
    // THEN the slow one is tried again like the others
    DOUBLES_EQUAL(1, factor_of(state, 3, later), 0.1);
}

// Guards against figures that stay behind when an upstream's speed changes.
TEST(upstream_cost, a_changed_speed_is_learned_within_seconds) {
    // GIVEN known upstreams
    cost_state state;
    observe_all(state, start, 20);
    // WHEN the fast one becomes as slow as the slow one, and 30 s pass with responses
    for (int second = 1; second <= 30; ++second) {
        const instant now = start + std::chrono::seconds(second);
        reduce(state, events_observed{1, "r", 10, 720ms, true, 0}, now);
        reduce(state, events_observed{2, "r", 10, 450ms, true, 0}, now);
        reduce(state, events_observed{3, "r", 10, 720ms, true, 0}, now);
    }
    // THEN it counts as about as slow
    const instant end = start + 30s;
    CHECK_TRUE(factor_of(state, 1, end) > 0.75 * factor_of(state, 3, end));
}

// Guards against the speed of the predecessor for an upstream that was restarted, perhaps on
// another machine.
TEST(upstream_cost, a_new_incarnation_has_another_key) {
    CHECK_TRUE(make_upstream_key({"a"}, 1) != make_upstream_key({"a"}, 2));
    CHECK_TRUE(make_upstream_key({"a"}, 1) != make_upstream_key({"b"}, 1));
}

// Guards against estimates of the reading time that ignore the prompts' lengths.
TEST(upstream_cost, the_reading_time_is_learned_from_the_first_events) {
    // GIVEN an engine that needs 30 ms and reads 50 tokens a millisecond
    cost_state state;
    for (int i = 0; i < 200; ++i) {
        const double tokens = 500.0 * (i % 12);
        const auto took = milliseconds(30 + static_cast<int>(tokens / 50));
        reduce(state, first_event_observed{1, pool, tokens, took, 1}, start);
    }
    // THEN the estimate follows
    const reading_estimate learned = estimate_reading(state, pool);
    DOUBLES_EQUAL(30, learned.fixed_ms, 5);
    DOUBLES_EQUAL(0.02, learned.ms_per_token, 0.002);
}

// Guards against NaN or absurd estimates from values that can't be true.
TEST(upstream_cost, impossible_observations_are_ignored) {
    cost_state state;
    reduce(state, first_event_observed{1, pool, NAN, 10ms, 1}, start);
    reduce(state, first_event_observed{1, pool, 100, -10ms, 1}, start);
    reduce(state, first_event_observed{1, pool, 100, 10ms, 0}, start);
    reduce(state, events_observed{1, "r", 0, 10ms, true, 0}, start);
    reduce(state, events_observed{1, "r", 10, -10ms, true, 0}, start);
    reduce(state, response_observed{1, "r", -10ms}, start);
    CHECK_TRUE(state.own.empty());
    DOUBLES_EQUAL(1, factor_of(state, 1, start), 1e-9);
}

// Guards against trusting hints that are far off on one route.
TEST(upstream_cost, the_expected_length_follows_the_route_and_the_hint) {
    // GIVEN a route whose responses are twice as long as hinted
    cost_state state;
    for (int i = 0; i < 200; ++i) {
        reduce(state, events_observed{1, "r", 40, 900ms, true, 20}, start);
    }
    // THEN a hint is corrected, and bounded by the usual length
    DOUBLES_EQUAL(40, expected_events(state, "r", 0), 1);
    DOUBLES_EQUAL(40, expected_events(state, "r", 20), 2);
    CHECK_TRUE(expected_events(state, "r", 2000) < 450);
}
