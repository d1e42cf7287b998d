// One request under faults of its upstreams; the control side is a fake.
#include "pipeline/pipeline.h"
#include "pipeline/tests/fake_control.h"
#include "upstreams/tests/scripted_upstream.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

using request = upstream_request;
using reply = reply_socket;

constexpr int all_tokens = 6;

void answer_rightly(const request& asked, const reply& to) {
    if (asked.path == "/v1/generate") {
        stream_tokens(asked, to, all_tokens);
    } else {
        send_output(asked, to, "found");
    }
}

void begin_with(const request& asked, const reply& to, std::initializer_list<int> indexes) {
    begin_stream(asked, to);
    for (const int index : indexes) {
        send_token(asked, to, resume_from(asked) + index);
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

upstream_client_settings quick_settings() {
    upstream_client_settings settings;
    settings.first_byte_silence = 200ms;
    settings.stream_silence = 200ms;
    return settings;
}

//! Two upstreams a pool; the first engine follows a script.
struct bench {
    explicit bench(upstream_script of_first, upstream_script of_second = answer_rightly)
        : first(std::move(of_first)), second(std::move(of_second)), finder(answer_rightly) {
        control.pools["finder"] = {{"f1", finder.address()}};
        control.pools["engine"] = {{"e1", first.address()}, {"e2", second.address(), "z2"}};
    }

    run_result run(milliseconds deadline = 8000ms, std::vector<finished_stage> finished = {}) {
        const control_client client = control.client();
        const run_environment env{client, *upstreams, budget, known, {"z1"}};
        admitted_request asked;
        asked.request.value = "r1";
        asked.workspace.value = "w1";
        asked.key.value = "k1";
        asked.deadline = boot_clock::now() + deadline;
        const pipeline_input input{"dish", 16, std::move(finished)};
        return run_pipeline(env, known.pipelines.at({"menu"}), asked, input, sink);
    }

    //! Texts of all token frames.
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

    //! Waits for the cancel orders that are under way.
    void settle() {
        upstreams.reset();
    }

    topology known = two_stages();
    fake_control control;
    scripted_upstream first;
    scripted_upstream second;
    scripted_upstream finder;
    retry_budget budget{{}};
    answer sink{{"r1"}, {"b1"}};
    std::unique_ptr<upstream_client> upstreams =
        std::move(upstream_client::start(quick_settings()).value());
};

void check_whole(bench& one, const char* name) {
    STRCMP_EQUAL_TEXT("t0 t1 t2 t3 t4 t5 ", one.texts().c_str(), name);
    CHECK_TEXT(one.last_frame().value("final", false), name);
    LONGS_EQUAL_TEXT(all_tokens, one.last_frame().value("count", 0), name);
    STRCMP_EQUAL_TEXT(digest_of("t0 t1 t2 t3 t4 t5 ").c_str(),
                      one.last_frame().value("digest", "").c_str(), name);
}

void check_each_grant_ended_once(bench& one, const char* name) {
    one.settle();
    std::map<attempt_id, int> ends;
    for (const attempt_ended& ended : one.control.all_posted<attempt_ended>()) {
        ends[ended.attempt] += 1;
    }
    UNSIGNED_LONGS_EQUAL_TEXT(one.control.granted, ends.size(), name);
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
             begin_with(r, s, {0, 1});
             s.reset();
         }},
        {"closes after all tokens",
         [](const request& r, const reply& s) {
             begin_with(r, s, {0, 1, 2, 3, 4, 5});
         }},
        {"ends without a done line",
         [](const request& r, const reply& s) {
             begin_with(r, s, {0, 1, 2});
             end_stream(s);
         }},
        {"tells fewer tokens than it should",
         [](const request& r, const reply& s) {
             begin_with(r, s, {0, 1, 2});
             send_done(r, s, 9);
             end_stream(s);
         }},
        {"repeats a token",
         [](const request& r, const reply& s) {
             begin_with(r, s, {0, 1, 1, 2, 3});
             s.stay_silent();
         }},
        {"swaps tokens",
         [](const request& r, const reply& s) {
             begin_with(r, s, {0, 2, 1, 3});
             s.stay_silent();
         }},
        {"mixes in another's token",
         [](request r, const reply& s) {
             begin_with(r, s, {0});
             r.headers["x-request-id"] = "other";
             send_token(r, s, 1);
             s.stay_silent();
         }},
        {"is silent", [](const request&, const reply& s) { s.stay_silent(); }},
        {"falls silent after two tokens",
         [](const request& r, const reply& s) {
             begin_with(r, s, {0, 1});
             s.stay_silent();
         }},
    };
    return cases;
}

}  // namespace

TEST_GROUP(pipeline){};

TEST(pipeline, a_broken_stream_is_resumed_without_a_lost_or_doubled_token) {
    for (const broken_engine& fault : broken_engines()) {
        // GIVEN a first engine that is broken so, and a second that isn't
        bench one(fault.script);

        // WHEN a request runs
        const run_result ended = one.run();

        // THEN its answer is whole, and every grant ended once
        CHECK_TEXT(!ended.refused, fault.name);
        check_whole(one, fault.name);
        LONGS_EQUAL_TEXT(2, ended.costs.at(1).attempts, fault.name);
        LONGS_EQUAL_TEXT(1, ended.costs.at(1).repeats, fault.name);
        CHECK_TEXT(ended.costs.at(1).other_zone, fault.name);
        check_each_grant_ended_once(one, fault.name);
    }
}

