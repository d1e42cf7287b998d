// Tests of the upstream protocol with connection and response faults on real sockets.
#include "testing/memory_probe.h"
#include "upstreams/internal/canceller.h"
#include "upstreams/tests/scripted_upstream.h"
#include "upstreams/upstream_client.h"

#include <algorithm>
#include <stdexcept>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

//! Collects the posted `attempt_ended` events.
struct posted_events {
    void add(const event& happened) {
        const std::lock_guard lock(mutex);
        if (const auto* ended = std::get_if<attempt_ended>(&happened)) {
            ends.push_back(*ended);
        }
    }

    std::vector<attempt_ended> all() {
        const std::lock_guard lock(mutex);
        return ends;
    }

    std::mutex mutex;
    std::vector<attempt_ended> ends;
};

upstream_client_settings quick_settings() {
    upstream_client_settings settings;
    settings.first_byte_timeout = 150ms;
    settings.stream_idle_timeout = 150ms;
    return settings;
}

attempt_call call_to(const std::string& address, pool_kind kind) {
    attempt_call call;
    call.attempt.value = "a1";
    call.request.value = "r1";
    call.stage.value = "s1";
    call.upstream.value = "u1";
    call.address = address;
    call.kind = kind;
    call.input = kind == pool_kind::service ? R"({"x":1})" : "hello";
    call.max_tokens = 16;
    call.start_before = boot_clock::now() + 5000ms;
    call.deadline = boot_clock::now() + 5000ms;
    return call;
}

struct ended_attempt {
    attempt_result result;
    std::vector<received_token> tokens;
};

ended_attempt run_call(upstream_client& client, posted_events& posted, attempt_call call) {
    attempt_group group(client);
    ended_attempt all;
    grant_guard guard([&posted](const event& happened) { posted.add(happened); }, call.attempt,
                      call.upstream);
    group.add(std::move(call), std::move(guard));
    for (;;) {
        for (attempt_update& update : group.wait(100ms)) {
            std::ranges::copy(update.tokens, std::back_inserter(all.tokens));
            if (update.end) {
                all.result = *update.end;
                return all;
            }
        }
    }
}

struct fault_case {
    const char* name;
    pool_kind kind;
    upstream_script script;
    attempt_outcome outcome;
    attempt_fault fault;
    std::size_t tokens;
};

using request = upstream_request;
using reply = reply_socket;

void stream_with(const request& incoming, const reply& to, std::initializer_list<int> indexes,
                 int count) {
    begin_stream(incoming, to);
    for (const int index : indexes) {
        send_token(incoming, to, index);
    }
    send_done(incoming, to, count);
    end_stream(to);
}

//! Sends an output that would be valid but for its status.
void send_status(const request& incoming, const reply& to, const std::string& status) {
    nlohmann::json body = echo_body(incoming);
    body["output"] = "x";
    body["execution"] = "not_run";
    const std::string text = body.dump();
    std::string head =
        answer_head(incoming, 200, "Content-Length: " + std::to_string(text.size()) + "\r\n");
    to.send(head.replace(head.find("200"), status.size(), status) + text);
}

void send_with_other_id(request incoming, const reply& to, const char* header) {
    incoming.headers[header] = "other";
    send_output(incoming, to, "x");
}

