#include "upstream_cost/shared_costs.h"

#include <cmath>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};

shared_observation make_observation(upstream_key upstream, double weight, double gap_ms,
                                    std::uint64_t unread = 0) {
    shared_observation one;
    one.upstream = upstream;
    one.speed.gaps = {weight, weight * std::log(gap_ms), {}};
    one.work = {1, unread, 2 * unread};
    return one;
}

double mean_gap_ms(const shared_observation& of) {
    return std::exp(of.speed.gaps.log_sum / of.speed.gaps.weight);
}

}  // namespace

TEST_GROUP(shared_costs){};

TEST(shared_costs, observations_survive_encoding) {
    // GIVEN an observation with and one without a load report
    auto first = make_observation(0xffff'ffff'ffffU, 2.5, 50, 1200);
    first.age = 30ms;
    auto second = make_observation(7, 1, 0.5);
    second.speed.ratios = {3, -0.7, {}};
    second.report = load_report{5, 1, 128, 150};
    second.report_age = 70ms;
    const shared_observation both[] = {first, second};
    // WHEN they are encoded and decoded
    const auto decoded = decode_observations(encode_observations(both));
    // THEN they are the same, up to rounding
    LONGS_EQUAL(0, decoded.malformed);
    LONGS_EQUAL(2, decoded.observations.size());
    const auto& one = decoded.observations[0];
    CHECK_TRUE(one.upstream == first.upstream && one.age == 30ms && !one.report);
    DOUBLES_EQUAL(50, mean_gap_ms(one), 0.5);
    LONGS_EQUAL(1200, one.work.unread_tokens);
    const auto& other = decoded.observations[1];
    CHECK_TRUE(other.report == second.report && other.report_age == 70ms);
    DOUBLES_EQUAL(-0.7, other.speed.ratios.log_sum, 0.001);
}

// Guards against one malformed entry that costs the others, or gets into the estimates.
TEST(shared_costs, malformed_entries_are_dropped_alone) {
    const std::string valid = "1z,250,9780,0,0,1,1200,2400,30";
    const char* const cases[] = {
        "",
        ",",
        "1z",
        "-5,250,9780,0,0,1,1200,2400,30",
        "1z,nan,9780,0,0,1,1200,2400,30",
        "1z,250,inf,0,0,1,1200,2400,30",
        "1z,-250,9780,0,0,1,1200,2400,30",
        "1z,250,99999999,0,0,1,1200,2400,30",
        "1z,250,9780,0,0,-1,1200,2400,30",
        "1z,250,9780,0,0,1,-1200,2400,30",
        "1z,250,9780,0,0,1,1200,2400,-30",       // from the future
        "1z,250,9780,0,0,1,1200,2400,99999999",  // absurdly old
        "1z,250,9780,0,0,1,1200,2400",
        "1z,250,9780,0,0,1,1200,2400,30,1,1,0,100,50",   // no slots
        "1z,250,9780,0,0,1,1200,2400,30,1,1,8,100,-50",  // report from the future
        "1z,99999999999999999999999,9780,0,0,1,1200,2400,30",
    };
    for (const char* const text : cases) {
        // GIVEN a malformed entry before a valid one
        const auto decoded = decode_observations(std::string(text) + ";" + valid);
        // THEN the valid one is decoded, and the other one counted
        LONGS_EQUAL_TEXT(1, decoded.observations.size(), text);
        LONGS_EQUAL_TEXT(1, decoded.malformed, text);
    }
}

