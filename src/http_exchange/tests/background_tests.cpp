#include "http_exchange/background.h"

#include <vector>

#include <CppUTest/TestHarness.h>
#include <boost/asio/post.hpp>

using namespace cyclamenmount;

namespace {

task<> fail(asio::io_context& loop) {
    co_await pause(loop, 1ms);
    throw std::runtime_error("out of descriptors");
}

//! Runs the loop until it has no work; returns what was reported.
std::vector<std::string> collect_reports(asio::io_context& loop) {
    std::vector<std::string> reports;
    run_loop(loop, [&](std::string_view what) { reports.emplace_back(what); });
    return reports;
}

}  // namespace

TEST_GROUP(background){};

// Guards against tasks that end by an exception which nobody sees.
TEST(background, an_exception_of_a_task_is_reported_with_the_name_of_the_task) {
    // GIVEN a task that fails
    asio::io_context loop;
    spawn(loop, "caller's connection", fail(loop));
    // WHEN the loop runs
    const auto reports = collect_reports(loop);
    // THEN the exception is reported
    LONGS_EQUAL(1, reports.size());
    STRCMP_EQUAL("caller's connection: out of descriptors", reports.front().c_str());
}

// Guards against an accept loop that ends with an exception, in a process that runs on.
TEST(background, a_service_that_fails_starts_again) {
    // GIVEN a service that fails twice
    asio::io_context loop;
    int starts = 0;
    spawn_service(loop, "accept loop", [&]() -> task<> {
        ++starts;
        if (starts <= 2) {
            co_await fail(loop);
        }
    });
    // WHEN the loop runs
    const auto reports = collect_reports(loop);
    // THEN it was started a third time, and each failure was reported
    LONGS_EQUAL(3, starts);
    LONGS_EQUAL(2, reports.size());
}

// Guards against a process that ends because one handler throws.
TEST(background, an_exception_of_a_handler_does_not_end_the_loop) {
    // GIVEN a handler that throws, and one after it
    asio::io_context loop;
    bool is_second_called = false;
    asio::post(loop, [] { throw std::runtime_error("unexpected field"); });
    asio::post(loop, [&] { is_second_called = true; });
    // WHEN the loop runs
    const auto reports = collect_reports(loop);
    // THEN the second handler is called as well
    CHECK_TRUE(is_second_called);
    LONGS_EQUAL(1, reports.size());
}
