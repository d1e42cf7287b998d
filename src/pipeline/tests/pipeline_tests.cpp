// Tests of pipeline runs whose upstreams fail; the control loop is a fake.
#include "pipeline/pipeline.h"
#include "pipeline/tests/fake_control.h"
#include "upstreams/tests/scripted_upstream.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

using request = upstream_request;
using reply = reply_socket;

constexpr int token_count = 6;

void respond_normally(const request& received, const reply& to) {
    if (received.path == "/v1/generate") {
        stream_tokens(received, to, token_count);
    } else {
        send_output(received, to, "found");
    }
}

void start_stream_with(const request& received, const reply& to,
                       std::initializer_list<int> indexes) {
    begin_stream(received, to);
    for (const int index : indexes) {
        send_token(received, to, resume_from(received) + index);
    }
}

topology two_stages() {
    topology known;
    known.pools[{"finder"}].name.value = "finder";
    known.pools[{"engine"}].name.value = "engine";
    known.pools[{"engine"}].kind = pool_kind::engine;
    pipeline_settings& menu = known.pipelines[{"menu"}];
    menu.name.value = "menu";
    menu.stages = {{{"find"}, {"finder"}}, {{"write"}, {"engine"}}};
    return known;
}

upstream_client_settings short_timeouts() {
    upstream_client_settings settings;
    settings.first_byte_timeout = 200ms;
    settings.stream_idle_timeout = 200ms;
    return settings;
}

//! One finder and two engines; the engines follow the given scripts.
struct fixture {
    explicit fixture(upstream_script of_first, upstream_script of_second = respond_normally)
        : first(std::move(of_first)), second(std::move(of_second)), finder(respond_normally) {
        control.pools["finder"] = {{"f1", finder.address()}};
        control.pools["engine"] = {{"e1", first.address()}, {"e2", second.address(), "z2"}};
    }

    run_result run(milliseconds deadline = 8000ms, std::vector<finished_stage> finished = {}) {
        const control_client client = control.client();
        const run_environment env{client, *upstreams, budget, known, {"z1"}};
        admitted_request admitted;
        admitted.request.value = "r1";
        admitted.workspace.value = "w1";
        admitted.key.value = "k1";
        admitted.deadline = boot_clock::now() + deadline;
        const pipeline_input input{"dish", 16, std::move(finished)};
        return run_pipeline(env, known.pipelines.at({"menu"}), admitted, input, sink);
    }

    //! Concatenated texts of all token frames.
    std::string texts() {
        std::string all;
        for (const std::string& frame : sink.read(0, SIZE_MAX).frames) {
            all += nlohmann::json::parse(frame).value("token", "");
        }
        return all;
    }

    nlohmann::json last_frame() {
        return nlohmann::json::parse(sink.read(0, SIZE_MAX).frames.back());
    }

    //! Waits until all cancel requests to upstreams have completed.
    void wait_for_cancels() {
        upstreams.reset();
    }

    topology known = two_stages();
    fake_control control;
    scripted_upstream first;
    scripted_upstream second;
    scripted_upstream finder;
    retry_budget budget{{}};
    response_stream sink{{"r1"}, {"b1"}};
    std::unique_ptr<upstream_client> upstreams =
        std::move(upstream_client::start(short_timeouts()).value());
};

void check_complete(fixture& setup, const char* name) {
    STRCMP_EQUAL_TEXT("t0 t1 t2 t3 t4 t5 ", setup.texts().c_str(), name);
    CHECK_TEXT(setup.last_frame().value("final", false), name);
    LONGS_EQUAL_TEXT(token_count, setup.last_frame().value("count", 0), name);
    STRCMP_EQUAL_TEXT(digest_of("t0 t1 t2 t3 t4 t5 ").c_str(),
                      setup.last_frame().value("digest", "").c_str(), name);
}

void check_each_grant_ended_once(fixture& setup, const char* name) {
    setup.wait_for_cancels();
    std::map<attempt_id, int> ends;
    for (const attempt_ended& ended : setup.control.all_posted<attempt_ended>()) {
        ends[ended.attempt] += 1;
    }
    UNSIGNED_LONGS_EQUAL_TEXT(setup.control.granted, ends.size(), name);
    for (const auto& [attempt, times] : ends) {
        LONGS_EQUAL_TEXT(1, times, name);
    }
}

struct broken_engine {
    const char* name;
    upstream_script script;
};

