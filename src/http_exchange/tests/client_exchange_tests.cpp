//! Exchanges with servers that respond before they have read a long request.
#include "http_exchange/client_exchange.h"
#include "http_exchange/tests/early_server.h"

#include <boost/asio/detached.hpp>

// clang-format off
#include <CppUTest/TestHarness.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
// clang-format on

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

//! The server's thread allocates while a test runs, which the leak detector would count.
const bool leak_detection_off = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

constexpr milliseconds time_limit_ms{1000};

//! A body that fits into the socket buffers, and one that doesn't.
constexpr std::size_t short_body = 100;
constexpr std::size_t long_body = std::size_t{12} * 1024 * 1024;

struct exchange_case {
    const char* name;
    std::string head;  //!< status line, and headers after the id
    std::string body;
    std::function<void(const early_connection&)> end;
    exchange_outcome outcome;
};

const std::string half = "half of a body";

void reset_later(const early_connection& on) {
    std::this_thread::sleep_for(50ms);
    on.reset();
}

const exchange_case cases[] = {
    {"no length, reset", "HTTP/1.1 200 OK\r\n\r\n", half, reset_later, exchange_outcome::broken},
    {"no length, reset at once", "HTTP/1.1 200 OK\r\n\r\n", half,
     [](const early_connection& on) { on.reset(); }, exchange_outcome::broken},
    {"no length, an end in order and then a reset", "HTTP/1.1 200 OK\r\n\r\n", half,
     [](const early_connection& on) {
         on.finish();
         on.reset();
     },
     exchange_outcome::broken},
    {"no length, an end in order, the request is read later", "HTTP/1.1 200 OK\r\n\r\n", half,
     [](const early_connection& on) {
         on.finish();
         std::this_thread::sleep_for(200ms);
         (void)on.read_on();
     },
     exchange_outcome::completed},
    {"no length, an end in order, the request is never read", "HTTP/1.1 200 OK\r\n\r\n", half,
     [](const early_connection& on) {
         on.finish();
         std::this_thread::sleep_for(2 * time_limit_ms);
     },
     exchange_outcome::completed},
    {"a whole body with a length, reset", "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n", half,
     reset_later, exchange_outcome::completed},
    {"a part of a body with a length, reset", "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n", half,
     reset_later, exchange_outcome::broken},
    {"chunks without the last one, reset", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "e\r\n" + half + "\r\n", reset_later, exchange_outcome::broken},
};

exchange_reply run_exchange(const std::string& address, std::size_t body_bytes,
                            exchange_limits limits = {time_limit_ms, 1'000'000, {}}) {
    asio::io_context loop;
    exchange_reply reply;
    asio::co_spawn(
        loop,
        [](asio::io_context& on, std::string to, std::size_t bytes, exchange_limits within,
           exchange_reply& result) -> task<> {
            const auto opened = co_await open_connection(on, to, time_limit_ms);
            auto request = make_json_request(http::verb::post, "/", "h", std::string(bytes, 'b'));
            result = co_await exchange(opened.value(), std::move(request), within, nullptr);
            opened.value()->close();
        }(loop, address, body_bytes, limits, reply),
        asio::detached);
    loop.run();
    return reply;
}

}  // namespace

TEST_GROUP(client_exchange){};

// Guards against a response that was reset and counted as whole: the pending write of the request
// took the socket's error, and the read saw an ordinary end.
TEST(client_exchange, a_response_that_is_reset_is_not_complete) {
    for (const exchange_case& one : cases) {
        // GIVEN a server that responds before it has read the request, and ends the connection
        early_server server([&](const std::string& /*head*/, const early_connection& on) {
            on.send(one.head + one.body);
            one.end(on);
        });
        // WHEN a long request is sent
        const instant sent_at = boot_clock::now();
        const exchange_reply reply = run_exchange(server.address(), long_body);
        // THEN it is complete only if the connection ended in order, or its length says so
        STRCMP_EQUAL_TEXT(std::string(enum_name(one.outcome)).c_str(),
                          std::string(enum_name(reply.outcome)).c_str(), one.name);
        if (one.outcome == exchange_outcome::completed) {
            STRCMP_EQUAL_TEXT(half.c_str(), reply.response.body().c_str(), one.name);
            // AND it isn't held back until the request is read
            CHECK_TEXT(boot_clock::now() - sent_at < 200ms, one.name);
        }
    }
}

TEST(client_exchange, the_same_holds_for_short_requests) {
    for (const bool is_reset : {true, false}) {
        // GIVEN a server that ends a response without a length
        early_server server([&](const std::string& /*head*/, const early_connection& on) {
            on.send("HTTP/1.1 200 OK\r\n\r\n" + half);
            std::this_thread::sleep_for(50ms);
            if (is_reset) {
                on.reset();
            } else {
                on.finish();
                (void)on.read_on();
            }
        });
        // WHEN a short request is sent
        const exchange_reply reply = run_exchange(server.address(), short_body);
        // THEN the response is complete unless it was reset
        CHECK_TRUE(reply.outcome ==
                   (is_reset ? exchange_outcome::broken : exchange_outcome::completed));
    }
}

