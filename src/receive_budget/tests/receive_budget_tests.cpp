#include "receive_budget/receive_budget.h"

#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr std::size_t mb = std::size_t{1024} * 1024;

}  // namespace

TEST_GROUP(receive_budget){};

TEST(receive_budget, bounds_follow_the_memory_limit) {
    for (const std::size_t memory : {160 * mb, 260 * mb, 4000 * mb}) {
        // GIVEN the memory limit of a process
        // WHEN its bounds are derived
        const receive_bounds bounds = derive_receive_bounds(memory);
        const receive_bounds twice = derive_receive_bounds(2 * memory);
        // THEN all exchanges, the responses of the store's five topics and the peers' messages fit
        // into it together
        CHECK_TRUE(bounds.total + 5 * bounds.store_response + bounds.peer_messages < memory);
        // AND a hundred responses that reach their bound don't use up the budget of all
        CHECK_TRUE(100 * bounds.response <= bounds.total);
        // AND a process with twice the memory has twice the bounds
        LONGS_EQUAL(2 * bounds.total, twice.total);
        LONGS_EQUAL(2 * bounds.response, twice.response);
        LONGS_EQUAL(2 * bounds.store_response, twice.store_response);
    }
}

TEST(receive_budget, ordinary_messages_pass_on_the_smallest_machines) {
    // GIVEN a process with little memory
    // WHEN its bounds are derived
    const receive_bounds bounds = derive_receive_bounds(8 * mb);
    // THEN a response of some kilobytes and a configuration of a megabyte still pass
    CHECK_TRUE(bounds.response >= std::size_t{64} * 1024);
    CHECK_TRUE(bounds.store_response >= 2 * mb);
}

TEST(receive_budget, the_exchange_that_keeps_most_ends_not_the_next_to_ask) {
    // GIVEN an endless response beside sound exchanges, just within the budget
    receive_budget budget = make_receive_budget(100);
    const exchange_number endless = add_exchange(budget, "u1");
    const exchange_number sound = add_exchange(budget, "u2");
    CHECK_FALSE(set_kept_bytes(budget, endless, 80).has_value());
    CHECK_FALSE(set_kept_bytes(budget, sound, 20).has_value());
    // WHEN the sound one needs a little more
    const auto ended = set_kept_bytes(budget, sound, 21);
    // THEN the endless one ends, with its peer and what it kept
    CHECK_TRUE(ended.has_value());
    LONGS_EQUAL(endless, ended->number);
    STRCMP_EQUAL("u1", ended->kept.peer.c_str());
    LONGS_EQUAL(80, ended->kept.bytes);
    LONGS_EQUAL(101, ended->total);
    // AND it no longer counts, also if it still reports what it keeps
    LONGS_EQUAL(21, budget.total);
    CHECK_FALSE(set_kept_bytes(budget, endless, 90).has_value());
    LONGS_EQUAL(21, budget.total);
    remove_exchange(budget, endless);
    remove_exchange(budget, sound);
    LONGS_EQUAL(0, budget.total);
}

TEST(receive_budget, an_exchange_beyond_the_whole_budget_ends_itself) {
    // GIVEN a sound exchange
    receive_budget budget = make_receive_budget(100);
    const exchange_number sound = add_exchange(budget, "u1");
    CHECK_FALSE(set_kept_bytes(budget, sound, 60).has_value());
    // WHEN another one keeps more than the budget
    const exchange_number endless = add_exchange(budget, "u2");
    const auto ended = set_kept_bytes(budget, endless, 150);
    // THEN that one ends
    LONGS_EQUAL(endless, ended->number);
    LONGS_EQUAL(60, budget.total);
}

TEST(receive_budget, the_sum_stays_within_the_budget_in_any_order) {
    for (unsigned seed = 1; seed <= 50; ++seed) {
        // GIVEN exchanges that begin, grow, shrink and end in any order
        std::mt19937 random(seed);
        receive_budget budget = make_receive_budget(1000);
        std::vector<exchange_number> open;
        for (int step = 0; step < 500; ++step) {
            const unsigned choice = random() % 10;
            if (open.empty() || choice == 0) {
                open.push_back(add_exchange(budget, "u"));
            } else if (choice == 1) {
                const std::size_t at = random() % open.size();
                remove_exchange(budget, open[at]);
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
            } else {
                // WHEN one of them reports what it keeps
                const exchange_number number = open[random() % open.size()];
                const auto ended = set_kept_bytes(budget, number, random() % 400);
                // THEN at most one ends, and none that is left keeps more than it did
                if (ended) {
                    for (const auto& [other, kept] : budget.exchanges) {
                        CHECK_TRUE(kept.bytes <= ended->kept.bytes);
                    }
                }
            }
            // AND the sum is that of the exchanges, within the budget
            std::size_t sum = 0;
            for (const auto& [number, kept] : budget.exchanges) {
                sum += kept.bytes;
            }
            LONGS_EQUAL(sum, budget.total);
            CHECK_TRUE(budget.total <= 1000);
        }
    }
}
