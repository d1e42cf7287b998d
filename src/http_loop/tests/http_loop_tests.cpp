#include "http_exchange/tests/early_server.h"
#include "http_loop/http_loop.h"
#include "standins/common/http_server.h"
#include "standins/common/testing.h"

#include <atomic>
#include <memory>
#include <stdexcept>
#include <thread>

// clang-format off
#include <CppUTest/TestHarness.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
// clang-format on

using namespace cyclamenmount;
using standins::collector;
using standins::exchange;
using standins::http_server;

namespace {

// Leak detection would count the allocations of CivetWeb's and libcurl's threads.
const bool leak_detection_off = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

enum class server_fault { none, server_error, closes, truncates, unresponsive };

void apply_fault(server_fault fault, exchange& current, const std::atomic<bool>& ended) {
    switch (fault) {
    case server_fault::none:
        current.respond(200, {"ETag: \"7\""}, "whole");
        return;
    case server_fault::server_error:
        current.respond(503, {}, "busy");
        return;
    case server_fault::closes:
        current.abandon();
        return;
    case server_fault::truncates:
        current.respond_truncated(200, {}, "a body that breaks off");
        return;
    case server_fault::unresponsive:
        while (!ended && !current.peer_gone()) {
            std::this_thread::sleep_for(10ms);
        }
        current.abandon();
        return;
    }
}

//! A server with a configurable fault, and the loop under test.
struct fixture {
    std::atomic<server_fault> fault{server_fault::none};
    std::atomic<int> requests{0};
    std::atomic<bool> ended{false};
    std::unique_ptr<http_server> server;
    std::unique_ptr<http_loop> loop;
    collector<result<http_response>> results;

    fixture() {
        server = std::move(http_server::start({"127.0.0.1:0", 16}, [this](exchange& current) {
                               ++requests;
                               apply_fault(fault, current, ended);
                           }).value());
        loop = std::move(http_loop::start().value());
    }

    ~fixture() {
        ended = true;
        loop.reset();
    }

    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;
    fixture(fixture&&) = delete;
    fixture& operator=(fixture&&) = delete;

    void submit(const std::string& method, milliseconds timeout) {
        loop->submit({method, "http://" + server->address() + "/x", {}, "body", timeout},
                     [this](result<http_response> outcome) { results.add(std::move(outcome)); });
    }
};

}  // namespace

// clang-format off
TEST_GROUP(http_loop_faults) {};

// clang-format on

TEST(http_loop_faults, each_fault_maps_to_its_error_kind) {
    struct row {
        server_fault fault;
        int status;  // 0 if an error is expected
        error_kind kind;
    };

    const row rows[] = {{server_fault::none, 200, {}},
                        {server_fault::server_error, 503, {}},
                        {server_fault::closes, 0, error_kind::protocol},
                        {server_fault::truncates, 0, error_kind::protocol},
                        {server_fault::unresponsive, 0, error_kind::timeout}};
    for (const row& expected : rows) {
        for (const char* method : {"GET", "PUT"}) {
            // GIVEN a server with the fault
            fixture given;
            given.fault = expected.fault;
            // WHEN a request is submitted
            given.submit(method, 300ms);
            const auto received = given.results.wait_for(1);
            // THEN one result has the expected status or error kind
            LONGS_EQUAL(1, received.size());
            LONGS_EQUAL(expected.status, received[0] ? received[0].value().status : 0);
            if (expected.status == 0) {
                CHECK(received[0].error().kind == expected.kind);
            }
            LONGS_EQUAL(1, given.requests);
        }
    }
}

