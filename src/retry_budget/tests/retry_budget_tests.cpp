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

TEST(retry_budget, a_change_of_the_fleet_gives_no_tokens_back) {
    // GIVEN an instance that has spent its part of the fleet's allowance
    retry_budget budget({0, 0, 2});
    const instant now{1000ms};
    CHECK(budget.spend(now));
    CHECK(budget.spend(now));
    // WHEN members leave and come back, which changes its part
    budget.set_capacity(4);
    budget.set_capacity(2);
    // THEN it may not repeat again
    CHECK_FALSE(budget.spend(now));
    // AND a smaller part takes unspent tokens away
    retry_budget unspent({0, 0, 4});
    unspent.set_capacity(1);
    CHECK(unspent.spend(now));
    CHECK_FALSE(unspent.spend(now));
}