const std::vector<fault_case>& fault_cases() {
    using enum attempt_outcome;
    using f = attempt_fault;
    constexpr auto stage = pool_kind::stage;
    constexpr auto engine = pool_kind::engine;
    static const std::vector<fault_case> cases{
        {"valid output", stage, [](const request& r, const reply& s) { send_output(r, s, "out"); },
         ok, f::none, 0},
        {"valid stream", engine, [](const request& r, const reply& s) { stream_tokens(r, s, 4); },
         ok, f::none, 4},
        {"refused before execution", stage, send_not_run, refused, f::refused_not_run, 0},
        {"engine refused", engine, send_not_run, refused, f::refused_not_run, 0},
        {"503 without an execution field", stage,
         [](const request& r, const reply& s) { send_whole(r, s, 503, "{}"); }, failed,
         f::error_status, 0},
        {"500", stage, [](const request& r, const reply& s) { send_whole(r, s, 500, "{}"); },
         failed, f::error_status, 0},
        {"response of another request", stage,
         [](const request& r, const reply& s) { send_with_other_id(r, s, "x-request-id"); }, failed,
         f::misdirected, 0},
        {"response of another stage", stage,
         [](const request& r, const reply& s) { send_with_other_id(r, s, "x-stage"); }, failed,
         f::misdirected, 0},
        {"response of another attempt", stage,
         [](const request& r, const reply& s) { send_with_other_id(r, s, "x-attempt"); }, failed,
         f::misdirected, 0},
        {"valid headers, body of another request", stage,
         [](const request& r, const reply& s) {
             send_whole(r, s, 200, R"({"request":"r2","stage":"s1","attempt":"a1","output":"x"})");
         },
         failed, f::misdirected, 0},
        {"refusal of another attempt", stage,
         [](request r, const reply& s) {
             r.headers["x-attempt"] = "other";
             send_not_run(r, s);
         },
         failed, f::misdirected, 0},
        {"no JSON", stage, [](const request& r, const reply& s) { send_whole(r, s, 200, "<a>"); },
         failed, f::malformed, 0},
        {"no output", stage,
         [](const request& r, const reply& s) { send_whole(r, s, 200, echo_body(r).dump()); },
         failed, f::malformed, 0},
        {"token line of another request", engine,
         [](request r, const reply& s) {
             begin_stream(r, s);
             send_token(r, s, 0);
             r.headers["x-request-id"] = "other";
             send_token(r, s, 1);
         },
         failed, f::misdirected, 1},
        {"duplicate token", engine,
         [](const request& r, const reply& s) {
             stream_with(r, s, {0, 1, 1, 2}, 3);
         },
         failed, f::duplicate_token, 2},
        {"reordered tokens", engine,
         [](const request& r, const reply& s) {
             stream_with(r, s, {0, 2, 1}, 3);
         },
         failed, f::out_of_order, 1},
        {"missing first token", engine,
         [](const request& r, const reply& s) {
             stream_with(r, s, {1, 2}, 3);
         },
         failed, f::out_of_order, 0},
        {"fewer tokens than the done line counts", engine,
         [](const request& r, const reply& s) {
             stream_with(r, s, {0, 1}, 3);
         },
         failed, f::truncated, 2},
        {"no done line", engine,
         [](const request& r, const reply& s) {
             begin_stream(r, s);
             send_token(r, s, 0);
             end_stream(s);
         },
         failed, f::truncated, 1},
        {"token after the done line", engine,
         [](const request& r, const reply& s) {
             begin_stream(r, s);
             send_token(r, s, 0);
             send_done(r, s, 1);
             send_token(r, s, 1);
             end_stream(s);
         },
         failed, f::malformed, 1},
        {"closed in the stream", engine,
         [](const request& r, const reply& s) {
             begin_stream(r, s);
             send_token(r, s, 0);
         },
         died, f::connection_lost, 1},
        {"closed in the body", stage,
         [](const request& r, const reply& s) {
             s.send(answer_head(r, 200, "Content-Length: 100\r\n") + "{");
         },
         died, f::connection_lost, 0},
        {"closed in a body without a length", stage,
         [](const request& r, const reply& s) {
             s.send(answer_head(r, 200, "") + echo_body(r).dump().substr(0, 20));
         },
         failed, f::malformed, 0},
        {"reset in a body without a length", stage,
         [](const request& r, const reply& s) {
             s.send(answer_head(r, 200, "") + echo_body(r).dump().substr(0, 20));
             std::this_thread::sleep_for(50ms);
             s.reset();
         },
         died, f::connection_lost, 0},
        {"closed without a response", stage, [](const request&, const reply&) {}, died,
         f::connection_lost, 0},
        {"reset", stage, [](const request&, const reply& s) { s.reset(); }, died,
         f::connection_lost, 0},
        {"not HTTP", stage, [](const request&, const reply& s) { s.send("hello\r\n\r\n"); }, died,
         f::connection_lost, 0},
        {"interim response before a valid output", stage,
         [](const request& r, const reply& s) {
             s.send("HTTP/1.1 103 Early Hints\r\n\r\n");
             send_output(r, s, "out");
         },
         ok, f::none, 0},
        {"status 000", stage, [](const request& r, const reply& s) { send_status(r, s, "000"); },
         died, f::connection_lost, 0},
        {"status 099", stage, [](const request& r, const reply& s) { send_status(r, s, "099"); },
         died, f::connection_lost, 0},
        {"status 600", stage, [](const request& r, const reply& s) { send_status(r, s, "600"); },
         died, f::connection_lost, 0},
        {"status 999", stage, [](const request& r, const reply& s) { send_status(r, s, "999"); },
         died, f::connection_lost, 0},
        {"status 000 of an engine", engine,
         [](const request& r, const reply& s) { send_status(r, s, "000"); }, died,
         f::connection_lost, 0},
        {"status 999 of an engine", engine,
         [](const request& r, const reply& s) { send_status(r, s, "999"); }, died,
         f::connection_lost, 0},
        {"an interim response as the last word", stage,
         [](const request&, const reply& s) { s.send("HTTP/1.1 199 X\r\n\r\n"); }, died,
         f::connection_lost, 0},
        {"silent from the start", stage, [](const request&, const reply& s) { s.stay_silent(); },
         timed_out, f::stalled, 0},
        {"silent in the stream", engine,
         [](const request& r, const reply& s) {
             begin_stream(r, s);
             send_token(r, s, 0);
             s.stay_silent();
         },
         timed_out, f::stalled, 1},
    };
    return cases;
}

}  // namespace

