#include "object_api_client/internal/responses.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using detail::http_result;

namespace {

http_result response_with(int status, const std::string& etag, const std::string& body = "") {
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
TEST_GROUP(object_api_responses) {};

// clang-format on

TEST(object_api_responses, write_is_unknown_unless_its_effect_is_certain) {
    struct row {
        http_result response;
        store_status status;
        object_version version;
    };

    const std::vector<row> rows{{response_with(200, "\"9\""), store_status::ok, 9},
                                {response_with(200, ""), store_status::unknown, 0},
                                {response_with(200, "\"9x\""), store_status::unknown, 0},
                                {response_with(200, "\"\""), store_status::unknown, 0},
                                {response_with(412, "\"4\""), store_status::conflict, 4},
                                {response_with(412, ""), store_status::conflict, 0},
                                {response_with(404, ""), store_status::missing, 0},
                                {response_with(413, ""), store_status::refused, 0},
                                {response_with(429, ""), store_status::refused, 0},
                                {response_with(500, ""), store_status::unknown, 0},
                                {response_with(503, ""), store_status::unknown, 0},
                                {response_with(302, ""), store_status::unknown, 0},
                                {failed(error_kind::unreachable), store_status::refused, 0},
                                {failed(error_kind::protocol), store_status::unknown, 0},
                                {failed(error_kind::timeout), store_status::unknown, 0}};
    for (const row& expected : rows) {
        const store_replied replied =
            detail::interpret_write({component::once, 3}, "a/b", expected.response);
        CHECK(replied.status == expected.status);
        CHECK(replied.number == (store_ticket{component::once, 3}));
        UNSIGNED_LONGS_EQUAL(expected.version, replied.object.version);
    }
}

TEST(object_api_responses, read_without_a_version_is_unknown) {
    struct row {
        http_result response;
        store_status status;
    };

    const std::vector<row> rows{{response_with(200, "\"9\"", "text"), store_status::ok},
                                {response_with(200, "", "text"), store_status::unknown},
                                {response_with(404, ""), store_status::missing},
                                {response_with(429, ""), store_status::refused},
                                {response_with(500, ""), store_status::unknown},
                                {failed(error_kind::unreachable), store_status::unknown}};
    for (const row& expected : rows) {
        CHECK(detail::interpret_read({}, "k", expected.response).status == expected.status);
    }
}

TEST(object_api_responses, malformed_watch_and_list_bodies_are_unknown) {
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
        const watch_ended watched = detail::interpret_watch("p", 1, response_with(200, "", body));
        CHECK(watched.status == store_status::unknown);
        CHECK(watched.objects.empty());
        const instances_listed listed =
            detail::interpret_instance_list(response_with(200, "", body));
        CHECK(listed.status == store_status::unknown || listed.instances.empty());
    }
}

TEST(object_api_responses, keys_are_percent_encoded_except_for_the_slash) {
    STRCMP_EQUAL("once/a%20b%3F%23%25%C3%A9", detail::encode_path("once/a b?#%\xC3\xA9").c_str());
}
