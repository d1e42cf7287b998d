#include "crash_quarantine/crash_quarantine.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(100'000)};
const pool_name pool_a{"a"};
const pool_name pool_b{"b"};

//! Keys of a prompt with these parts.
std::vector<std::string> make_prompt(const std::vector<std::string>& ids) {
    std::vector<prompt_part> prompt;
    for (const std::string& id : ids) {
        prompt.push_back({id, 100});
    }
    return shared_part_ids(prompt);
}

upstream_crash make_crash(int number, const pool_name& pool = pool_a) {
    return {pool, "u" + std::to_string(number) + "@1000"};
}

crash_suspect make_suspect(std::string id, int crashes, const pool_name& pool = pool_a) {
    crash_suspect suspect{std::move(id), {}};
    for (int i = 0; i < crashes; ++i) {
        add_crash(suspect, make_crash(i, pool));
    }
    return suspect;
}

//! The suspects and one instance's history.
struct instance_view {
    crash_suspects suspects;
    answer_history history;
};

//! A crash of an engine that ran the prompts.
void crash(instance_view& view, const upstream_crash& crashed,
           const std::vector<std::vector<std::string>>& prompts, instant now) {
    for (const std::vector<std::string>& prompt : prompts) {
        for (const std::string& id : unproven_keys(view.history, crashed.pool, prompt, now)) {
            crash_suspect& suspect = view.suspects[id];
            suspect.key = id;
            add_crash(suspect, crashed);
        }
    }
}

//! A complete response, and the removal of the crashes that it disproves.
void answer(instance_view& view, const std::vector<std::string>& prompt, instant now) {
    record_answered(view.history, pool_a, prompt, now);
    for (const disproved_suspect& disproved :
         disproved_suspects(view.suspects, view.history, now)) {
        const auto found = view.suspects.find(disproved.key);
        clear_crashes(found->second, disproved.pool);
        if (found->second.crashes.empty()) {
            view.suspects.erase(found);
        }
    }
}

}  // namespace

TEST_GROUP(crash_quarantine){};

TEST(crash_quarantine, three_distinct_crashes_quarantine_a_part) {
    // GIVEN a part with two crashes
    crash_suspect suspect{"x", {}};
    CHECK_TRUE(add_crash(suspect, make_crash(2)));
    CHECK_TRUE(add_crash(suspect, make_crash(1)));
    // WHEN one of them is reported again
    CHECK_FALSE(add_crash(suspect, make_crash(2)));
    // THEN it counts once
    LONGS_EQUAL(2, suspect.crashes.size());
    CHECK_FALSE(is_quarantined(suspect));
    // WHEN a later incarnation of the same upstream crashes
    CHECK_TRUE(add_crash(suspect, {pool_a, "u1@2000"}));
    // THEN the part is quarantined, and the crashes are sorted
    CHECK_TRUE(is_quarantined(suspect));
    CHECK_TRUE(std::ranges::is_sorted(suspect.crashes));
}

TEST(crash_quarantine, the_list_of_crashes_is_bounded) {
    // GIVEN a part with 16 crashes
    crash_suspect suspect = make_suspect("x", 16);
    LONGS_EQUAL(16, suspect.crashes.size());
    // WHEN another one is reported
    // THEN it isn't added
    CHECK_FALSE(add_crash(suspect, make_crash(99)));
    LONGS_EQUAL(16, suspect.crashes.size());
    CHECK_TRUE(is_quarantined(suspect));
}

TEST(crash_quarantine, an_answer_clears_the_crashes_of_its_pool_only) {
    // GIVEN a part with crashes in two pools
    crash_suspect suspect = make_suspect("x", 2, pool_a);
    add_crash(suspect, make_crash(7, pool_b));
    // WHEN those of one pool are cleared
    CHECK_TRUE(clear_crashes(suspect, pool_a));
    // THEN the crash of the other pool remains
    LONGS_EQUAL(1, suspect.crashes.size());
    CHECK_TRUE(suspect.crashes.front() == make_crash(7, pool_b));
    // AND nothing is left to clear in the first pool
    CHECK_FALSE(clear_crashes(suspect, pool_a));
}

TEST(crash_quarantine, a_quarantined_part_lives_longer_than_other_suspects) {
    // WHEN a part isn't quarantined yet, THEN it lives for a minute
    CHECK_TRUE(lifetime_of(make_suspect("x", 2)) == 60s);
    // WHEN it is quarantined, THEN it lives for ten minutes
    CHECK_TRUE(lifetime_of(make_suspect("x", 3)) == 600s);
}

TEST(crash_quarantine, the_first_quarantined_shared_part_is_found) {
    // GIVEN a suspect and two quarantined parts
    const crash_suspects suspects{
        {"s", make_suspect("s", 2)}, {"x", make_suspect("x", 3)}, {"y", make_suspect("y", 4)}};
    // WHEN a prompt has all of them
    const auto* found = find_quarantined(suspects, make_prompt({"s", "y", "x", "end"}));
    // THEN the first quarantined one is found
    POINTERS_EQUAL(&suspects.at("y"), found);
    // AND none is found in prompts without a quarantined part
    POINTERS_EQUAL(nullptr, find_quarantined(suspects, make_prompt({"s", "c", "end"})));
}

