//! Exclusive ownership in all states of a bounded model: no violation under the safety rules, and a
//! violation as soon as one of them is disabled.
#include "coordination/roster/tests/explore.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

//! The search makes more allocations than the leak detector can track in reasonable time.
const bool leak_detection_off = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

constexpr std::size_t state_limit = 3000000;  // more than any search below visits

//! Settings of a search with cut links and lost notices.
exploration_config with_link_and_notice_faults() {
    exploration_config config;
    config.link_faults = true;
    config.notice_faults = true;
    config.faults = 3;
    config.time_steps = 8;
    config.max_states = state_limit;
    return config;
}

//! Settings of a search with pauses and lost notices.
exploration_config with_pause_and_notice_faults() {
    exploration_config config = with_link_and_notice_faults();
    config.link_faults = false;
    config.pauses = true;
    config.faults = 2;
    return config;
}

exploration_config with_all_faults(int faults, int time_steps) {
    exploration_config config = with_link_and_notice_faults();
    config.pauses = true;
    config.packet_faults = true;
    config.store_faults = true;
    config.faults = faults;
    config.time_steps = time_steps;
    return config;
}

void check_exclusivity(const exploration_config& config) {
    const auto result = explore(config);
    CHECK_FALSE(result.violated);
    CHECK_TRUE(result.complete);
    CHECK_TRUE(result.states_settled_later > 0);
}

}  // namespace

TEST_GROUP(explore){};

TEST(explore, exclusive_under_two_pauses_or_lost_notices) {
    check_exclusivity(with_pause_and_notice_faults());
}

TEST(explore, exclusive_under_three_link_faults) {
    check_exclusivity(with_link_and_notice_faults());
}

TEST(explore, exclusive_under_two_faults_of_any_kind) {
    check_exclusivity(with_all_faults(2, 7));
}

TEST(explore, exclusive_under_one_fault_of_any_kind_for_longer) {
    check_exclusivity(with_all_faults(1, 12));
}

TEST(explore, exclusive_while_an_instance_joins) {
    auto config = with_all_faults(1, 12);
    config.members = 2;
    check_exclusivity(config);
}

TEST(explore, exclusive_while_an_instance_leaves) {
    auto config = with_all_faults(1, 12);
    config.last_is_leaving = true;
    check_exclusivity(config);
}

TEST(explore, exclusive_on_random_walks) {
    auto config = with_all_faults(1, 40);
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        config.members = seed == 2 ? 2 : 3;
        config.last_is_leaving = seed == 3;
        const auto result = walk_randomly(config, seed, 400);
        CHECK_FALSE(result.violated);
        CHECK_TRUE(result.states_settled_later > 0);
    }
}

TEST(explore, violation_is_found_without_waiting_for_the_lease) {
    auto config = with_link_and_notice_faults();
    config.rules.wait_for_lease = false;
    CHECK_TRUE(explore(config).violated);
}

TEST(explore, violation_is_found_when_pongs_are_dated_by_arrival) {
    auto config = with_pause_and_notice_faults();
    config.rules.date_by_send_time = false;
    CHECK_TRUE(explore(config).violated);
}

TEST(explore, violation_is_found_when_proposing_before_settling) {
    auto config = with_link_and_notice_faults();
    config.rules.settle_before_proposing = false;
    CHECK_TRUE(explore(config).violated);
}
