// Calls that may not be repeated, under faults of their upstreams.
#include "pipeline/problem.h"
#include "pipeline/service_call.h"
#include "pipeline/tests/fake_control.h"
#include "upstreams/tests/scripted_upstream.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

using request = upstream_request;
using reply = reply_socket;

topology one_service() {
    topology known;
    pool_settings& pool = known.pools[{"booking"}];
    pool.name.value = "booking";
    pool.kind = pool_kind::service;
    pool.idempotent = {"look_up"};
    return known;
}

struct bench {
    explicit bench(const upstream_script& script) : first(script), second(script) {
        control.pools["booking"] = {{"u1", first.address()}, {"u2", second.address()}};
        control.on_permit = [this](const permit_request&) {
            permits_asked += 1;
            permit_reply told;
            told.verdict = permit_verdict::granted;
            told.permit = "p1";
            return told;
        };
    }

    service_answer call(const std::string& operation, const std::string& key) {
        const control_client client = control.client();
        const run_environment env{client, *upstreams, budget, known, {"z1"}};
        admitted_request asked;
        asked.request.value = "r1";
        asked.workspace.value = "w1";
        asked.key.value = key;
        asked.deadline = boot_clock::now() + 400ms;
        return run_service_call(env, asked, {{"booking"}, operation, R"({"n":1})"});
    }

    std::size_t sent() {
        return first.requests().size() + second.requests().size();
    }

    topology known = one_service();
    fake_control control;
    scripted_upstream first;
    scripted_upstream second;
    int permits_asked{0};
    retry_budget budget{{}};
    std::unique_ptr<upstream_client> upstreams = std::move(upstream_client::start({}).value());
};

struct call_case {
    const char* name;
    upstream_script script;
    std::optional<execution> refused;  //!< none: answered
    bool permit_returned;
    bool outcome_known;
};

const std::vector<call_case>& call_cases() {
    static const std::vector<call_case> cases{
        {"answers", [](const request& r, const reply& s) { send_output(r, s, "booked"); },
         std::nullopt, false, true},
        {"refuses before work", send_not_run, execution::not_run, true, false},
        {"closes without an answer", [](const request&, const reply&) {}, execution::may_have_run,
         false, false},
        {"resets", [](const request&, const reply& s) { s.reset(); }, execution::may_have_run,
         false, false},
        {"is silent", [](const request&, const reply& s) { s.stay_silent(); },
         execution::may_have_run, false, false},
        {"answers with an error",
         [](const request& r, const reply& s) { send_whole(r, s, 500, "{}"); },
         execution::may_have_run, false, true},
        {"answers for another",
         [](request r, const reply& s) {
             r.headers["x-attempt"] = "other";
             send_output(r, s, "x");
         },
         execution::may_have_run, false, false},
        {"refuses for another",
         [](request r, const reply& s) {
             r.headers["x-request-id"] = "other";
             send_not_run(r, s);
         },
         execution::may_have_run, false, false},
        {"truncates its answer",
         [](const request& r, const reply& s) {
             s.send(answer_head(r, 200, "Content-Length: 90\r\n") + "{");
         },
         execution::may_have_run, false, false},
    };
    return cases;
}

}  // namespace

TEST_GROUP(service_call){};

TEST(service_call, a_call_leaves_at_most_once_and_its_permit_ends_once) {
    for (const call_case& one : call_cases()) {
        // GIVEN a service that does so
        bench here(one.script);

        // WHEN an operation that may not be repeated is called
        const service_answer told = here.call("book", "k1");

        // THEN it left once, and the refusal says what is known
        UNSIGNED_LONGS_EQUAL_TEXT(1, here.sent(), one.name);
        CHECK_TEXT(told.refused.has_value() == one.refused.has_value(), one.name);
        if (told.refused) {
            CHECK_TEXT(told.refused->state == *one.refused, one.name);
        }
        // THEN the permit was returned or the outcome reported, never both
        const auto returned = here.control.all_posted<permit_returned>();
        const auto ended = here.control.all_posted<call_ended>();
        UNSIGNED_LONGS_EQUAL_TEXT(one.permit_returned ? 1 : 0, returned.size(), one.name);
        UNSIGNED_LONGS_EQUAL_TEXT(one.permit_returned ? 0 : 1, ended.size(), one.name);
        if (!ended.empty()) {
            CHECK_TEXT(ended[0].value.outcome.known == one.outcome_known, one.name);
            STRCMP_EQUAL_TEXT("p1", ended[0].value.permit.c_str(), one.name);
        }
        UNSIGNED_LONGS_EQUAL_TEXT(1, here.control.all_posted<attempt_ended>().size(), one.name);
    }
}