TEST(crash_quarantine, the_last_part_of_a_prompt_is_never_a_suspect) {
    // GIVEN a quarantined part
    const crash_suspects suspects{{"x", make_suspect("x", 3)}};
    answer_history history;
    // WHEN a prompt ends with it or is empty
    // THEN the prompt isn't kept from the engines
    POINTERS_EQUAL(nullptr, find_quarantined(suspects, make_prompt({"c", "x"})));
    POINTERS_EQUAL(nullptr, find_quarantined(suspects, make_prompt({"x"})));
    POINTERS_EQUAL(nullptr, find_quarantined(suspects, {}));
    // AND its last part is neither suspected nor recorded
    CHECK_TRUE(unproven_keys(history, pool_a, make_prompt({"c", "x"}), start) ==
               std::vector<std::string>{"c"});
    CHECK_TRUE(unproven_keys(history, pool_a, make_prompt({"x"}), start).empty());
    CHECK_TRUE(unproven_keys(history, pool_a, {}, start).empty());
    record_answered(history, pool_a, make_prompt({"c", "x"}), start);
    record_answered(history, pool_a, make_prompt({"x"}), start);
    record_answered(history, pool_a, {}, start);
    LONGS_EQUAL(1, history.answered_at.size());
}

TEST(crash_quarantine, unproven_parts_are_in_prompt_order_without_duplicates) {
    // GIVEN an answer for one of the parts
    answer_history history;
    record_answered(history, pool_a, make_prompt({"c", "end"}), start);
    const auto prompt = make_prompt({"z", "c", "b", "z", "end"});
    // WHEN the unproven parts are listed
    // THEN the answered part is missing in its pool, but not in others
    CHECK_TRUE(unproven_keys(history, pool_a, prompt, start + 1s) ==
               (std::vector<std::string>{"z", "b"}));
    CHECK_TRUE(unproven_keys(history, pool_b, prompt, start + 1s) ==
               (std::vector<std::string>{"z", "c", "b"}));
}