// Guards against a status of 000 or 999 that is taken for an answer, e.g. to a write, whose outcome
// is unknown, and against a connection that is used again after it.
TEST(http_loop_faults, a_status_that_is_not_final_is_an_error) {
    for (const char* const status : {"000", "099", "199", "600", "999"}) {
        for (const char* const method : {"GET", "PUT"}) {
            // GIVEN a server that responds with the status and keeps the connection open
            std::atomic<bool> is_closed{false};
            testing::early_server server(
                [&](const std::string& /*head*/, const testing::early_connection& on) {
                    on.send(std::string("HTTP/1.1 ") + status +
                            " X\r\nETag: \"7\"\r\nContent-Length: 2\r\n\r\n{}");
                    if (status[0] == '1') {
                        on.finish();
                    }
                    (void)on.read_on();
                    is_closed = true;
                });
            const auto loop = std::move(http_loop::start().value());
            collector<result<http_response>> results;
            http_request request;
            request.method = method;
            request.url = "http://" + server.address() + "/";
            request.timeout = 1000ms;
            // WHEN a request is submitted
            loop->submit(std::move(request),
                         [&](auto received) { results.add(std::move(received)); });
            const auto received = results.wait_for(1);
            // THEN it has no response, and the connection is closed
            LONGS_EQUAL_TEXT(1, received.size(), status);
            CHECK_FALSE_TEXT(received[0].has_value(), status);
            CHECK_TEXT(received[0].error().kind == error_kind::protocol, status);
            for (int i = 0; i < 100 && !is_closed; ++i) {
                std::this_thread::sleep_for(5ms);
            }
            CHECK_TEXT(is_closed, status);
        }
    }
}

TEST(http_loop_faults, header_names_are_lower_case_and_body_is_complete) {
    fixture given;
    given.submit("GET", 5s);
    const auto received = given.results.wait_for(1);
    STRCMP_EQUAL("\"7\"", received[0].value().headers.at("etag").c_str());
    STRCMP_EQUAL("whole", received[0].value().body.c_str());
}

TEST(http_loop_faults, nothing_is_sent_without_a_listener) {
    // GIVEN an address without a listener
    fixture given;
    const std::string address = given.server->address();
    given.server->stop();
    // WHEN a write is submitted
    given.loop->submit(
        {"PUT", "http://" + address + "/x", {}, "body", 5s},
        [&](result<http_response> outcome) { given.results.add(std::move(outcome)); });
    // THEN the error kind states that nothing was sent
    const auto received = given.results.wait_for(1);
    CHECK(received[0].error().kind == error_kind::unreachable);
}

TEST(http_loop_faults, write_is_not_repeated_when_a_reused_connection_closes) {
    // GIVEN an open connection from an earlier exchange
    fixture given;
    given.submit("GET", 5s);
    given.results.wait_for(1);
    // WHEN the server receives a write and closes the connection without a response
    given.fault = server_fault::closes;
    given.submit("PUT", 5s);
    const auto received = given.results.wait_for(2);
    // THEN it received the write once, and the outcome is unknown
    LONGS_EQUAL(2, given.requests);
    CHECK(received[1].error().kind == error_kind::protocol);
}

TEST(http_loop_faults, unresponsive_connection_is_replaced) {
    // GIVEN an exchange that timed out on a connection without data
    fixture given;
    given.fault = server_fault::unresponsive;
    given.submit("GET", 200ms);
    given.results.wait_for(1);
    // WHEN the server responds again on new connections
    given.fault = server_fault::none;
    given.submit("GET", 5s);
    // THEN the next exchange succeeds
    const auto received = given.results.wait_for(2);
    CHECK(received[0].error().kind == error_kind::timeout);
    LONGS_EQUAL(200, received[1].value().status);
}

TEST(http_loop_faults, every_exchange_ends_once_when_the_loop_stops) {
    // GIVEN exchanges without a response
    fixture given;
    given.fault = server_fault::unresponsive;
    constexpr int count = 8;
    for (int i = 0; i < count; ++i) {
        given.submit(i % 2 == 0 ? "GET" : "PUT", 60s);
    }
    // WHEN the loop stops
    given.loop.reset();
    // THEN each exchange's callback was called once
    LONGS_EQUAL(count, given.results.wait_for(count).size());
}

