//! Exclusive homes, explored: no violation with the rules, and one found without each of them.
#include "coordination/roster/tests/explore.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

//! The search allocates more than the leak detector can follow in reasonable time.
const bool leak_detection_off = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

constexpr std::size_t state_limit = 3000000;  // not reached within these bounds

//! Cut links and lost notices.
exploration with_links() {
    exploration wanted;
    wanted.link_faults = true;
    wanted.notice_faults = true;
    wanted.faults = 3;
    wanted.time_steps = 8;
    wanted.max_states = state_limit;
    return wanted;
}

//! Pauses and lost notices.
exploration with_pauses() {
    exploration wanted = with_links();
    wanted.link_faults = false;
    wanted.pauses = true;
    wanted.faults = 2;
    return wanted;
}

exploration with_everything(int faults, int time_steps) {
    exploration wanted = with_links();
    wanted.pauses = true;
    wanted.packet_faults = true;
    wanted.store_faults = true;
    wanted.faults = faults;
    wanted.time_steps = time_steps;
    return wanted;
}

void check_exclusive(const exploration& wanted) {
    const auto result = explore(wanted);
    CHECK_FALSE(result.violated);
    CHECK_TRUE(result.complete);
    CHECK_TRUE(result.settled_later > 0);
}

}  // namespace

TEST_GROUP(explore){};

TEST(explore, exclusive_under_two_pauses_or_lost_notices) {
    check_exclusive(with_pauses());
}

TEST(explore, exclusive_under_three_link_faults) {
    check_exclusive(with_links());
}

TEST(explore, exclusive_under_two_faults_of_any_kind) {
    check_exclusive(with_everything(2, 7));
}

TEST(explore, exclusive_under_one_fault_of_any_kind_for_longer) {
    check_exclusive(with_everything(1, 12));
}

TEST(explore, exclusive_while_one_joins) {
    auto wanted = with_everything(1, 12);
    wanted.members = 2;
    check_exclusive(wanted);
}

TEST(explore, exclusive_while_one_leaves) {
    auto wanted = with_everything(1, 12);
    wanted.last_leaves = true;
    check_exclusive(wanted);
}

TEST(explore, exclusive_on_random_walks) {
    auto wanted = with_everything(1, 40);
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        wanted.members = seed == 2 ? 2 : 3;
        wanted.last_leaves = seed == 3;
        const auto result = walk(wanted, seed, 400);
        CHECK_FALSE(result.violated);
        CHECK_TRUE(result.settled_later > 0);
    }
}

TEST(explore, violation_is_found_without_the_fence) {
    auto wanted = with_links();
    wanted.rules.wait_for_fence = false;
    CHECK_TRUE(explore(wanted).violated);
}

TEST(explore, violation_is_found_when_answers_are_dated_by_arrival) {
    auto wanted = with_pauses();
    wanted.rules.date_by_sending = false;
    CHECK_TRUE(explore(wanted).violated);
}

TEST(explore, violation_is_found_when_generations_stack) {
    auto wanted = with_links();
    wanted.rules.settle_before_next = false;
    CHECK_TRUE(explore(wanted).violated);
}