TEST_GROUP(upstream_client) {
    posted_events posted;
    std::unique_ptr<upstream_client> client =
        std::move(upstream_client::start(quick_settings()).value());

    void restart(upstream_client_settings settings) {
        client.reset();
        client = std::move(upstream_client::start(settings).value());
    }
};

TEST(upstream_client, accepts_only_complete_responses_to_the_same_attempt) {
    for (const fault_case& test_case : fault_cases()) {
        // GIVEN an upstream with the response of this case
        scripted_upstream upstream(test_case.script);
        posted.ends.clear();

        // WHEN it is called
        const ended_attempt ended =
            run_call(*client, posted, call_to(upstream.address(), test_case.kind));

        // THEN the attempt ends with the expected fault, outcome and tokens
        STRCMP_EQUAL_TEXT(name_of(test_case.fault), name_of(ended.result.fault), test_case.name);
        CHECK_TEXT(test_case.outcome == ended.result.outcome, test_case.name);
        CHECK_TEXT(ended.result.sent, test_case.name);
        UNSIGNED_LONGS_EQUAL_TEXT(test_case.tokens, ended.tokens.size(), test_case.name);
        // THEN exactly one attempt_ended is posted, with the same outcome
        restart(quick_settings());
        UNSIGNED_LONGS_EQUAL_TEXT(1, posted.all().size(), test_case.name);
        CHECK_TEXT(test_case.outcome == posted.all().front().outcome, test_case.name);
    }
}