const std::vector<broken_engine>& broken_engines() {
    static const std::vector<broken_engine> cases{
        {"refuses", send_not_run},
        {"fails", [](const request& r, const reply& s) { send_whole(r, s, 500, "{}"); }},
        {"closes", [](const request&, const reply&) {}},
        {"resets after two tokens",
         [](const request& r, const reply& s) {
             start_stream_with(r, s, {0, 1});
             s.reset();
         }},
        {"closes after all tokens",
         [](const request& r, const reply& s) {
             start_stream_with(r, s, {0, 1, 2, 3, 4, 5});
         }},
        {"ends without a done line",
         [](const request& r, const reply& s) {
             start_stream_with(r, s, {0, 1, 2});
             end_stream(s);
         }},
        {"sends fewer tokens than its done line states",
         [](const request& r, const reply& s) {
             start_stream_with(r, s, {0, 1, 2});
             send_done(r, s, 9);
             end_stream(s);
         }},
        {"repeats a token",
         [](const request& r, const reply& s) {
             start_stream_with(r, s, {0, 1, 1, 2, 3});
             s.stay_silent();
         }},
        {"swaps tokens",
         [](const request& r, const reply& s) {
             start_stream_with(r, s, {0, 2, 1, 3});
             s.stay_silent();
         }},
        {"mixes in a token of another request",
         [](request r, const reply& s) {
             start_stream_with(r, s, {0});
             r.headers["x-request-id"] = "other";
             send_token(r, s, 1);
             s.stay_silent();
         }},
        {"is silent", [](const request&, const reply& s) { s.stay_silent(); }},
        {"falls silent after two tokens",
         [](const request& r, const reply& s) {
             start_stream_with(r, s, {0, 1});
             s.stay_silent();
         }},
    };
    return cases;
}

}  // namespace

TEST_GROUP(pipeline){};

TEST(pipeline, a_broken_stream_is_resumed_without_lost_or_duplicate_tokens) {
    for (const broken_engine& fault : broken_engines()) {
        // GIVEN a first engine with this fault and a second without one
        fixture setup(fault.script);

        // WHEN a request runs
        const run_result ended = setup.run();

        // THEN the response is complete, and every grant ended exactly once
        CHECK_TEXT(!ended.refused, fault.name);
        check_complete(setup, fault.name);
        LONGS_EQUAL_TEXT(2, ended.costs.at(1).attempts, fault.name);
        LONGS_EQUAL_TEXT(1, ended.costs.at(1).repeats, fault.name);
        CHECK_TEXT(ended.costs.at(1).other_zone, fault.name);
        check_each_grant_ended_once(setup, fault.name);
    }
}

TEST(pipeline, a_cancelled_attempt_continues_at_another_upstream_without_losing_tokens) {
    // GIVEN an engine that stalls after two tokens, and a control loop that cancels its attempt
    fixture setup([](const request& r, const reply& s) {
        start_stream_with(r, s, {0, 1});
        s.stay_silent();
    });
    setup.control.cancelled = {"e1"};

    // WHEN a request runs
    const run_result ended = setup.run();

    // THEN it continued at the other engine and took nothing from the retry budget
    CHECK(!ended.refused);
    check_complete(setup, "moved");
    LONGS_EQUAL(0, ended.costs.at(1).repeats);
    check_each_grant_ended_once(setup, "moved");
    LONGS_EQUAL(1, setup.first.cancels());
}

TEST(pipeline, a_slow_first_byte_is_hedged_and_the_slower_attempt_cancelled) {
    // GIVEN an engine that is slower than its pool's expected time to the first byte
    fixture setup([](const request&, const reply& s) { s.stay_silent(); });
    setup.control.expected_first_byte = 20ms;

    // WHEN a request runs
    const run_result ended = setup.run();

    // THEN the hedge's result is used, and the time of the first attempt counts as wasted
    check_complete(setup, "hedged");
    LONGS_EQUAL(1, ended.costs.at(1).hedges);
    LONGS_EQUAL(0, ended.costs.at(1).repeats);
    CHECK(ended.costs.at(1).wasted > 0ms);
    check_each_grant_ended_once(setup, "hedged");
    LONGS_EQUAL(1, setup.first.cancels());
}

TEST(pipeline, a_stalled_stream_is_hedged_from_the_tokens_already_sent) {
    // GIVEN an engine that stalls after two tokens, for less than the stream's timeout
    fixture setup([](const request& r, const reply& s) {
        start_stream_with(r, s, {0, 1});
        s.stay_silent();
    });
    upstream_client_settings long_timeout;
    long_timeout.stream_idle_timeout = 60000ms;
    setup.upstreams = std::move(upstream_client::start(long_timeout).value());
    setup.control.expected_first_byte = 20ms;

    // WHEN a request runs
    const run_result ended = setup.run();

    // THEN the hedge resumed after the last token received
    check_complete(setup, "stalled");
    LONGS_EQUAL(1, ended.costs.at(1).hedges);
    LONGS_EQUAL(2, resume_from(setup.second.requests().at(0)));
    check_each_grant_ended_once(setup, "stalled");
}