// Guards against a body that is passed on with a coding nobody removed, or cut at another place
// than the server meant.
TEST(client_exchange, a_response_whose_end_its_head_does_not_tell_is_broken) {
    const std::string length = "Content-Length: " + std::to_string(half.size()) + "\r\n";
    const std::string unclear[] = {"Transfer-Encoding: gzip\r\n",
                                   "Transfer-Encoding: gzip, chunked\r\n",
                                   "Transfer-Encoding: chunked, identity\r\n",
                                   "Transfer-Encoding:\r\n",
                                   "Transfer-Encoding: gzip\r\n" + length,
                                   length + "Transfer-Encoding: gzip\r\n"};
    for (const std::string& framing : unclear) {
        // GIVEN a server whose response has another coding than chunks, or a length beside it
        early_server server([&](const std::string& /*head*/, const early_connection& on) {
            on.send("HTTP/1.1 200 OK\r\n" + framing + "\r\n" + half);
            on.finish();
            (void)on.read_on();
        });
        // WHEN a request is sent THEN there is no complete response
        const exchange_reply reply = run_exchange(server.address(), short_body);
        STRCMP_EQUAL_TEXT("broken", std::string(enum_name(reply.outcome)).c_str(), framing.c_str());
    }
}

// Guards against the end of a body that replaces what the head said.
TEST(client_exchange, fields_of_a_trailer_are_not_taken_as_headers) {
    // GIVEN a server whose response ends with fields after its last chunk
    early_server server([&](const std::string& /*head*/, const early_connection& on) {
        on.send("HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nhi\r\n0\r\nX-Id: b\r\nX-Other: c\r\n\r\n");
        (void)on.read_on();
    });
    // WHEN a request is sent THEN the response is complete and has the fields of its head alone
    const exchange_reply reply = run_exchange(server.address(), short_body);
    CHECK_TRUE(reply.outcome == exchange_outcome::completed);
    STRCMP_EQUAL("hi", reply.response.body().c_str());
    LONGS_EQUAL(1, reply.response.count("X-Id"));
    CHECK_TRUE(reply.response["X-Id"] == "a");
    LONGS_EQUAL(0, reply.response.count("X-Other"));
}

// Guards against a limit on a response that depends neither on its size nor on its progress.
TEST(client_exchange, a_response_in_progress_is_given_up_only_when_it_stops_or_takes_too_long) {
    constexpr milliseconds head_limit{300};
    constexpr progress_limit progress{milliseconds(200), milliseconds(1500)};

    struct progress_case {
        const char* name;
        milliseconds head_delay;
        milliseconds pause;  //!< between two parts of the body
        int parts;           //!< of 20 announced ones
        exchange_outcome outcome;
        milliseconds latest_end;
    };

    const progress_case progress_cases[] = {
        {"slower than the first limit", 0ms, 40ms, 20, exchange_outcome::completed, 1400ms},
        {"stops midway", 0ms, 40ms, 5, exchange_outcome::timed_out, 1000ms},
        {"longer than the total limit", 0ms, 100ms, 20, exchange_outcome::timed_out, 1900ms},
        {"no head", 1000ms, 0ms, 20, exchange_outcome::timed_out, 500ms},
    };
    for (const progress_case& one : progress_cases) {
        // GIVEN a server that responds in parts
        early_server server([&](const std::string& /*head*/, const early_connection& on) {
            std::this_thread::sleep_for(one.head_delay);
            on.send("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n");
            for (int part = 0; part < one.parts; ++part) {
                std::this_thread::sleep_for(one.pause);
                on.send("x");
            }
            (void)on.read_on();
        });
        // WHEN a request with a limit on progress is sent
        const instant sent_at = boot_clock::now();
        const exchange_reply reply =
            run_exchange(server.address(), short_body, {head_limit, 1'000'000, progress});
        // THEN it ends as soon as the response is complete, stops, or has taken too long
        STRCMP_EQUAL_TEXT(std::string(enum_name(one.outcome)).c_str(),
                          std::string(enum_name(reply.outcome)).c_str(), one.name);
        CHECK_TEXT(boot_clock::now() - sent_at < one.latest_end, one.name);
    }
}

