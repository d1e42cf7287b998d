#include "retry_budget/retry_budget.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

TEST_GROUP(retry_budget){};

TEST(retry_budget, requests_and_time_add_tokens) {
    // GIVEN a budget without tokens
    retry_budget_settings settings;
    settings.capacity = 2;
    settings.per_request = 0.5;
    settings.refill_per_second = 1;
    retry_budget budget(settings);
    const instant begin{1000ms};
    CHECK(budget.spend(begin));
    CHECK(budget.spend(begin));
    CHECK_FALSE(budget.spend(begin));

    // WHEN two requests start THEN one token is added
    budget.earn(begin);
    CHECK_FALSE(budget.spend(begin));
    budget.earn(begin);
    CHECK(budget.spend(begin));

    // WHEN a second passes THEN one token is added; a longer time adds no more than the capacity
    CHECK(budget.spend(begin + 1000ms));
    CHECK_FALSE(budget.spend(begin + 1000ms));
    const instant later = begin + 100000ms;
    CHECK(budget.spend(later));
    CHECK(budget.spend(later));
    CHECK_FALSE(budget.spend(later));
}
