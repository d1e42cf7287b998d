#include "platform/internal/answers.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using detail::http_result;

namespace {

http_result answered(int status, const std::string& etag, const std::string& body = "") {
    http_response response{status, {}, body};
    if (!etag.empty()) {
        response.headers["etag"] = etag;
    }
    return response;
}

http_result failed(error_kind kind) {
    return error{kind, "failed"};
}

}  // namespace

// clang-format off
TEST_GROUP(store_answers) {};

// clang-format on

TEST(store_answers, a_write_is_certain_only_by_its_answer) {
    struct row {
        http_result answer;
        store_status status;
        object_version version;
    };

    const std::vector<row> rows{{answered(200, "\"9\""), store_status::ok, 9},
                                {answered(200, ""), store_status::unknown, 0},
                                {answered(200, "\"9x\""), store_status::unknown, 0},
                                {answered(200, "\"\""), store_status::unknown, 0},
                                {answered(412, "\"4\""), store_status::conflict, 4},
                                {answered(412, ""), store_status::conflict, 0},
                                {answered(404, ""), store_status::missing, 0},
                                {answered(413, ""), store_status::refused, 0},
                                {answered(429, ""), store_status::refused, 0},
                                {answered(500, ""), store_status::unknown, 0},
                                {answered(503, ""), store_status::unknown, 0},
                                {answered(302, ""), store_status::unknown, 0},
                                {failed(error_kind::unreachable), store_status::refused, 0},
                                {failed(error_kind::protocol), store_status::unknown, 0},
                                {failed(error_kind::timeout), store_status::unknown, 0}};
    for (const row& expected : rows) {
        const store_replied replied = detail::write_answer({part::once, 3}, "a/b", expected.answer);
        CHECK(replied.status == expected.status);
        CHECK(replied.number == (store_ticket{part::once, 3}));
        UNSIGNED_LONGS_EQUAL(expected.version, replied.object.version);
    }
}

TEST(store_answers, a_read_is_ok_only_with_a_version) {
    struct row {
        http_result answer;
        store_status status;
    };

    const std::vector<row> rows{{answered(200, "\"9\"", "text"), store_status::ok},
                                {answered(200, "", "text"), store_status::unknown},
                                {answered(404, ""), store_status::missing},
                                {answered(429, ""), store_status::refused},
                                {answered(500, ""), store_status::unknown},
                                {failed(error_kind::unreachable), store_status::unknown}};
    for (const row& expected : rows) {
        CHECK(detail::read_answer({}, "k", expected.answer).status == expected.status);
    }
}

TEST(store_answers, malformed_bodies_of_watches_and_lists_are_unknown) {
    const char* bodies[] = {
        "",
        "[]",
        "{}",
        R"({"revision":2})",
        R"({"revision":"2","objects":[]})",
        R"({"revision":2,"objects":[{"key":"a"}]})",
        R"({"revision":2,"objects":[{"key":"a","version":-1,"value":3}]})",
        R"({"instances":[{"id":"a"}]})",
        R"({"instances":3})",
    };
    for (const char* body : bodies) {
        const watch_ended watched = detail::watch_answer("p", 1, answered(200, "", body));
        CHECK(watched.status == store_status::unknown);
        CHECK(watched.objects.empty());
        const instances_listed listed = detail::list_answer(answered(200, "", body));
        CHECK(listed.status == store_status::unknown || listed.instances.empty());
    }
}

TEST(store_answers, keys_are_encoded_but_for_the_slash) {
    STRCMP_EQUAL("once/a%20b%3F%23%25%C3%A9", detail::encode_path("once/a b?#%\xC3\xA9").c_str());
}