TEST(pipeline, retries_stop_when_the_budget_is_used_up) {
    // GIVEN a pool that always fails, and a retry budget of three tokens
    const upstream_script fail = [](const request&, const reply&) {};
    fixture setup(fail, fail);
    retry_budget_settings small;
    small.capacity = 3;
    small.refill_per_second = 0;
    small.per_request = 0;
    retry_budget budget(small);
    const control_client client = setup.control.client();
    const run_environment env{client, *setup.upstreams, budget, setup.known, {"z1"}};
    admitted_request admitted;
    admitted.request.value = "r1";
    admitted.deadline = boot_clock::now() + 8000ms;

    // WHEN a request runs
    const run_result ended = run_pipeline(env, setup.known.pipelines.at({"menu"}), admitted,
                                          {"dish", 16, {}}, setup.sink);

    // THEN it fails after the first attempt and three retries
    CHECK(ended.refused->reason == refusal_reason::upstream_failed);
    CHECK(ended.refused->state == execution::ran);
    LONGS_EQUAL(4, ended.costs.at(1).attempts);
    UNSIGNED_LONGS_EQUAL(4, setup.first.requests().size() + setup.second.requests().size());
    check_each_grant_ended_once(setup, "budget");
}

TEST(pipeline, a_grant_whose_start_window_has_passed_sends_nothing_and_is_requested_again) {
    // GIVEN a first grant whose start window has passed before it can be used
    fixture setup(respond_normally);
    setup.control.windows = {0ms};

    // WHEN a request runs
    const run_result ended = setup.run();

    // THEN that grant ended as not started, and the response is complete
    check_complete(setup, "late grant");
    const auto ends = setup.control.all_posted<attempt_ended>();
    LONGS_EQUAL(1, std::ranges::count(ends, attempt_outcome::not_started, &attempt_ended::outcome));
    UNSIGNED_LONGS_EQUAL(1, setup.finder.requests().size());
    LONGS_EQUAL(0, ended.costs.at(0).repeats);
}

TEST(pipeline, the_deadline_ends_the_response_with_an_error_frame) {
    // GIVEN engines that stall after two tokens
    const upstream_script stop = [](const request& r, const reply& s) {
        start_stream_with(r, s, {0, 1});
        s.stay_silent();
    };
    fixture setup(stop, stop);

    // WHEN a request with a short deadline runs
    const run_result ended = setup.run(150ms);

    // THEN the frames end with the refusal, and the work is cancelled
    CHECK(ended.refused->reason == refusal_reason::deadline_exceeded);
    CHECK(ended.refused->state == execution::ran);
    STRCMP_EQUAL("t0 t1 ", setup.texts().c_str());
    STRCMP_EQUAL("deadline_exceeded", setup.last_frame().at("error").value("reason", "").c_str());
    check_each_grant_ended_once(setup, "deadline");
}

TEST(pipeline, not_run_is_reported_only_if_nothing_was_sent) {
    // GIVEN no upstream for the first stage
    fixture setup(respond_normally);
    setup.control.pools["finder"].clear();

    // WHEN a request runs
    const run_result ended = setup.run();

    // THEN it was not run, and the engine received no request
    CHECK(ended.refused->reason == refusal_reason::no_upstream);
    CHECK(ended.refused->state == execution::not_run);
    UNSIGNED_LONGS_EQUAL(0, setup.first.requests().size());

    // GIVEN a first stage that completes and no upstream for the second
    fixture other(respond_normally);
    other.control.pools["engine"].clear();

    // WHEN a request runs THEN it is reported as run
    CHECK(other.run().refused->state == execution::ran);
}

TEST(pipeline, finished_stages_are_reported_and_reused) {
    // GIVEN a completed request with an idempotency key
    fixture setup(respond_normally);
    setup.run();
    const auto reported = setup.control.all_posted<stage_finished>();
    UNSIGNED_LONGS_EQUAL(1, reported.size());
    STRCMP_EQUAL("found", reported[0].value.stage.output.c_str());

    // WHEN it runs again with the reported stage output
    fixture again(respond_normally);
    again.run(8000ms, {reported[0].value.stage});

    // THEN only the last stage ran
    check_complete(again, "reused");
    UNSIGNED_LONGS_EQUAL(0, again.finder.requests().size());
}
