#include "routing/choose.h"

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

candidate make_candidate(const std::string& id, const std::string& zone, int in_flight,
                         int capacity) {
    return candidate{upstream_id{id}, zone_name{zone}, in_flight, 0, 0, capacity, false};
}

}  // namespace

TEST_GROUP(choose){};

TEST(choose, prefers_the_own_zone_up_to_the_spill_load) {
    struct row {
        int own_load;
        int other_load;
        const char* expected;
    };

    // GIVEN one upstream in the own zone and one elsewhere, of capacity 10
    const std::vector<row> rows = {
        {0, 0, "near"}, {7, 0, "near"}, {8, 0, "far"}, {8, 9, "near"}, {10, 9, "far"},
    };
    for (const row& each : rows) {
        const std::vector<candidate> all = {make_candidate("near", "a", each.own_load, 10),
                                            make_candidate("far", "b", each.other_load, 10)};
        // WHEN one is chosen
        const auto chosen = choose_upstream(all, {zone_name{"a"}, 0, 12345});
        // THEN the other zone is used only if the own zone is at the spill load and the other below
        // it
        CHECK(chosen.has_value());
        STRCMP_EQUAL(each.expected, all[*chosen].id.value.c_str());
    }
}

TEST(choose, returns_none_if_all_are_full) {
    const std::vector<candidate> all = {make_candidate("x", "a", 4, 4),
                                        make_candidate("y", "b", 5, 4)};
    CHECK_FALSE(choose_upstream(all, {zone_name{"a"}, 0, 1}).has_value());
    CHECK_FALSE(choose_upstream({}, {zone_name{"a"}, 0, 1}).has_value());
}

TEST(choose, corrects_an_old_report_by_own_attempts) {
    // GIVEN a report from a time with 1 attempt of this instance in progress, and 3 in progress now
    candidate value = make_candidate("x", "a", 4, 10);
    value.own_at_report = 1;
    value.own_in_flight = 3;
    // THEN the two attempts started since are added
    DOUBLES_EQUAL(0.6, corrected_load(value), 1e-9);
    // AND the load never falls below this instance's own attempts
    value.reported_in_flight = 0;
    value.own_at_report = 3;
    DOUBLES_EQUAL(0.3, corrected_load(value), 1e-9);
}

TEST(choose, keeps_a_prefix_on_its_upstream_within_the_bound) {
    // GIVEN eight equally loaded upstreams
    std::vector<candidate> all;
    for (int i = 0; i < 8; ++i) {
        all.push_back(make_candidate("u" + std::to_string(i), "a", 2, 16));
    }
    const auto first = choose_upstream(all, {zone_name{"a"}, 99, 1});
    // WHEN the same prefix comes with other random bits THEN the same upstream is chosen
    LONGS_EQUAL(*first, *choose_upstream(all, {zone_name{"a"}, 99, 77777}));
    // WHEN the load of that upstream is far above the mean THEN another one is chosen
    all[*first].reported_in_flight = 9;
    CHECK(*first != *choose_upstream(all, {zone_name{"a"}, 99, 1}));
}

TEST(choose, moves_few_prefixes_when_an_upstream_is_removed) {
    // GIVEN ten idle upstreams and 1000 prefixes
    std::vector<candidate> all;
    for (int i = 0; i < 10; ++i) {
        all.push_back(make_candidate("u" + std::to_string(i), "a", 0, 16));
    }
    std::vector<candidate> fewer(all.begin(), all.end() - 1);
    int moved = 0;
    for (std::uint64_t prefix = 1; prefix <= 1000; ++prefix) {
        const auto before = choose_upstream(all, {zone_name{"a"}, prefix, 1});
        const auto after = choose_upstream(fewer, {zone_name{"a"}, prefix, 1});
        // THEN only the prefixes of the removed upstream move
        const bool was_on_removed = *before == 9;
        moved += was_on_removed ? 1 : 0;
        CHECK(was_on_removed || *before == *after);
    }
    CHECK(moved < 200);
}

// Guards against instances of two architectures that choose differently.
TEST(choose, weights_are_the_same_on_all_architectures) {
    // GIVEN names and a hash; WHEN they are weighed, THEN the results are fixed
    UNSIGNED_LONGLONGS_EQUAL(5682024150051783982U, subset_weight("i-1", {"u-1"}));
    UNSIGNED_LONGLONGS_EQUAL(17526614628411710225U,
                             detail::prefix_weight(0x0123456789abcdef, {"u-1"}));
}