// Guards against a response whose status is none that is taken for an answer.
TEST(client_exchange, only_statuses_from_200_to_599_are_final) {
    struct status_case {
        const char* status;
        exchange_outcome outcome;
    };

    const status_case status_cases[] = {
        {"000", exchange_outcome::broken},    {"001", exchange_outcome::broken},
        {"099", exchange_outcome::broken},    {"100", exchange_outcome::broken},
        {"101", exchange_outcome::broken},    {"103", exchange_outcome::broken},
        {"199", exchange_outcome::broken},    {"200", exchange_outcome::completed},
        {"299", exchange_outcome::completed}, {"418", exchange_outcome::completed},
        {"599", exchange_outcome::completed}, {"600", exchange_outcome::broken},
        {"999", exchange_outcome::broken},
    };
    for (const status_case& one : status_cases) {
        for (const bool is_after_interim : {false, true}) {
            // GIVEN a server that responds with the status, also after an interim response, and
            // ends the connection
            const std::string interim =
                is_after_interim ? "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" : "";
            early_server server([&](const std::string& /*head*/, const early_connection& on) {
                on.send(interim + "HTTP/1.1 " + one.status +
                        " X\r\nContent-Length: 14\r\nX-Field: x\r\n\r\n" + half);
                on.finish();
                (void)on.read_on();
            });
            // WHEN a request is sent
            const exchange_reply reply = run_exchange(server.address(), short_body);
            // THEN it has a response only with a final status, and nothing of another one is kept
            STRCMP_EQUAL_TEXT(std::string(enum_name(one.outcome)).c_str(),
                              std::string(enum_name(reply.outcome)).c_str(), one.status);
            if (one.outcome == exchange_outcome::broken) {
                CHECK_TRUE_TEXT(reply.response.body().empty(), one.status);
                CHECK_TRUE_TEXT(reply.response["X-Field"].empty(), one.status);
            }
        }
    }
}

// Guards against a connection that carries another exchange after a response that was none.
TEST(client_exchange, a_status_that_is_not_final_closes_its_connection) {
    for (const char* const status : {"000", "099", "600", "999"}) {
        // GIVEN a server that responds with the status and keeps the connection open
        std::atomic<bool> is_closed{false};
        early_server server([&](const std::string& /*head*/, const early_connection& on) {
            on.send(std::string("HTTP/1.1 ") + status + " X\r\nContent-Length: 0\r\n\r\n");
            (void)on.read_on();
            is_closed = true;
        });
        asio::io_context loop;
        bool is_closed_by_exchange = false;
        asio::co_spawn(
            loop,
            [](asio::io_context& on, std::string to, bool& result) -> task<> {
                const auto opened = co_await open_connection(on, to, time_limit_ms);
                (void)co_await exchange(opened.value(),
                                        make_json_request(http::verb::post, "/", "h", "{}"),
                                        {time_limit_ms, 1'000'000, {}}, nullptr);
                result = opened.value()->is_closed;
            }(loop, server.address(), is_closed_by_exchange),
            asio::detached);
        // WHEN the exchange has ended
        const instant started = boot_clock::now();
        loop.run();
        // THEN the connection is closed, and at once
        CHECK_TRUE_TEXT(is_closed_by_exchange, status);
        CHECK_TEXT(boot_clock::now() - started < time_limit_ms, status);
    }
}

// Guards against half of a body that looks whole although nothing of the request was being written
// any more as the reset came.
TEST(client_exchange, a_reset_after_the_upload_is_seen_on_new_and_kept_connections) {
    constexpr std::size_t written_body = std::size_t{40} * 1024;  // fits into the socket buffers
    for (const std::size_t body_bytes : {short_body, written_body}) {
        for (const bool is_kept : {false, true}) {
            // GIVEN a server that resets a response without a length, after another exchange on the
            // connection if it is kept
            early_server server([&](const std::string& /*head*/, const early_connection& on) {
                if (is_kept) {
                    on.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    (void)on.read_next_head();
                }
                on.send("HTTP/1.1 200 OK\r\n\r\n" + half);
                reset_later(on);
            });
            asio::io_context loop;
            exchange_reply reply;
            // WHEN a request that was sent in whole is answered
            asio::co_spawn(
                loop,
                [](asio::io_context& on, std::string to, bool has_first, std::size_t bytes,
                   exchange_reply& result) -> task<> {
                    const exchange_limits limits{time_limit_ms, 1'000'000, {}};
                    const auto opened = co_await open_connection(on, to, time_limit_ms);
                    if (has_first) {
                        (void)co_await exchange(opened.value(),
                                                make_json_request(http::verb::post, "/", "h", "{}"),
                                                limits, nullptr);
                    }
                    result = co_await exchange(
                        opened.value(),
                        make_json_request(http::verb::post, "/", "h", std::string(bytes, 'b')),
                        limits, nullptr);
                    opened.value()->close();
                }(loop, server.address(), is_kept, body_bytes, reply),
                asio::detached);
            loop.run();
            // THEN the response is broken, and the connection was the same
            CHECK_TRUE(reply.outcome == exchange_outcome::broken);
            CHECK_TRUE(reply.response.body().empty());
            LONGS_EQUAL(1, server.requests());
            CHECK_TRUE(reply.body_bytes > 0);
        }
    }
}