TEST(crash_quarantine, an_answer_counts_for_thirty_seconds) {
    // GIVEN an answer
    answer_history history;
    const auto prompt = make_prompt({"c", "end"});
    const crash_suspects suspects{{"c", make_suspect("c", 1)}};
    record_answered(history, pool_a, prompt, start);
    // WHEN less than 30 s have passed, THEN it counts
    CHECK_TRUE(unproven_keys(history, pool_a, prompt, start + 29'999ms).empty());
    LONGS_EQUAL(1, disproved_suspects(suspects, history, start + 29'999ms).size());
    // WHEN 30 s have passed, THEN it no longer counts
    LONGS_EQUAL(1, unproven_keys(history, pool_a, prompt, start + 30s).size());
    CHECK_TRUE(disproved_suspects(suspects, history, start + 30s).empty());
}

TEST(crash_quarantine, a_repeated_answer_counts_from_the_last_one) {
    // GIVEN a part that is answered twice
    answer_history history;
    const auto prompt = make_prompt({"c", "end"});
    record_answered(history, pool_a, prompt, start);
    record_answered(history, pool_a, prompt, start + 20s);
    // WHEN 30 s have passed since the first answer
    // THEN the second one counts
    CHECK_TRUE(unproven_keys(history, pool_a, prompt, start + 45s).empty());
}

TEST(crash_quarantine, old_answers_are_purged_at_most_once_a_second) {
    // GIVEN two answers, and a purge when the first of them is old
    answer_history history;
    record_answered(history, pool_a, make_prompt({"c1", "end"}), start);
    record_answered(history, pool_a, make_prompt({"c2", "end"}), start + 500ms);
    record_answered(history, pool_a, make_prompt({"c3", "end"}), start + 30s);
    LONGS_EQUAL(2, history.answered_at.size());
    // WHEN the second becomes old within the next second, THEN it is kept
    record_answered(history, pool_a, make_prompt({"c3", "end"}), start + 30'999ms);
    LONGS_EQUAL(2, history.answered_at.size());
    // WHEN the second has passed, THEN it is removed
    record_answered(history, pool_a, make_prompt({"c3", "end"}), start + 31s);
    LONGS_EQUAL(1, history.answered_at.size());
}

TEST(crash_quarantine, a_full_history_records_new_parts_after_the_purge) {
    // GIVEN a full history
    answer_history history;
    std::vector<std::string> ids;
    for (int i = 0; i < 9000; ++i) {
        ids.push_back("c" + std::to_string(i));
    }
    record_answered(history, pool_a, make_prompt(ids), start);
    LONGS_EQUAL(8192, history.answered_at.size());
    // WHEN a new and a known part are answered
    record_answered(history, pool_a, make_prompt({"new", "c0", "end"}), start + 10s);
    // THEN only the known one is recorded
    LONGS_EQUAL(8192, history.answered_at.size());
    CHECK_FALSE(history.answered_at.contains({pool_a, "new"}));
    CHECK_TRUE(history.answered_at.at({pool_a, "c0"}) == start + 10s);
    // WHEN the old answers have been purged, THEN the new one is recorded too
    record_answered(history, pool_a, make_prompt({"new", "end"}), start + 30s);
    CHECK_TRUE(history.answered_at.contains({pool_a, "new"}));
    LONGS_EQUAL(2, history.answered_at.size());
}

TEST(crash_quarantine, each_disproved_suspect_and_pool_is_listed_once) {
    // GIVEN a part with two crashes in each of two pools, and another suspect
    crash_suspect both = make_suspect("x", 2, pool_a);
    add_crash(both, make_crash(1, pool_b));
    add_crash(both, make_crash(2, pool_b));
    const crash_suspects suspects{{"x", both}, {"y", make_suspect("y", 1)}};
    // WHEN engines of one pool have answered the first part
    answer_history history;
    record_answered(history, pool_a, make_prompt({"x", "end"}), start);
    // THEN it is listed once, for that pool
    const auto disproved = disproved_suspects(suspects, history, start + 1s);
    CHECK_TRUE(disproved == (std::vector<disproved_suspect>{{"x", pool_a}}));
    // WHEN those of the other pool have answered it too, THEN it is listed for both
    record_answered(history, pool_b, make_prompt({"x", "end"}), start + 1s);
    CHECK_TRUE(disproved_suspects(suspects, history, start + 1s) ==
               (std::vector<disproved_suspect>{{"x", pool_a}, {"x", pool_b}}));
}

TEST(crash_quarantine, an_answer_shortly_before_a_crash_disproves_it) {
    // GIVEN a part that this instance's engines have answered
    answer_history history;
    record_answered(history, pool_a, make_prompt({"c", "end"}), start);
    // WHEN another instance reports it after a crash
    const crash_suspects suspects{{"c", make_suspect("c", 1)}};
    // THEN it is disproved without another answer
    LONGS_EQUAL(1, disproved_suspects(suspects, history, start + 5s).size());
}

TEST(crash_quarantine, an_innocent_part_that_shares_a_crash_is_cleared_by_an_answer) {
    // GIVEN a crash with a deadly and an innocent part in progress
    instance_view view;
    crash(view, make_crash(1), {make_prompt({"deadly", "end1"}), make_prompt({"innocent", "end2"})},
          start);
    LONGS_EQUAL(2, view.suspects.size());
    // WHEN an engine answers the innocent part
    answer(view, make_prompt({"innocent", "end2"}), start + 1s);
    // THEN only the deadly part is still a suspect
    CHECK_FALSE(view.suspects.contains("innocent"));
    CHECK_TRUE(view.suspects.contains("deadly"));
}

TEST(crash_quarantine, a_common_part_is_never_quarantined_over_ten_crashes) {
    // GIVEN a common first part that is in progress at each crash of the deadly part. Answers are
    // old by the next crash, so that the common part becomes a suspect each time.
    instance_view view;
    for (int i = 0; i < 10; ++i) {
        const instant now = start + i * 31s;
        const std::string end = "end" + std::to_string(i);
        const auto deadly = make_prompt({"common", "deadly", end});
        // WHEN an engine crashes
        crash(view, make_crash(i), {deadly, make_prompt({"common", end})}, now);
        // THEN the deadly part is quarantined from the third crash on, and the common part never
        LONGS_EQUAL(1, view.suspects.at("common").crashes.size());
        LONGS_EQUAL(i + 1, view.suspects.at("deadly").crashes.size());
        const auto* found = find_quarantined(view.suspects, deadly);
        POINTERS_EQUAL(i < 2 ? nullptr : &view.suspects.at("deadly"), found);
        // AND an answer clears the common part
        answer(view, make_prompt({"common", end}), now + 500ms);
        CHECK_FALSE(view.suspects.contains("common"));
    }
    // AND no last part became a suspect
    LONGS_EQUAL(1, view.suspects.size());
}

TEST(crash_quarantine, the_key_of_a_request_covers_caller_host_target_and_body) {
    // GIVEN a request
    const request_content content{"w", "h", "/a?b", "body"};
    const std::string key = request_key(content);
    // WHEN the same one comes again, THEN it has the same key, which stands for a whole request
    STRCMP_EQUAL(key.c_str(), request_key(content).c_str());
    CHECK_TRUE(is_request_key(key));
    CHECK_FALSE(is_request_key("5c1e07a2"));
    // WHEN any of them differs, or the same text is split in another way, THEN the key differs
    for (const request_content& other :
         {request_content{"v", "h", "/a?b", "body"}, request_content{"w", "g", "/a?b", "body"},
          request_content{"w", "h", "/a?c", "body"}, request_content{"w", "h", "/a?b", "bodz"},
          request_content{"wh", "", "/a?b", "body"}, request_content{"w", "h", "/a?bb", "ody"}}) {
        CHECK_FALSE(key == request_key(other));
    }
}
