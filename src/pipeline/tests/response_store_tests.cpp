// Tests of kept responses: joining by key, eviction, reads by peers, and refusals as problems.
#include "pipeline/problem.h"
#include "pipeline/response_store.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

TEST_GROUP(response_store) {
    const response_key key{"owner", {"k1"}};
    const fingerprint body{"b1"};
};

TEST(response_store, a_key_is_joined_replaced_or_refused) {
    // GIVEN a running response
    response_store store({});
    const begun_response first = store.begin(key, body, {"r1"});
    CHECK(first.status == begin_status::created);

    // WHEN the same key begins again THEN it joins the response, both running and complete
    CHECK(store.begin(key, body, {"r2"}).value == first.value);
    first.value->add_token("a");
    first.value->finish({});
    CHECK(store.begin(key, body, {"r3"}).status == begin_status::joined);

    // THEN another body is refused, and the same key of another caller creates another response
    CHECK(store.begin(key, {"b2"}, {"r4"}).status == begin_status::key_reused);
    CHECK(store.begin({"other", {"k1"}}, body, {"r5"}).status == begin_status::created);

    // GIVEN a response that failed THEN a repeat creates a new one
    const response_key failed{"owner", {"k2"}};
    store.begin(failed, body, {"r6"}).value->fail({});
    CHECK(store.begin(failed, body, {"r7"}).status == begin_status::created);
}

TEST(response_store, ended_responses_are_evicted_over_the_size_limit_and_running_ones_stay) {
    // GIVEN a store limited to one byte, a running response and two complete ones
    response_store_settings small;
    small.max_bytes = 1;
    response_store store(small);
    const auto running = store.begin({"o", {"running"}}, body, {"r1"}).value;
    running->add_token("a");
    for (const char* name : {"a", "b"}) {
        store.begin({"o", {name}}, body, {name}).value->finish({});
    }

    // WHEN the store is used after its prune period has passed
    const instant due = boot_clock::now() + 300ms;
    while (boot_clock::now() < due) {}

    // THEN the complete ones were evicted, and the running one was kept
    CHECK(store.find({"o", {"a"}}) == nullptr);
    CHECK(store.find({"o", {"b"}}) == nullptr);
    CHECK(store.find({"o", {"running"}}) == running);
}

TEST(response_store, a_peer_reads_frames_and_the_refusal) {
    // GIVEN a response that failed after one token
    response_store store({});
    const auto value = store.begin(key, body, {"r1"}).value;
    value->add_token("a");
    refusal refused;
    refused.reason = refusal_reason::upstream_failed;
    refused.state = execution::ran;
    value->fail(refused);

    // WHEN a peer reads from the second frame
    const auto part = parse_read_reply(store.handle_read(read_query(key, 1)));

    // THEN it receives the last frame and the refusal
    UNSIGNED_LONGS_EQUAL(1, part.value().frames.size());
    CHECK(part.value().ended);
    CHECK(part.value().refused->reason == refusal_reason::upstream_failed);
    CHECK(part.value().refused->state == execution::ran);

    // THEN malformed queries find nothing, and malformed replies are protocol errors
    for (const char* query : {"", "{}", "[]", R"({"owner":1,"key":"k","from":0})",
                              R"({"owner":"owner","key":"k1","from":-1})",
                              R"({"owner":"owner","key":"none","from":0})"}) {
        const auto none = parse_read_reply(store.handle_read(query));
        CHECK_TEXT(none.error().kind == error_kind::missing, query);
    }
    for (const char* reply : {"", "{}", R"({"found":true})", R"({"found":true,"frames":3})"}) {
        CHECK_TEXT(parse_read_reply(reply).error().kind == error_kind::protocol, reply);
    }
}

TEST(response_store, every_refusal_round_trips_through_its_problem) {
    for (int at = 0; at <= static_cast<int>(refusal_reason::internal); ++at) {
        for (const execution state :
             {execution::not_run, execution::may_have_run, execution::ran}) {
            refusal refused;
            refused.reason = static_cast<refusal_reason>(at);
            refused.state = state;
            refused.place = "here";
            const refusal read = refusal_from_problem(problem_json(refused));
            CHECK(read.reason == refused.reason);
            CHECK(read.state == state);
            STRCMP_EQUAL("here", read.place.c_str());
            CHECK(http_status_of(refused.reason) >= 400);
        }
    }
}
