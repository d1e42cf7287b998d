// Tests of at-most-once service calls whose upstreams fail.
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

struct fixture {
    explicit fixture(const upstream_script& script) : first(script), second(script) {
        control.pools["booking"] = {{"u1", first.address()}, {"u2", second.address()}};
        control.on_permit = [this](const permit_request&) {
            permits_requested += 1;
            permit_reply permit;
            permit.verdict = permit_verdict::granted;
            permit.permit = "p1";
            return permit;
        };
    }

    service_response call(const std::string& operation, const std::string& key) {
        const control_client client = control.client();
        const run_environment env{client, *upstreams, budget, known, {"z1"}};
        admitted_request admitted;
        admitted.request.value = "r1";
        admitted.workspace.value = "w1";
        admitted.key.value = key;
        admitted.deadline = boot_clock::now() + 400ms;
        return run_service_call(env, admitted, {{"booking"}, operation, R"({"n":1})"});
    }

    std::size_t sent() {
        return first.requests().size() + second.requests().size();
    }

    topology known = one_service();
    fake_control control;
    scripted_upstream first;
    scripted_upstream second;
    int permits_requested{0};
    retry_budget budget{{}};
    std::unique_ptr<upstream_client> upstreams = std::move(upstream_client::start({}).value());
};

struct call_case {
    const char* name;
    upstream_script script;
    std::optional<execution> refused;  //!< none if the call succeeds
    bool permit_returned;
    bool outcome_known;
};

const std::vector<call_case>& call_cases() {
    static const std::vector<call_case> cases{
        {"responds", [](const request& r, const reply& s) { send_output(r, s, "booked"); },
         std::nullopt, false, true},
        {"refuses before work", send_not_run, execution::not_run, true, false},
        {"closes without a response", [](const request&, const reply&) {}, execution::may_have_run,
         false, false},
        {"resets", [](const request&, const reply& s) { s.reset(); }, execution::may_have_run,
         false, false},
        {"is silent", [](const request&, const reply& s) { s.stay_silent(); },
         execution::may_have_run, false, false},
        {"responds with an error",
         [](const request& r, const reply& s) { send_whole(r, s, 500, "{}"); },
         execution::may_have_run, false, true},
        {"responds for another attempt",
         [](request r, const reply& s) {
             r.headers["x-attempt"] = "other";
             send_output(r, s, "x");
         },
         execution::may_have_run, false, false},
        {"refuses for another request",
         [](request r, const reply& s) {
             r.headers["x-request-id"] = "other";
             send_not_run(r, s);
         },
         execution::may_have_run, false, false},
        {"truncates its response",
         [](const request& r, const reply& s) {
             s.send(answer_head(r, 200, "Content-Length: 90\r\n") + "{");
         },
         execution::may_have_run, false, false},
    };
    return cases;
}

}  // namespace

TEST_GROUP(service_call){};

TEST(service_call, a_call_is_sent_at_most_once_and_its_permit_ends_once) {
    for (const call_case& test_case : call_cases()) {
        // GIVEN a service that behaves as in this case
        fixture setup(test_case.script);

        // WHEN an operation that isn't idempotent is called
        const service_response response = setup.call("book", "k1");

        // THEN it was sent once, and a refusal states whether it may have run
        UNSIGNED_LONGS_EQUAL_TEXT(1, setup.sent(), test_case.name);
        CHECK_TEXT(response.refused.has_value() == test_case.refused.has_value(), test_case.name);
        if (response.refused) {
            CHECK_TEXT(response.refused->state == *test_case.refused, test_case.name);
        }
        // THEN the permit was returned or the outcome reported, never both
        const auto returned = setup.control.all_posted<permit_returned>();
        const auto ended = setup.control.all_posted<call_ended>();
        UNSIGNED_LONGS_EQUAL_TEXT(test_case.permit_returned ? 1 : 0, returned.size(),
                                  test_case.name);
        UNSIGNED_LONGS_EQUAL_TEXT(test_case.permit_returned ? 0 : 1, ended.size(), test_case.name);
        if (!ended.empty()) {
            CHECK_TEXT(ended[0].value.outcome.known == test_case.outcome_known, test_case.name);
            STRCMP_EQUAL_TEXT("p1", ended[0].value.permit.c_str(), test_case.name);
        }
        UNSIGNED_LONGS_EQUAL_TEXT(1, setup.control.all_posted<attempt_ended>().size(),
                                  test_case.name);
    }
}