// Guards against an upstream whose bytes take the memory of the process, and with it all requests.
TEST(upstream_client, a_response_without_end_takes_little_memory) {
    const std::string zeros(std::size_t{64} * 1024, '0');
    const std::string nested(std::size_t{3} * 1024 * 1024, '[');
    const auto endless = [&](const std::string& begin, const std::string& bytes) {
        return [&, begin, bytes](const request& r, const reply& s) {
            s.send("HTTP/1.1 200 OK\r\n" + begin);
            s.send_endlessly(bytes);
            (void)r;
        };
    };
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

    struct endless_case {
        const char* name;
        upstream_script script;
    };

    const endless_case cases[] = {
        {"a header", endless("x: ", zeros)},
        {"many headers", endless("", "a: b\r\n")},
        {"a chunk's size", endless(chunked, zeros)},
        {"a chunk's extension", endless(chunked + "5;", zeros)},
        {"a trailer", endless(chunked + "0\r\nx: ", zeros)},
        {"a body", endless("\r\n", zeros)},
        {"a nested body",
         [&](const request& r, const reply& s) {
             s.send(
                 answer_head(r, 200, "Content-Length: " + std::to_string(nested.size()) + "\r\n"));
             s.send(nested);
         }},
    };
    constexpr std::size_t max_growth = std::size_t{24} * 1024 * 1024;
    for (const endless_case& test_case : cases) {
        // GIVEN an upstream with the response of this case
        scripted_upstream upstream(test_case.script);
        attempt_call call = call_to(upstream.address(), pool_kind::stage);
        call.deadline = boot_clock::now() + 1500ms;
        const memory_probe memory;

        // WHEN it is called
        const ended_attempt ended = run_call(*client, posted, call);

        // THEN the attempt fails, and little was kept
        CHECK_TEXT(ended.result.outcome != attempt_outcome::ok, test_case.name);
        CHECK_TEXT(memory.growth() < max_growth, test_case.name);
    }
}

TEST(upstream_client, sends_nothing_after_the_start_window) {
    // GIVEN an attempt whose start window has passed
    scripted_upstream upstream([](const request& r, const reply& s) { send_output(r, s, "out"); });
    attempt_call late = call_to(upstream.address(), pool_kind::stage);
    late.start_before = boot_clock::now();

    // WHEN it is started
    const ended_attempt ended = run_call(*client, posted, late);

    // THEN nothing was sent, and the attempt counts as not started
    CHECK(ended.result.outcome == attempt_outcome::not_started);
    CHECK_FALSE(ended.result.sent);
    UNSIGNED_LONGS_EQUAL(0, upstream.requests().size());
    CHECK(posted.all().at(0).outcome == attempt_outcome::not_started);
}

TEST(upstream_client, connection_refused_counts_as_refused_and_not_sent) {
    // GIVEN an address without a listener
    std::string address;
    {
        scripted_upstream gone([](const request&, const reply&) {});
        address = gone.address();
    }

    // WHEN it is called
    const ended_attempt ended = run_call(*client, posted, call_to(address, pool_kind::stage));

    // THEN the outcome states that nothing was executed
    CHECK(ended.result.outcome == attempt_outcome::refused);
    CHECK(ended.result.fault == attempt_fault::connect_failed);
    CHECK_FALSE(ended.result.sent);
}

TEST(upstream_client, transmits_identity_deadline_and_load) {
    // GIVEN an upstream
    scripted_upstream upstream([](const request& r, const reply& s) { send_output(r, s, "out"); });
    attempt_call call = call_to(upstream.address(), pool_kind::service);
    call.stage.value = "book";
    call.key.value = "k1";

    // WHEN a service is called
    const ended_attempt ended = run_call(*client, posted, call);

    // THEN the upstream received the expected path, headers and the unchanged body
    const request got = upstream.requests().at(0);
    STRCMP_EQUAL("/v1/call/book", got.path.c_str());
    STRCMP_EQUAL("k1", got.headers.at("idempotency-key").c_str());
    STRCMP_EQUAL(R"({"x":1})", got.body.c_str());
    const int left = std::stoi(got.headers.at("x-deadline-ms"));
    CHECK(left > 0 && left <= 5000);
    // THEN the time to the first byte is reported, which the timing of hedges depends on
    CHECK(posted.all().at(0).first_token > 0ms);
    // THEN the load report of the response was parsed
    STRCMP_EQUAL("u1", ended.result.report.upstream.value.c_str());
    CHECK(ended.result.report.condition == upstream_condition::warm);
    LONGS_EQUAL(8, ended.result.report.capacity);
}

