#include "serving/fleet_state.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(100'000)};

stored_suspect make_suspect(std::string part, int crashes, std::uint64_t revision) {
    stored_suspect suspect{{std::move(part), {}}, revision};
    for (int i = 0; i < crashes; ++i) {
        add_crash(suspect.value, {{"p"}, "u" + std::to_string(i) + "@1000"});
    }
    return suspect;
}

//! State with the suspects x and y, with one crash each, listed at revision 10.
fleet_state make_fleet_state() {
    fleet_state state;
    reduce(state, suspects_listed{{make_suspect("x", 1, 5), make_suspect("y", 1, 8)}, 10}, start);
    return state;
}

void check_change(const fleet_update& update, const char* what, const char* part,
                  std::uint64_t crashes) {
    LONGS_EQUAL(1, update.changes.size());
    STRCMP_EQUAL(what, update.changes.front().what.c_str());
    STRCMP_EQUAL(part, update.changes.front().subject.c_str());
    LONGS_EQUAL(crashes, update.changes.front().version);
}

}  // namespace

TEST_GROUP(suspects){};

TEST(suspects, a_write_applies_only_if_it_is_newer) {
    // GIVEN a suspect of revision 11
    fleet_state state = make_fleet_state();
    reduce(state, suspect_written{make_suspect("x", 2, 11)}, start + 1s);
    // WHEN writes of the same and of a lower revision arrive
    const auto same = reduce(state, suspect_written{make_suspect("x", 3, 11)}, start + 2s);
    const auto older = reduce(state, suspect_written{make_suspect("x", 3, 9)}, start + 2s);
    // THEN nothing changes
    POINTERS_EQUAL(nullptr, same.view.get());
    POINTERS_EQUAL(nullptr, older.view.get());
    CHECK_TRUE(state.suspects.at("x").stored == make_suspect("x", 2, 11));
    CHECK_TRUE(state.suspects.at("x").changed_at == start + 1s);
}

TEST(suspects, a_removal_older_than_the_entry_is_ignored) {
    // GIVEN a suspect of revision 11
    fleet_state state = make_fleet_state();
    reduce(state, suspect_written{make_suspect("x", 2, 11)}, start + 1s);
    // WHEN a removal of revision 10 arrives, THEN the suspect stays
    POINTERS_EQUAL(nullptr, reduce(state, suspect_removed{"x", 10}, start + 2s).view.get());
    CHECK_TRUE(state.suspects.contains("x"));
    // WHEN a newer removal arrives, THEN it is removed
    const auto removed = reduce(state, suspect_removed{"x", 12}, start + 2s);
    CHECK_FALSE(removed.view->suspects->contains("x"));
    CHECK_TRUE(removed.view->suspects->contains("y"));
    check_change(removed, "prompt_part_cleared", "x", 0);
    // AND the removal of an unknown suspect changes nothing
    POINTERS_EQUAL(nullptr, reduce(state, suspect_removed{"x", 13}, start + 2s).view.get());
}

TEST(suspects, a_list_replaces_all_suspects_that_are_not_newer) {
    // GIVEN the suspects x and y, and z that is newer than the next list
    fleet_state state = make_fleet_state();
    reduce(state, suspect_written{make_suspect("z", 1, 21)}, start + 1s);
    // WHEN a list of revision 20 has only a changed x and a new w
    const auto listed =
        reduce(state, suspects_listed{{make_suspect("x", 2, 15), make_suspect("w", 1, 16)}, 20},
               start + 2s);
    // THEN y is removed and z is kept
    const crash_suspects expected{{"w", make_suspect("w", 1, 0).value},
                                  {"x", make_suspect("x", 2, 0).value},
                                  {"z", make_suspect("z", 1, 0).value}};
    CHECK_TRUE(*listed.view->suspects == expected);
    // AND each change is reported
    LONGS_EQUAL(3, listed.changes.size());
}

TEST(suspects, a_list_does_not_replace_a_newer_write) {
    // GIVEN a suspect that was written after the next list
    fleet_state state = make_fleet_state();
    reduce(state, suspect_written{make_suspect("x", 2, 21)}, start + 1s);
    // WHEN the list has its older value
    const auto listed = reduce(
        state, suspects_listed{{make_suspect("x", 1, 5), make_suspect("y", 1, 8)}, 20}, start + 2s);
    // THEN nothing changes
    POINTERS_EQUAL(nullptr, listed.view.get());
    LONGS_EQUAL(2, state.suspects.at("x").stored.value.crashes.size());
}

TEST(suspects, an_equal_value_keeps_the_time_and_the_published_suspects) {
    // GIVEN two suspects
    fleet_state state = make_fleet_state();
    const auto published = state.published_suspects;
    // WHEN one is written again with an equal value
    const auto outcome = reduce(state, suspect_written{make_suspect("x", 1, 11)}, start + 5s);
    // THEN only its revision changes
    POINTERS_EQUAL(nullptr, outcome.view.get());
    LONGS_EQUAL(11, state.suspects.at("x").stored.revision);
    CHECK_TRUE(state.suspects.at("x").changed_at == start);
    POINTERS_EQUAL(published.get(), state.published_suspects.get());
}

TEST(suspects, views_share_the_suspects_until_they_change) {
    // GIVEN a view
    fleet_state state = make_fleet_state();
    const auto first = reduce(state, store_became_reachable{}, start + 1s);
    LONGS_EQUAL(2, first.view->suspects->size());
    // WHEN a view is made for another change, THEN it shares the suspects
    const auto second = reduce(state, zone_taken_out_of_service{{"z1"}}, start + 2s);
    POINTERS_EQUAL(first.view->suspects.get(), second.view->suspects.get());
    // WHEN a suspect changes, THEN the next view has new ones, and earlier views keep theirs
    const auto third = reduce(state, suspect_written{make_suspect("x", 2, 11)}, start + 3s);
    CHECK_TRUE(first.view->suspects != third.view->suspects);
    POINTERS_EQUAL(state.published_suspects.get(), third.view->suspects.get());
    LONGS_EQUAL(1, first.view->suspects->at("x").crashes.size());
    LONGS_EQUAL(2, third.view->suspects->at("x").crashes.size());
}

