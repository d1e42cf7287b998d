// Kept answers and the budget of repeats.
#include "pipeline/answer_store.h"
#include "pipeline/problem.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

TEST_GROUP(answer_store) {
    const answer_key key{"owner", {"k1"}};
    const fingerprint body{"b1"};
};

TEST(answer_store, a_key_is_joined_replaced_or_refused) {
    // GIVEN a running answer
    answer_store store({});
    const begun_answer first = store.begin(key, body, {"r1"});
    CHECK(first.verdict == begin_verdict::created);

    // WHEN it is begun again THEN it is joined, while it runs and when it is whole
    CHECK(store.begin(key, body, {"r2"}).value == first.value);
    first.value->add_token("a");
    first.value->finish({});
    CHECK(store.begin(key, body, {"r3"}).verdict == begin_verdict::joined);

    // THEN another body is refused, and another owner's key is another answer
    CHECK(store.begin(key, {"b2"}, {"r4"}).verdict == begin_verdict::key_reused);
    CHECK(store.begin({"other", {"k1"}}, body, {"r5"}).verdict == begin_verdict::created);

    // GIVEN an answer that ended with a refusal THEN a repeat runs anew
    const answer_key failed{"owner", {"k2"}};
    store.begin(failed, body, {"r6"}).value->fail({});
    CHECK(store.begin(failed, body, {"r7"}).verdict == begin_verdict::created);
}

TEST(answer_store, old_answers_make_room_and_running_ones_stay) {
    // GIVEN a store for few bytes, a running answer and two whole ones
    answer_store_settings small;
    small.max_bytes = 1;
    answer_store store(small);
    const auto running = store.begin({"o", {"running"}}, body, {"r1"}).value;
    running->add_token("a");
    for (const char* name : {"a", "b"}) {
        store.begin({"o", {name}}, body, {name}).value->finish({});
    }

    // WHEN the store is used after its next check is due
    const instant due = boot_clock::now() + 300ms;
    while (boot_clock::now() < due) {}

    // THEN the whole ones have gone, and the running one is there
    CHECK(store.find({"o", {"a"}}) == nullptr);
    CHECK(store.find({"o", {"b"}}) == nullptr);
    CHECK(store.find({"o", {"running"}}) == running);
}

TEST(answer_store, a_peer_reads_frames_and_the_refusal) {
    // GIVEN an answer that ended with a refusal after one token
    answer_store store({});
    const auto value = store.begin(key, body, {"r1"}).value;
    value->add_token("a");
    refusal why;
    why.reason = refusal_reason::upstream_failed;
    why.state = execution::ran;
    value->fail(why);

    // WHEN a peer reads from the second frame
    const auto part = parse_read_reply(store.answer_read(read_query(key, 1)));

    // THEN it has the last frame and the refusal
    UNSIGNED_LONGS_EQUAL(1, part.value().frames.size());
    CHECK(part.value().ended);
    CHECK(part.value().refused->reason == refusal_reason::upstream_failed);
    CHECK(part.value().refused->state == execution::ran);

    // THEN malformed queries and replies are answered as such
    for (const char* query : {"", "{}", "[]", R"({"owner":1,"key":"k","from":0})",
                              R"({"owner":"owner","key":"k1","from":-1})",
                              R"({"owner":"owner","key":"none","from":0})"}) {
        const auto none = parse_read_reply(store.answer_read(query));
        CHECK_TEXT(none.error().kind == error_kind::missing, query);
    }
    for (const char* reply : {"", "{}", R"({"found":true})", R"({"found":true,"frames":3})"}) {
        CHECK_TEXT(parse_read_reply(reply).error().kind == error_kind::protocol, reply);
    }
}

TEST(answer_store, every_refusal_survives_the_way_through_its_problem) {
    for (int at = 0; at <= static_cast<int>(refusal_reason::internal); ++at) {
        for (const execution state :
             {execution::not_run, execution::may_have_run, execution::ran}) {
            refusal why;
            why.reason = static_cast<refusal_reason>(at);
            why.state = state;
            why.place = "here";
            const refusal read = refusal_from_problem(problem_json(why));
            CHECK(read.reason == why.reason);
            CHECK(read.state == state);
            STRCMP_EQUAL("here", read.place.c_str());
            CHECK(http_status_of(why.reason) >= 400);
        }
    }
}