TEST(upstream_client, cancelled_attempt_is_cancelled_at_its_upstream) {
    // GIVEN a stream that stays open after its first token
    scripted_upstream upstream([](const request& r, const reply& s) {
        begin_stream(r, s);
        send_token(r, s, 0);
        s.stay_silent();
    });
    {
        attempt_group group(*client);
        attempt_call call = call_to(upstream.address(), pool_kind::engine);
        group.add(call, grant_guard([this](const event& e) { posted.add(e); }, call.attempt,
                                    call.upstream));
        while (group.wait(100ms).empty()) {}

        // WHEN it is cancelled
        group.cancel(call.attempt);
        LONGS_EQUAL(0, group.running());
    }
    while (posted.all().empty()) {
        std::this_thread::sleep_for(5ms);
    }

    // THEN attempt_ended was posted only after the upstream had received the cancel request
    LONGS_EQUAL(1, upstream.cancels());
    CHECK(posted.all().at(0).outcome == attempt_outcome::cancelled);
}

TEST(upstream_client, non_idempotent_call_waits_for_its_deadline) {
    // GIVEN a service that never responds, and a non-idempotent call
    scripted_upstream upstream([](const request&, const reply& s) { s.stay_silent(); });
    attempt_call call = call_to(upstream.address(), pool_kind::service);
    call.key.value = "k1";
    call.deadline = boot_clock::now() + 400ms;

    // WHEN it is made
    const ended_attempt ended = run_call(*client, posted, call);

    // THEN it ends at the deadline, was sent once and wasn't cancelled
    CHECK(ended.result.fault == attempt_fault::deadline_passed);
    restart(quick_settings());
    UNSIGNED_LONGS_EQUAL(1, upstream.requests().size());
    LONGS_EQUAL(0, upstream.cancels());
}

TEST(upstream_client, libcurl_does_not_resend_an_attempt) {
    // GIVEN an upstream that keeps connections open and closes one on its second request
    scripted_upstream upstream(
        [](const request& r, const reply& s) {
            if (r.number_on_connection == 0) {
                send_output(r, s, "out");
            }
        },
        true);
    const ended_attempt first =
        run_call(*client, posted, call_to(upstream.address(), pool_kind::stage));
    CHECK(first.result.outcome == attempt_outcome::ok);

    // WHEN a second attempt reuses the connection
    const ended_attempt second =
        run_call(*client, posted, call_to(upstream.address(), pool_kind::stage));

    // THEN it was sent once and ends as died; a retry is up to the pipeline
    CHECK(second.result.outcome == attempt_outcome::died);
    UNSIGNED_LONGS_EQUAL(2, upstream.requests().size());
    LONGS_EQUAL(1, upstream.requests()[1].number_on_connection);
}

// Guards against a process that ends because one cancel request can't be written.
TEST(upstream_client, an_exception_in_one_cancel_request_does_not_prevent_the_next) {
    // GIVEN a cancel request whose ID can't be encoded as JSON
    scripted_upstream upstream([](const upstream_request&, const reply_socket&) {});
    const auto cancel_of = [&](const std::string& request) {
        const auto post = [this](const event& happened) { posted.add(happened); };
        return detail::cancel_request{upstream.address(),
                                      {request},
                                      {"a-" + request},
                                      boot_clock::now() + 5000ms,
                                      grant_guard(post, {"a-" + request}, {"u1"})};
    };
    {
        detail::canceller canceller(1000ms);
        canceller.enqueue(cancel_of("\xff"));
        // WHEN another one is queued
        canceller.enqueue(cancel_of("r1"));
    }
    // THEN it is sent, and both attempts have ended
    LONGS_EQUAL(1, upstream.cancels());
    LONGS_EQUAL(2, posted.all().size());
}

// Guards against a process that ends because the end of one attempt can't be posted.
TEST(upstream_client, an_exception_while_an_end_is_posted_stays_in_the_guard) {
    // GIVEN a guard whose event can't be posted
    int posts = 0;
    {
        const grant_guard guard(
            [&posts](const event&) {
                ++posts;
                throw std::runtime_error("unexpected field");
            },
            {"a1"}, {"u1"});
        // WHEN it is destroyed
    }
    // THEN it has tried once, and the test goes on
    LONGS_EQUAL(1, posts);
}
