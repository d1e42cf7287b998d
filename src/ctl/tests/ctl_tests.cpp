#include "ctl/ctl.h"

#include <deque>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

//! Replies to requests from a script and records the requests.
struct scripted_io {
    std::deque<result<client_response>> script;
    std::vector<client_request> requests;
    std::ostringstream out;
    std::ostringstream err;
    instant clock;

    ctl_io io() {
        return {[this](const client_request& request) -> result<client_response> {
                    requests.push_back(request);
                    if (script.empty()) {
                        return error{error_kind::unreachable, "no more scripted responses"};
                    }
                    auto response = script.front();
                    script.pop_front();
                    return response;
                },
                [](const std::string&) -> result<std::string> { return std::string("text"); },
                [this](milliseconds time) { clock += time; },
                [this] { return clock; },
                out,
                err};
    }
};

client_response response(int status, const std::string& body, const std::string& etag = "") {
    return {status, etag, body};
}

const std::string two_members = R"({"self":"a","members":["a","b"],)";

}  // namespace

TEST_GROUP(ctl) {
    scripted_io fake;
    ctl_options options;
};

TEST(ctl, an_edit_waits_until_every_member_has_it) {
    // GIVEN an instance that accepts the edit, and a peer that reports it at the second poll
    fake.script = {
        response(200, "old", "\"4\""), response(200, R"({"version":5})"),
        response(200, two_members + R"("versions":{"plans":5},"peers":{"b":{"plans":4}}})"),
        response(200, two_members + R"("versions":{"plans":5},"peers":{"b":{"plans":5}}})")};

    // WHEN the list is edited
    const auto code = run_command(options, {"plans", "edit", "f"}, fake.io());

    // THEN the edit was based on the version read, and is reported in force on both members
    LONGS_EQUAL(0, static_cast<int>(code));
    STRCMP_EQUAL("If-Match: \"4\"", fake.requests[1].headers[0].c_str());
    STRCMP_CONTAINS("in force on 2 of 2", fake.err.str().c_str());
}

TEST(ctl, outcomes_of_an_edit_have_their_exit_codes) {
    struct row {
        result<client_response> put;
        exit_code expected;
    };

    const std::string changed =
        R"({"version":6,"changes":[{"who":"eira","what":"plans replaced","at_ms":0}]})";
    const row table[] = {
        {response(409, changed), exit_code::conflict},
        {response(422, R"({"findings":[{"line":3,"message":"bad"}]})"), exit_code::faults},
        {response(503, R"({"title":"unknown"})"), exit_code::unknown},
        {response(504, "not json"), exit_code::unknown},
        {response(401, R"({"title":"unauthenticated"})"), exit_code::failed},
        {error{error_kind::timeout, "no answer"}, exit_code::unknown},
    };
    for (const auto& entry : table) {
        // GIVEN an instance that responds to the edit this way
        fake.script = {response(200, "old", "\"4\""), entry.put};

        // WHEN the list is edited THEN the exit code matches the outcome
        const auto code = run_command(options, {"plans", "edit", "f"}, fake.io());
        LONGS_EQUAL(static_cast<int>(entry.expected), static_cast<int>(code));
    }
    STRCMP_CONTAINS("eira", fake.err.str().c_str());
    STRCMP_CONTAINS("f:3: bad", fake.err.str().c_str());
}

TEST(ctl, an_emergency_order_is_reported_as_not_recorded) {
    // GIVEN a zone taken out of service while the store is down; one of two members has the order
    fake.script = {response(202, R"({"version":0})")};
    for (int i = 0; i < 200; ++i) {
        fake.script.push_back(response(200, two_members + R"("versions":{"emergency_digest":9},)" +
                                                R"("peers":{"b":{"emergency_digest":0}}})"));
    }

    // WHEN the command waits until the order is in force
    const auto code = run_command(options, {"zone", "out", "z1"}, fake.io());

    // THEN it is reported as not yet recorded and in force on one of two members
    LONGS_EQUAL(static_cast<int>(exit_code::not_in_force), static_cast<int>(code));
    STRCMP_CONTAINS("not yet recorded", fake.out.str().c_str());
    STRCMP_CONTAINS("in force on 1 of 2 only", fake.err.str().c_str());
}

TEST(ctl, an_incomplete_response_is_a_failure) {
    struct row {
        const char* frames;
        exit_code expected;
    };

    const row table[] = {
        {"{\"frame\":0,\"token\":\"a\"}\n{\"frame\":1,\"final\":true,\"count\":1}\n",
         exit_code::done},
        {"{\"frame\":0,\"token\":\"a\"}\n", exit_code::failed},
        {"{\"frame\":1,\"token\":\"a\"}\n", exit_code::failed},
        {"{\"frame\":0,\"error\":{\"reason\":\"upstream_failed\",\"execution\":\"ran\"}}\n",
         exit_code::refused},
        {"", exit_code::failed},
    };
    options.caller = "127.0.0.1:1";
    for (const auto& entry : table) {
        // GIVEN an instance that responds with these frames
        fake.script = {response(200, entry.frames)};

        // WHEN a pipeline is run THEN only a complete response succeeds
        const auto code = run_command(options, {"request", "menu", "x"}, fake.io());
        LONGS_EQUAL(static_cast<int>(entry.expected), static_cast<int>(code));
    }
}

TEST(ctl, an_invalid_command_line_is_a_usage_error) {
    const std::vector<std::vector<std::string>> table = {
        {}, {"plan"}, {"plans"}, {"plans", "edit"}, {"zone", "off", "z"}, {"request", "menu"}};
    for (const auto& arguments : table) {
        // WHEN it is run THEN no request is sent
        LONGS_EQUAL(static_cast<int>(exit_code::usage),
                    static_cast<int>(run_command(options, arguments, fake.io())));
    }
    CHECK_TRUE(fake.requests.empty());
}