// Guards against a limit on a response that depends neither on its size nor on its progress.
TEST(http_loop_faults, a_response_in_progress_is_given_up_only_when_it_stops_or_takes_too_long) {
    constexpr milliseconds head_limit{300};
    constexpr progress_limit progress{milliseconds(200), milliseconds(1500)};

    struct row {
        const char* name;
        milliseconds head_delay;
        milliseconds pause;  //!< between two parts of the body
        int parts;           //!< of 20 that make the body whole
        bool is_whole;
        milliseconds latest_end;
    };

    const row rows[] = {{"slower than the first limit", 0ms, 40ms, 20, true, 1400ms},
                        {"stops midway", 0ms, 40ms, 5, false, 1000ms},
                        {"longer than the total limit", 0ms, 100ms, 20, false, 1900ms},
                        {"no head", 1000ms, 0ms, 20, false, 500ms}};
    for (const row& expected : rows) {
        // GIVEN a server that responds in parts
        const auto server =
            std::move(http_server::start({"127.0.0.1:0", 4}, [&](exchange& current) {
                          std::this_thread::sleep_for(expected.head_delay);
                          current.begin_stream(200, {});
                          for (int part = 0; part < expected.parts; ++part) {
                              std::this_thread::sleep_for(expected.pause);
                              current.write_chunk("x");
                          }
                          if (expected.parts == 20) {
                              current.end_stream();
                              return;
                          }
                          while (!current.peer_gone()) {
                              std::this_thread::sleep_for(10ms);
                          }
                      }).value());
        fixture given;
        // WHEN a request with a limit on progress is submitted
        const instant submitted_at = boot_clock::now();
        given.loop->submit(
            {"GET", "http://" + server->address() + "/x", {}, "", head_limit, progress},
            [&](result<http_response> outcome) { given.results.add(std::move(outcome)); });
        const auto received = given.results.wait_for(1);
        // THEN it ends as soon as the response is complete, stops, or has taken too long
        CHECK_TEXT(boot_clock::now() - submitted_at < expected.latest_end, expected.name);
        LONGS_EQUAL_TEXT(1, received.size(), expected.name);
        CHECK_EQUAL_TEXT(expected.is_whole, received[0].has_value(), expected.name);
        if (expected.is_whole) {
            LONGS_EQUAL_TEXT(20, received[0].value().body.size(), expected.name);
        } else {
            CHECK_TEXT(received[0].error().kind == error_kind::timeout, expected.name);
        }
    }
}

// Guards against a process that ends because the receiver of one response throws.
TEST(http_loop_faults, an_exception_of_a_callback_does_not_end_the_loop) {
    // GIVEN a request that is answered, and one to a closed port, whose callbacks throw
    fixture given;
    const std::string closed_port = "http://127.0.0.1:1/x";
    for (const std::string& url : {"http://" + given.server->address() + "/x", closed_port}) {
        given.loop->submit({"GET", url, {}, "", 5000ms}, [](const result<http_response>&) {
            throw std::runtime_error("unexpected field");
        });
    }
    // WHEN another request is submitted
    given.submit("GET", 5000ms);
    // THEN it is answered
    const auto results = given.results.wait_for(1);
    LONGS_EQUAL(1, results.size());
    LONGS_EQUAL(200, results.front().value().status);
}

// Guards against a process that ends because a callback throws while the loop stops.
TEST(http_loop_faults, an_exception_of_a_callback_does_not_prevent_the_stop) {
    // GIVEN two requests without a response, whose callbacks throw
    fixture given;
    given.fault = server_fault::unresponsive;
    std::atomic<int> ended{0};
    for (int i = 0; i < 2; ++i) {
        given.loop->submit({"GET", "http://" + given.server->address() + "/x", {}, "", 20000ms},
                           [&ended](const result<http_response>&) {
                               ++ended;
                               throw std::runtime_error("unexpected field");
                           });
    }
    // WHEN the loop stops
    given.loop.reset();
    // THEN both have ended
    LONGS_EQUAL(2, ended);
}
