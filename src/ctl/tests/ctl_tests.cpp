#include "ctl/ctl.h"

#include <deque>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

//! Answers calls from a script and keeps what was asked.
struct scripted_world {
    std::deque<result<client_response>> script;
    std::vector<client_request> asked;
    std::ostringstream out;
    std::ostringstream err;
    instant clock;

    ctl_world world() {
        return {[this](const client_request& request) -> result<client_response> {
                    asked.push_back(request);
                    if (script.empty()) {
                        return error{error_kind::unreachable, "no more answers"};
                    }
                    auto answer = script.front();
                    script.pop_front();
                    return answer;
                },
                [](const std::string&) -> result<std::string> { return std::string("text"); },
                [this](milliseconds time) { clock += time; },
                [this] { return clock; },
                out,
                err};
    }
};

client_response answer(int status, const std::string& body, const std::string& etag = "") {
    return {status, etag, body};
}

const std::string two_members = R"({"self":"a","members":["a","b"],)";

}  // namespace

TEST_GROUP(ctl) {
    scripted_world fake;
    ctl_options options;
};

TEST(ctl, an_edit_waits_until_every_member_has_it) {
    // GIVEN a store that accepts, and a peer that has it at the second look
    fake.script = {
        answer(200, "old", "\"4\""), answer(200, R"({"version":5})"),
        answer(200, two_members + R"("versions":{"plans":5},"peers":{"b":{"plans":4}}})"),
        answer(200, two_members + R"("versions":{"plans":5},"peers":{"b":{"plans":5}}})")};

    // WHEN the list is edited
    const auto code = run_command(options, {"plans", "edit", "f"}, fake.world());

    // THEN it was based on the version read, and is reported in force on both
    LONGS_EQUAL(0, static_cast<int>(code));
    STRCMP_EQUAL("If-Match: \"4\"", fake.asked[1].headers[0].c_str());
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
        {answer(409, changed), exit_code::conflict},
        {answer(422, R"({"findings":[{"line":3,"message":"bad"}]})"), exit_code::faults},
        {answer(503, R"({"title":"unknown"})"), exit_code::unknown},
        {answer(504, "not json"), exit_code::unknown},
        {answer(401, R"({"title":"unauthenticated"})"), exit_code::failed},
        {error{error_kind::timeout, "no answer"}, exit_code::unknown},
    };
    for (const auto& entry : table) {
        // GIVEN an instance that answers an edit this way
        fake.script = {answer(200, "old", "\"4\""), entry.put};

        // WHEN the list is edited THEN the exit code tells which it was
        const auto code = run_command(options, {"plans", "edit", "f"}, fake.world());
        LONGS_EQUAL(static_cast<int>(entry.expected), static_cast<int>(code));
    }
    STRCMP_CONTAINS("eira", fake.err.str().c_str());
    STRCMP_CONTAINS("f:3: bad", fake.err.str().c_str());
}

TEST(ctl, an_order_that_is_not_recorded_says_so) {
    // GIVEN a zone taken out while the store is down, held by one of two members
    fake.script = {answer(202, R"({"version":0})")};
    for (int i = 0; i < 200; ++i) {
        fake.script.push_back(answer(200, two_members + R"("versions":{"emergency_digest":9},)" +
                                              R"("peers":{"b":{"emergency_digest":0}}})"));
    }

    // WHEN it is waited for
    const auto code = run_command(options, {"zone", "out", "z1"}, fake.world());

    // THEN it is shown as on one of two, not yet recorded
    LONGS_EQUAL(static_cast<int>(exit_code::not_in_force), static_cast<int>(code));
    STRCMP_CONTAINS("not yet recorded", fake.out.str().c_str());
    STRCMP_CONTAINS("in force on 1 of 2 only", fake.err.str().c_str());
}

TEST(ctl, an_answer_that_is_not_whole_is_a_failure) {
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
        // GIVEN an instance that answers with these frames
        fake.script = {answer(200, entry.frames)};

        // WHEN a pipeline is run by hand THEN only a whole answer is done
        const auto code = run_command(options, {"request", "menu", "x"}, fake.world());
        LONGS_EQUAL(static_cast<int>(entry.expected), static_cast<int>(code));
    }
}

TEST(ctl, a_wrong_command_line_is_usage) {
    const std::vector<std::vector<std::string>> table = {
        {}, {"plan"}, {"plans"}, {"plans", "edit"}, {"zone", "off", "z"}, {"request", "menu"}};
    for (const auto& words : table) {
        // WHEN it is run THEN nothing is asked
        LONGS_EQUAL(static_cast<int>(exit_code::usage),
                    static_cast<int>(run_command(options, words, fake.world())));
    }
    CHECK_TRUE(fake.asked.empty());
}