TEST(service_call, another_upstream_is_tried_only_while_nothing_was_sent) {
    // GIVEN a grant used too late, an upstream that is gone, and one that answers
    bench here([](const request& r, const reply& s) { send_output(r, s, "booked"); });
    std::string nobody;
    {
        const scripted_upstream gone([](const request&, const reply&) {});
        nobody = gone.address();
    }
    here.control.pools["booking"] = {
        {"u0", here.first.address()}, {"u1", nobody}, {"u2", here.second.address()}};
    here.control.windows = {0ms};

    // WHEN the call is made
    const service_answer told = here.call("book", "k1");

    // THEN it ran once, under the one permit
    STRCMP_EQUAL(R"({"output":"booked"})", told.body.c_str());
    UNSIGNED_LONGS_EQUAL(1, here.sent());
    LONGS_EQUAL(1, here.permits_asked);
    UNSIGNED_LONGS_EQUAL(3, here.control.all_posted<attempt_ended>().size());
}

TEST(service_call, without_a_permit_nothing_leaves) {
    struct verdict_case {
        permit_verdict verdict;
        call_outcome outcome;
        refusal_reason reason;
        execution state;
    };

    refusal failed;
    failed.reason = refusal_reason::upstream_failed;
    failed.state = execution::may_have_run;
    const std::vector<verdict_case> cases{
        {permit_verdict::unknown_outcome,
         {},
         refusal_reason::outcome_unknown,
         execution::may_have_run},
        {permit_verdict::key_reused, {}, refusal_reason::key_reused, execution::not_run},
        {permit_verdict::store_unavailable,
         {},
         refusal_reason::store_unavailable,
         execution::not_run},
        {permit_verdict::no_home, {}, refusal_reason::not_ready, execution::not_run},
        {permit_verdict::running, {}, refusal_reason::deadline_exceeded, execution::may_have_run},
        {permit_verdict::done, {}, refusal_reason::outcome_unknown, execution::may_have_run},
        {permit_verdict::done, {true, 200, ""}, refusal_reason::outcome_unknown, execution::ran},
        {permit_verdict::done,
         {true, 502, problem_json(failed).dump()},
         refusal_reason::upstream_failed,
         execution::may_have_run},
    };
    for (const verdict_case& one : cases) {
        // GIVEN a home that says so
        bench here([](const request& r, const reply& s) { send_output(r, s, "booked"); });
        here.control.on_permit = [&one](const permit_request&) {
            permit_reply told;
            told.verdict = one.verdict;
            told.outcome = one.outcome;
            return told;
        };

        // WHEN the call is made
        const service_answer told = here.call("book", "k1");

        // THEN nothing left, and the refusal is true
        CHECK(told.refused->reason == one.reason);
        CHECK(told.refused->state == one.state);
        UNSIGNED_LONGS_EQUAL(0, here.sent());
        LONGS_EQUAL(0, here.control.granted);
    }
}

TEST(service_call, a_repeat_waits_for_the_first_and_gets_its_answer) {
    // GIVEN a call that another instance runs, and that then is done
    bench here([](const request& r, const reply& s) { send_output(r, s, "booked"); });
    int asked = 0;
    here.control.on_permit = [&asked](const permit_request&) {
        permit_reply told;
        told.verdict = ++asked < 3 ? permit_verdict::running : permit_verdict::done;
        told.outcome = {true, 200, R"({"output":"first"})"};
        return told;
    };

    // WHEN the repeat asks
    const service_answer told = here.call("book", "k1");

    // THEN it has the first one's answer, and nothing left
    STRCMP_EQUAL(R"({"output":"first"})", told.body.c_str());
    UNSIGNED_LONGS_EQUAL(0, here.sent());
}

TEST(service_call, a_call_without_a_key_is_refused) {
    bench here([](const request& r, const reply& s) { send_output(r, s, "booked"); });
    const service_answer told = here.call("book", "");
    CHECK(told.refused->reason == refusal_reason::key_required);
    CHECK(told.refused->state == execution::not_run);
    LONGS_EQUAL(0, here.permits_asked);
}

TEST(service_call, an_idempotent_operation_is_repeated_without_a_permit) {
    // GIVEN a service whose first call fails
    std::atomic<int> calls{0};
    bench here([&calls](const request& r, const reply& s) {
        if (++calls > 1) {
            send_output(r, s, "found");
        }
    });

    // WHEN an idempotent operation is called
    const service_answer told = here.call("look_up", "");

    // THEN it was repeated
    STRCMP_EQUAL(R"({"output":"found"})", told.body.c_str());
    UNSIGNED_LONGS_EQUAL(2, here.sent());
    LONGS_EQUAL(0, here.permits_asked);
    LONGS_EQUAL(1, told.costs.at(0).repeats);
}
