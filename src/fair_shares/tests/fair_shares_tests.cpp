//! Shares of workspaces on a fake clock.
#include "fair_shares/fair_shares.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};
const workspace_name flood{"flood"};
const workspace_name light{"light"};

}  // namespace

TEST_GROUP(fair_shares){};

// Guards against limits on a workspace while capacity is unused.
TEST(fair_shares, nobody_is_beyond_its_share_while_all_work_fits) {
    // GIVEN a workspace that got nearly all recent work
    share_ledger ledger;
    record_served(ledger, flood, 100, start);
    record_served(ledger, light, 1, start);
    // WHEN the waiting work fits into the room
    update_shares(ledger, {{flood, 2}, {light, 1}}, 3, start);
    // THEN neither is beyond its share
    CHECK_FALSE(is_beyond_share(ledger, flood, 0, start));
    CHECK_FALSE(is_beyond_share(ledger, light, 0, start));
    // AND a lone workspace never is
    share_ledger lone;
    record_served(lone, flood, 100, start);
    update_shares(lone, {{flood, 1000}}, 3, start);
    CHECK_FALSE(is_beyond_share(lone, flood, 1000, start));
}

// Guards against a workspace that displaces others by sending more.
TEST(fair_shares, a_flood_is_beyond_its_share_and_a_light_workspace_is_not) {
    // GIVEN a workspace that was served 20 times as much as another one
    share_ledger ledger;
    record_served(ledger, flood, 20, start);
    record_served(ledger, light, 1, start);
    // WHEN both wait, and only 3 of their work fits
    update_shares(ledger, {{flood, 200}, {light, 5}}, 3, start);
    // THEN the flood is beyond its share, and the light one has all it wants
    CHECK_TRUE(is_beyond_share(ledger, flood, 0, start));
    CHECK_FALSE(is_beyond_share(ledger, light, 5, start));
    // AND only the flood is named
    const auto named = workspaces_beyond_share(ledger, 16, start);
    LONGS_EQUAL(1, named.size());
    CHECK_TRUE(named[0] == flood);
}

// Guards against a quiet workspace whose burst ranks before all others as a whole.
TEST(fair_shares, only_the_first_part_of_a_burst_is_within_the_share) {
    // GIVEN a workspace without recent work, and one that is served steadily
    share_ledger ledger;
    record_served(ledger, light, 10, start);
    // WHEN the first one sends a burst
    update_shares(ledger, {{flood, 200}, {light, 1}}, 3, start);
    // THEN its work up to an equal share is within it, and the rest isn't
    CHECK_FALSE(is_beyond_share(ledger, flood, 0, start));
    CHECK_TRUE(is_beyond_share(ledger, flood, 10, start));
}

// Guards against a workspace that pays for a burst long after it.
TEST(fair_shares, served_work_is_forgotten) {
    // GIVEN a workspace beyond its share
    share_ledger ledger;
    record_served(ledger, flood, 20, start);
    record_served(ledger, light, 1, start);
    update_shares(ledger, {{flood, 10}, {light, 10}}, 3, start);
    CHECK_TRUE(is_beyond_share(ledger, flood, 0, start));
    // WHEN 30 s pass in which the other one is served
    const instant later = start + 30s;
    record_served(ledger, light, 20, later);
    update_shares(ledger, {{flood, 10}, {light, 10}}, 3, later);
    // THEN the other one is beyond its share
    CHECK_FALSE(is_beyond_share(ledger, flood, 0, later));
    CHECK_TRUE(is_beyond_share(ledger, light, 0, later));
    // AND accounts without work are dropped after some time
    update_shares(ledger, {}, 3, later + 120s);
    CHECK_TRUE(ledger.accounts.empty());
}

// Guards against shares that bind jobs of processes that send no workspace.
TEST(fair_shares, an_empty_workspace_has_no_account) {
    // GIVEN work without a workspace
    share_ledger ledger;
    record_served(ledger, {}, 100, start);
    // WHEN more of it waits beside other work
    update_shares(ledger, {{{}, 100}, {light, 100}, {flood, 100}}, 3, start);
    // THEN it has no account and isn't beyond a share
    LONGS_EQUAL(2, ledger.accounts.size());
    CHECK_FALSE(is_beyond_share(ledger, {}, 100, start));
}