TEST(suspects, suspects_are_never_null) {
    // GIVEN a state before any list was read
    fleet_state state;
    CHECK_TRUE(state.published_suspects != nullptr);
    // WHEN a view is made, THEN it has an empty set of suspects
    CHECK_TRUE(reduce(state, store_became_reachable{}, start).view->suspects != nullptr);
    // WHEN an empty list is read, THEN nothing changes
    POINTERS_EQUAL(nullptr, reduce(state, suspects_listed{{}, 1}, start).view.get());
    CHECK_TRUE(state.published_suspects != nullptr);
}

TEST(suspects, changes_are_reported_with_the_number_of_crashes) {
    // GIVEN no suspects
    fleet_state state;
    // WHEN a part becomes a suspect and crashes more upstreams, THEN each change is reported
    check_change(reduce(state, suspect_written{make_suspect("x", 1, 1)}, start),
                 "prompt_part_suspected", "x", 1);
    check_change(reduce(state, suspect_written{make_suspect("x", 2, 2)}, start),
                 "prompt_part_suspected", "x", 2);
    check_change(reduce(state, suspect_written{make_suspect("x", 3, 3)}, start),
                 "prompt_part_quarantined", "x", 3);
    // WHEN a quarantined part has another crash, THEN it is published but not reported again
    const auto fourth = reduce(state, suspect_written{make_suspect("x", 4, 4)}, start);
    LONGS_EQUAL(0, fourth.changes.size());
    LONGS_EQUAL(4, fourth.view->suspects->at("x").crashes.size());
    // WHEN it is no longer quarantined, THEN this is reported once
    check_change(reduce(state, suspect_written{make_suspect("x", 1, 5)}, start),
                 "prompt_part_cleared", "x", 1);
    // WHEN a part is quarantined when it is first read, THEN only this is reported
    check_change(reduce(state, suspect_written{make_suspect("y", 3, 6)}, start),
                 "prompt_part_quarantined", "y", 3);
}

TEST(suspects, suspects_expire_after_their_last_change) {
    // GIVEN a suspect, a quarantined part, and a suspect that changes later
    fleet_state state = make_fleet_state();
    reduce(state, suspect_written{make_suspect("q", 3, 11)}, start);
    reduce(state, suspect_written{make_suspect("y", 2, 12)}, start + 30s);
    // WHEN 60 s have passed, THEN the first one expires
    CHECK_TRUE(expired_suspects(state, start + 59'999ms).empty());
    const auto first = expired_suspects(state, start + 60s);
    CHECK_TRUE(first == (std::vector<stored_suspect>{make_suspect("x", 1, 5)}));
    // WHEN 60 s have passed since the later change, THEN that one expires
    LONGS_EQUAL(1, expired_suspects(state, start + 89'999ms).size());
    LONGS_EQUAL(2, expired_suspects(state, start + 90s).size());
    // WHEN 600 s have passed, THEN the quarantined part expires
    LONGS_EQUAL(2, expired_suspects(state, start + 599'999ms).size());
    LONGS_EQUAL(3, expired_suspects(state, start + 600s).size());
}

TEST(suspects, a_crash_that_was_seen_counts_before_the_store_has_it) {
    // GIVEN a suspect with one stored crash
    fleet_state state = make_fleet_state();
    const upstream_crash seen{{"p"}, "seen@1"};
    const upstream_crash other{{"q"}, "seen@2"};
    // WHEN this instance sees two crashes with the key, one of them twice
    reduce(state, crash_seen{"x", seen}, start + 1s);
    POINTERS_EQUAL(nullptr, reduce(state, crash_seen{"x", seen}, start + 2s).view.get());
    const auto update = reduce(state, crash_seen{"x", other}, start + 3s);
    // THEN the key is quarantined, and the stored value is as before
    CHECK_TRUE(is_quarantined(update.view->suspects->at("x")));
    LONGS_EQUAL(1, state.suspects.at("x").stored.value.crashes.size());
    // AND a removal from the store leaves what was seen
    reduce(state, suspect_removed{"x", 20}, start + 4s);
    LONGS_EQUAL(2, merged_suspect(state.suspects.at("x")).crashes.size());
    // WHEN a response disproves one pool, THEN the other crash stays until its lifetime has passed
    reduce(state, crash_disproved{"x", {"p"}}, start + 5s);
    LONGS_EQUAL(1, merged_suspect(state.suspects.at("x")).crashes.size());
    reduce(state, fleet_tick{}, start + 62s);
    CHECK_TRUE(state.suspects.contains("x"));
    reduce(state, fleet_tick{}, start + 64s);
    CHECK_FALSE(state.suspects.contains("x"));
}

TEST(suspects, a_stored_crash_is_confirmed_and_no_longer_kept_beside_the_entry) {
    // GIVEN a crash that this instance saw
    fleet_state state;
    const upstream_crash seen{{"p"}, "seen@1"};
    reduce(state, crash_seen{"x", seen}, start);
    // WHEN the store's entry has it
    reduce(state, suspect_written{{{"x", {seen}}, 5}}, start + 1s);
    // THEN the entry alone decides, so that its removal ends the suspicion
    CHECK_TRUE(state.suspects.at("x").unconfirmed.empty());
    CHECK_FALSE(reduce(state, suspect_removed{"x", 6}, start + 2s).view->suspects->contains("x"));
}