TEST(service_call, another_upstream_is_tried_only_while_nothing_was_sent) {
    // GIVEN an expired grant, an upstream that has stopped, and one that responds
    fixture setup([](const request& r, const reply& s) { send_output(r, s, "booked"); });
    std::string unreachable_address;
    {
        const scripted_upstream stopped([](const request&, const reply&) {});
        unreachable_address = stopped.address();
    }
    setup.control.pools["booking"] = {
        {"u0", setup.first.address()}, {"u1", unreachable_address}, {"u2", setup.second.address()}};
    setup.control.windows = {0ms};

    // WHEN the call is made
    const service_response response = setup.call("book", "k1");

    // THEN it ran once, under a single permit
    STRCMP_EQUAL(R"({"output":"booked"})", response.body.c_str());
    UNSIGNED_LONGS_EQUAL(1, setup.sent());
    LONGS_EQUAL(1, setup.permits_requested);
    UNSIGNED_LONGS_EQUAL(3, setup.control.all_posted<attempt_ended>().size());
}

TEST(service_call, without_a_permit_nothing_is_sent) {
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
    for (const verdict_case& test_case : cases) {
        // GIVEN an owner that replies to the permit request as in this case
        fixture setup([](const request& r, const reply& s) { send_output(r, s, "booked"); });
        setup.control.on_permit = [&test_case](const permit_request&) {
            permit_reply permit;
            permit.verdict = test_case.verdict;
            permit.outcome = test_case.outcome;
            return permit;
        };

        // WHEN the call is made
        const service_response response = setup.call("book", "k1");

        // THEN nothing was sent, and the refusal has the right reason and execution state
        CHECK(response.refused->reason == test_case.reason);
        CHECK(response.refused->state == test_case.state);
        UNSIGNED_LONGS_EQUAL(0, setup.sent());
        LONGS_EQUAL(0, setup.control.granted);
    }
}

TEST(service_call, a_repeated_call_waits_for_the_first_and_gets_its_response) {
    // GIVEN a call that is running on another instance and completes later
    fixture setup([](const request& r, const reply& s) { send_output(r, s, "booked"); });
    int permit_requests = 0;
    setup.control.on_permit = [&permit_requests](const permit_request&) {
        permit_reply permit;
        permit.verdict = ++permit_requests < 3 ? permit_verdict::running : permit_verdict::done;
        permit.outcome = {true, 200, R"({"output":"first"})"};
        return permit;
    };

    // WHEN the call is repeated
    const service_response response = setup.call("book", "k1");

    // THEN it gets the response of the first call, and nothing was sent
    STRCMP_EQUAL(R"({"output":"first"})", response.body.c_str());
    UNSIGNED_LONGS_EQUAL(0, setup.sent());
}

TEST(service_call, a_call_without_a_key_is_refused) {
    fixture setup([](const request& r, const reply& s) { send_output(r, s, "booked"); });
    const service_response response = setup.call("book", "");
    CHECK(response.refused->reason == refusal_reason::key_required);
    CHECK(response.refused->state == execution::not_run);
    LONGS_EQUAL(0, setup.permits_requested);
}

TEST(service_call, an_idempotent_operation_is_retried_without_a_permit) {
    // GIVEN a service whose first call fails
    std::atomic<int> calls{0};
    fixture setup([&calls](const request& r, const reply& s) {
        if (++calls > 1) {
            send_output(r, s, "found");
        }
    });

    // WHEN an idempotent operation is called
    const service_response response = setup.call("look_up", "");

    // THEN it was retried
    STRCMP_EQUAL(R"({"output":"found"})", response.body.c_str());
    UNSIGNED_LONGS_EQUAL(2, setup.sent());
    LONGS_EQUAL(0, setup.permits_requested);
    LONGS_EQUAL(1, response.costs.at(0).repeats);
}