// Guards against messages that grow with the number of upstreams.
TEST(shared_costs, messages_are_bounded_and_name_all_upstreams_in_turn) {
    // GIVEN a source that knows of 250 upstreams
    fleet_observations fleet;
    std::vector<shared_observation> all;
    for (upstream_key key = 1; key <= 250; ++key) {
        all.push_back(make_observation(key, 1, 50));
    }
    record_report(fleet, "a", all, start);
    const shared_observation own[] = {make_observation(1, 1, 50)};
    record_report(fleet, "b", own, start);
    // WHEN another member asks four times
    std::map<upstream_key, int> named;
    for (int i = 0; i < 4; ++i) {
        const auto sums = sums_for(fleet, "b", start + 250ms);
        CHECK_TRUE(sums.size() <= max_replied_upstreams);
        CHECK_TRUE(encode_observations(sums).size() <= 75 * max_replied_upstreams);
        for (const auto& one : sums) {
            ++named[one.upstream];
        }
    }
    // THEN it has been told of all
    LONGS_EQUAL(250, named.size());
}

// Guards against counting a member's own observations twice.
TEST(shared_costs, a_member_gets_the_sums_of_all_others) {
    // GIVEN reports of three members
    fleet_observations fleet;
    for (const char* const member : {"a", "b", "c"}) {
        const shared_observation one[] = {make_observation(1, 2, 50, 1000)};
        record_report(fleet, member, one, start);
    }
    // WHEN one of them reports again and asks
    (void)sums_for(fleet, "b", start + 250ms);
    const shared_observation newer[] = {make_observation(1, 4, 50, 3000)};
    record_report(fleet, "a", newer, start + 260ms);
    const auto sums = sums_for(fleet, "a", start + 260ms);
    // THEN it gets what the others reported
    LONGS_EQUAL(1, sums.size());
    LONGS_EQUAL(2000, sums[0].work.unread_tokens);
    DOUBLES_EQUAL(4, sums[0].speed.gaps.weight, 0.1);
}

// Guards against work that counts for good after the instance that reported it has left.
TEST(shared_costs, reports_of_members_that_stopped_are_dropped) {
    // GIVEN a member that reported once
    fleet_observations fleet;
    const shared_observation one[] = {make_observation(1, 2, 50, 1000)};
    record_report(fleet, "a", one, start);
    LONGS_EQUAL(1, sums_for(fleet, "b", start + 250ms).size());
    // WHEN it is silent for longer than the limit
    const instant later = start + max_work_age + 300ms;
    // THEN its report is gone
    CHECK_TRUE(sums_for(fleet, "b", later).empty());
    // AND an instance forgets the work that a silent source told of
    cost_state state;
    apply_shared(state, one, start);
    CHECK_TRUE(work_of_others(state, 1, start + 1s).has_value());
    CHECK_FALSE(work_of_others(state, 1, later).has_value());
}

// Guards against one instance with wrong figures.
TEST(shared_costs, one_member_with_wrong_figures_changes_little) {
    // GIVEN ten members that agree, and one whose figures are absurd
    fleet_observations fleet;
    for (int i = 0; i < 10; ++i) {
        const shared_observation one[] = {make_observation(1, 5, 50, 1000)};
        record_report(fleet, "m" + std::to_string(i), one, start);
    }
    const shared_observation wrong[] = {make_observation(1, 900, 5000, 50'000'000)};
    record_report(fleet, "wrong", wrong, start);
    // WHEN a member asks
    const auto sums = sums_for(fleet, "other", start + 250ms);
    // THEN the speed is off by less than a factor of 1.5, and the work is bounded
    CHECK_TRUE(mean_gap_ms(sums[0]) < 75);
    CHECK_TRUE(sums[0].work.unread_tokens <= 110'000);
}

// Guards against a start without the knowledge that the others have.
TEST(shared_costs, an_instance_that_just_started_learns_from_the_first_reply) {
    // GIVEN an instance without observations
    cost_state state;
    // WHEN it receives the sums
    const shared_observation sums[] = {make_observation(1, 20, 30), make_observation(2, 20, 80)};
    apply_shared(state, sums, start);
    // THEN it knows the factors
    const upstream_key all[] = {1, 2};
    const pool_speed pool = measure_pool(state, all, start);
    CHECK_TRUE(log_factor(state, pool, 1, start) < -0.4);
    CHECK_TRUE(log_factor(state, pool, 2, start) > 0.4);
}
