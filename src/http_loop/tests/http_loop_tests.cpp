#include "http_loop/http_loop.h"
#include "standins/common/http_server.h"
#include "standins/common/testing.h"

#include <atomic>
#include <memory>
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

// Threads of CivetWeb and libcurl allocate outside the tests' own scope.
const bool leak_detection_off = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

enum class server_fault { none, server_error, closes, truncates, silent };

void show(server_fault fault, exchange& current, const std::atomic<bool>& ended) {
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
    case server_fault::silent:
        while (!ended && !current.peer_gone()) {
            std::this_thread::sleep_for(10ms);
        }
        current.abandon();
        return;
    }
}

//! A server that shows one fault, and a loop.
struct fixture {
    std::atomic<server_fault> fault{server_fault::none};
    std::atomic<int> requests{0};
    std::atomic<bool> ended{false};
    std::unique_ptr<http_server> server;
    std::unique_ptr<http_loop> loop;
    collector<result<http_response>> answers;

    fixture() {
        server = std::move(http_server::start({"127.0.0.1:0", 16}, [this](exchange& current) {
                               ++requests;
                               show(fault, current, ended);
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
                     [this](result<http_response> answer) { answers.add(std::move(answer)); });
    }
};

}  // namespace

// clang-format off
TEST_GROUP(http_loop_faults) {};

// clang-format on

TEST(http_loop_faults, each_fault_has_its_error) {
    struct row {
        server_fault fault;
        int status;  // 0: an error
        error_kind kind;
    };

    const row rows[] = {{server_fault::none, 200, {}},
                        {server_fault::server_error, 503, {}},
                        {server_fault::closes, 0, error_kind::protocol},
                        {server_fault::truncates, 0, error_kind::protocol},
                        {server_fault::silent, 0, error_kind::timeout}};
    for (const row& expected : rows) {
        for (const char* method : {"GET", "PUT"}) {
            // GIVEN a server with the fault
            fixture given;
            given.fault = expected.fault;
            // WHEN a request is submitted
            given.submit(method, 300ms);
            const auto came = given.answers.wait_for(1);
            // THEN one answer tells what is known
            LONGS_EQUAL(1, came.size());
            LONGS_EQUAL(expected.status, came[0] ? came[0].value().status : 0);
            if (expected.status == 0) {
                CHECK(came[0].error().kind == expected.kind);
            }
            LONGS_EQUAL(1, given.requests);
        }
    }
}

TEST(http_loop_faults, headers_are_lower_case_and_body_is_whole) {
    fixture given;
    given.submit("GET", 5s);
    const auto came = given.answers.wait_for(1);
    STRCMP_EQUAL("\"7\"", came[0].value().headers.at("etag").c_str());
    STRCMP_EQUAL("whole", came[0].value().body.c_str());
}

TEST(http_loop_faults, nothing_was_sent_where_nobody_listens) {
    // GIVEN an address that nobody listens on any more
    fixture given;
    const std::string address = given.server->address();
    given.server->stop();
    // WHEN a write is submitted
    given.loop->submit({"PUT", "http://" + address + "/x", {}, "body", 5s},
                       [&](result<http_response> answer) { given.answers.add(std::move(answer)); });
    // THEN the error says that nothing was sent
    const auto came = given.answers.wait_for(1);
    CHECK(came[0].error().kind == error_kind::unreachable);
}

TEST(http_loop_faults, write_is_not_repeated_when_a_kept_connection_closes) {
    // GIVEN a connection that a first exchange left open
    fixture given;
    given.submit("GET", 5s);
    given.answers.wait_for(1);
    // WHEN the server takes a write and closes without an answer
    given.fault = server_fault::closes;
    given.submit("PUT", 5s);
    const auto came = given.answers.wait_for(2);
    // THEN it saw the write once, and the outcome is not known
    LONGS_EQUAL(2, given.requests);
    CHECK(came[1].error().kind == error_kind::protocol);
}

TEST(http_loop_faults, silent_connection_is_replaced) {
    // GIVEN an exchange that ended because its connection went silent
    fixture given;
    given.fault = server_fault::silent;
    given.submit("GET", 200ms);
    given.answers.wait_for(1);
    // WHEN new connections work
    given.fault = server_fault::none;
    given.submit("GET", 5s);
    // THEN the next exchange succeeds
    const auto came = given.answers.wait_for(2);
    CHECK(came[0].error().kind == error_kind::timeout);
    LONGS_EQUAL(200, came[1].value().status);
}

TEST(http_loop_faults, every_exchange_ends_once_with_the_loop) {
    // GIVEN exchanges that get no answer
    fixture given;
    given.fault = server_fault::silent;
    constexpr int count = 8;
    for (int i = 0; i < count; ++i) {
        given.submit(i % 2 == 0 ? "GET" : "PUT", 60s);
    }
    // WHEN the loop ends
    given.loop.reset();
    // THEN each was called back once
    LONGS_EQUAL(count, given.answers.wait_for(count).size());
}