TEST(pipeline, a_cancelled_attempt_goes_on_elsewhere_without_losing_tokens) {
    // GIVEN an engine that stops after two tokens, and a home that wants its attempt ended
    bench one([](const request& r, const reply& s) {
        begin_with(r, s, {0, 1});
        s.stay_silent();
    });
    one.control.cancelled = {"e1"};

    // WHEN a request runs
    const run_result ended = one.run();

    // THEN it was moved, at no cost to the budget of repeats
    CHECK(!ended.refused);
    check_whole(one, "moved");
    LONGS_EQUAL(0, ended.costs.at(1).repeats);
    check_each_grant_ended_once(one, "moved");
    LONGS_EQUAL(1, one.first.cancels());
}

TEST(pipeline, a_slow_first_byte_is_hedged_and_the_loser_cancelled) {
    // GIVEN an engine slower than its pool's usual first byte
    bench one([](const request&, const reply& s) { s.stay_silent(); });
    one.control.expected_first_byte = 20ms;

    // WHEN a request runs
    const run_result ended = one.run();

    // THEN the hedge won, and the loser's time counts as wasted
    check_whole(one, "hedged");
    LONGS_EQUAL(1, ended.costs.at(1).hedges);
    LONGS_EQUAL(0, ended.costs.at(1).repeats);
    CHECK(ended.costs.at(1).wasted > 0ms);
    check_each_grant_ended_once(one, "hedged");
    LONGS_EQUAL(1, one.first.cancels());
}

TEST(pipeline, repeats_end_with_the_budget) {
    // GIVEN a pool that always fails, and a budget for three repeats
    const upstream_script fail = [](const request&, const reply&) {};
    bench one(fail, fail);
    retry_budget_settings small;
    small.most = 3;
    small.floor_per_second = 0;
    small.per_request = 0;
    retry_budget budget(small);
    const control_client client = one.control.client();
    const run_environment env{client, *one.upstreams, budget, one.known, {"z1"}};
    admitted_request asked;
    asked.request.value = "r1";
    asked.deadline = boot_clock::now() + 8000ms;

    // WHEN a request runs
    const run_result ended =
        run_pipeline(env, one.known.pipelines.at({"menu"}), asked, {"dish", 16, {}}, one.sink);

    // THEN it ends honestly after the first attempt and three repeats
    CHECK(ended.refused->reason == refusal_reason::upstream_failed);
    CHECK(ended.refused->state == execution::ran);
    LONGS_EQUAL(4, ended.costs.at(1).attempts);
    UNSIGNED_LONGS_EQUAL(4, one.first.requests().size() + one.second.requests().size());
    check_each_grant_ended_once(one, "budget");
}

TEST(pipeline, a_grant_used_too_late_sends_nothing_and_is_asked_anew) {
    // GIVEN a first grant whose window has passed before it can be used
    bench one(answer_rightly);
    one.control.windows = {0ms};

    // WHEN a request runs
    const run_result ended = one.run();

    // THEN that grant ended as not started, and the answer is whole
    check_whole(one, "late grant");
    const auto ends = one.control.all_posted<attempt_ended>();
    LONGS_EQUAL(1, std::ranges::count(ends, attempt_outcome::not_started, &attempt_ended::outcome));
    UNSIGNED_LONGS_EQUAL(1, one.finder.requests().size());
    LONGS_EQUAL(0, ended.costs.at(0).repeats);
}

TEST(pipeline, the_deadline_ends_the_answer_with_an_error_frame) {
    // GIVEN engines that stop in the middle
    const upstream_script stop = [](const request& r, const reply& s) {
        begin_with(r, s, {0, 1});
        s.stay_silent();
    };
    bench one(stop, stop);

    // WHEN a request with a short deadline runs
    const run_result ended = one.run(150ms);

    // THEN the frames end with the refusal, and the work is cancelled
    CHECK(ended.refused->reason == refusal_reason::deadline_exceeded);
    CHECK(ended.refused->state == execution::ran);
    STRCMP_EQUAL("t0 t1 ", one.texts().c_str());
    STRCMP_EQUAL("deadline_exceeded", one.last_frame().at("error").value("reason", "").c_str());
    check_each_grant_ended_once(one, "deadline");
}

TEST(pipeline, not_run_is_said_only_if_nothing_was_sent) {
    // GIVEN no upstream for the first stage
    bench one(answer_rightly);
    one.control.pools["finder"].clear();

    // WHEN a request runs
    const run_result ended = one.run();

    // THEN it wasn't run, and no stage heard of it
    CHECK(ended.refused->reason == refusal_reason::no_upstream);
    CHECK(ended.refused->state == execution::not_run);
    UNSIGNED_LONGS_EQUAL(0, one.first.requests().size());

    // GIVEN a first stage that answers and no upstream for the second
    bench other(answer_rightly);
    other.control.pools["engine"].clear();

    // WHEN a request runs THEN it ran in part
    CHECK(other.run().refused->state == execution::ran);
}

TEST(pipeline, finished_stages_are_told_and_reused) {
    // GIVEN a keyed request that ran
    bench one(answer_rightly);
    one.run();
    const auto told = one.control.all_posted<stage_finished>();
    UNSIGNED_LONGS_EQUAL(1, told.size());
    STRCMP_EQUAL("found", told[0].value.stage.output.c_str());

    // WHEN it runs again with what was told
    bench again(answer_rightly);
    again.run(8000ms, {told[0].value.stage});

    // THEN only the last stage ran
    check_whole(again, "reused");
    UNSIGNED_LONGS_EQUAL(0, again.finder.requests().size());
}
