#include "retry_budget/retry_budget.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

TEST_GROUP(retry_budget){};

TEST(retry_budget, the_budget_is_earned_by_requests_and_time) {
    // GIVEN a budget that is used up
    retry_budget_settings settings;
    settings.most = 2;
    settings.per_request = 0.5;
    settings.floor_per_second = 1;
    retry_budget budget(settings);
    const instant begin{1000ms};
    CHECK(budget.spend(begin));
    CHECK(budget.spend(begin));
    CHECK_FALSE(budget.spend(begin));

    // WHEN two requests come THEN one repeat is earned
    budget.earn(begin);
    CHECK_FALSE(budget.spend(begin));
    budget.earn(begin);
    CHECK(budget.spend(begin));

    // WHEN a second passes THEN one more is earned; a longer time earns no more than is kept
    CHECK(budget.spend(begin + 1000ms));
    CHECK_FALSE(budget.spend(begin + 1000ms));
    const instant later = begin + 100000ms;
    CHECK(budget.spend(later));
    CHECK(budget.spend(later));
    CHECK_FALSE(budget.spend(later));
}
