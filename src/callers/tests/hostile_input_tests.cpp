// Tests of hostile and malformed input to the listener for callers.
#include "callers/caller_server.h"
#include "callers/tests/raw_caller.h"
#include "pipeline/tests/fake_control.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

struct hostile_case {
    const char* name;
    std::string bytes;
    int status;
    const char* reason;
    const char* place;
};

constexpr std::size_t body_limit = std::size_t{1024} * 1024;

std::string post(const std::string& path, const std::string& headers, const std::string& body) {
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string menu(const std::string& headers, const std::string& body) {
    return post("/v1/pipelines/menu", headers, body);
}

const std::string key = "Authorization: Bearer secret\r\n";
const std::string valid_body = R"({"input":"x"})";

std::string chunked_body(std::size_t size) {
    std::string bytes = "POST /v1/pipelines/menu HTTP/1.1\r\nHost: x\r\n" + key +
                        "Transfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
    for (std::size_t sent = 0; sent < size; sent += 4096) {
        bytes += chunk;
    }
    return bytes + "0\r\n\r\n";
}

//! A request whose body is one empty chunk, whatever the header lines say of it.
std::string framed(const std::string& framing) {
    return "POST /v1/pipelines/menu HTTP/1.1\r\nHost: x\r\n" + key + framing + "\r\n0\r\n\r\n";
}

std::vector<hostile_case> hostile_cases() {
    const std::string path = "path";
    return {
        {"no key", menu("", valid_body), 401, "unauthenticated", "Authorization"},
        {"other scheme", menu("Authorization: Basic x\r\n", valid_body), 401, "unauthenticated",
         "Authorization"},
        {"empty key", menu("Authorization: Bearer \r\n", valid_body), 401, "unauthenticated",
         "Authorization"},
        {"key with a space", menu("Authorization: Bearer a b\r\n", valid_body), 401,
         "unauthenticated", "Authorization"},
        {"huge key", menu("Authorization: Bearer " + std::string(600, 'k') + "\r\n", valid_body),
         401, "unauthenticated", "Authorization"},
        {"two keys", menu(key + key, valid_body), 400, "malformed", "Authorization"},
        {"deadline of letters", menu(key + "X-Deadline-Ms: soon\r\n", valid_body), 400, "malformed",
         "X-Deadline-Ms"},
        {"negative deadline", menu(key + "X-Deadline-Ms: -5\r\n", valid_body), 400, "malformed",
         "X-Deadline-Ms"},
        {"deadline too short", menu(key + "X-Deadline-Ms: 99\r\n", valid_body), 400, "malformed",
         "X-Deadline-Ms"},
        {"deadline too long", menu(key + "X-Deadline-Ms: 600001\r\n", valid_body), 400, "malformed",
         "X-Deadline-Ms"},
        {"overflowing deadline", menu(key + "X-Deadline-Ms: 99999999999999999999\r\n", valid_body),
         400, "malformed", "X-Deadline-Ms"},
        {"fractional deadline", menu(key + "X-Deadline-Ms: 100.5\r\n", valid_body), 400,
         "malformed", "X-Deadline-Ms"},
        {"huge request key",
         menu(key + "Idempotency-Key: " + std::string(129, 'k') + "\r\n", valid_body), 400,
         "malformed", "Idempotency-Key"},
        {"request key with a space", menu(key + "Idempotency-Key: a b\r\n", valid_body), 400,
         "malformed", "Idempotency-Key"},
        {"empty request key", menu(key + "Idempotency-Key:\r\n", valid_body), 400, "malformed",
         "Idempotency-Key"},
        {"no body", menu(key, ""), 400, "malformed", "body"},
        {"not JSON", menu(key, "{"), 400, "malformed", "body"},
        {"not an object", menu(key, "[1]"), 400, "malformed", "body"},
        {"deep nesting", menu(key, std::string(100000, '[')), 400, "malformed", "body"},
        {"bad UTF-8", menu(key, "{\"input\":\"\xff\xfe\"}"), 400, "malformed", "body"},
        {"no input", menu(key, "{}"), 400, "malformed", "body.input"},
        {"input of a number", menu(key, R"({"input":3})"), 400, "malformed", "body.input"},
        {"no tokens", menu(key, R"({"input":"x","max_tokens":0})"), 400, "malformed",
         "body.max_tokens"},
        {"negative tokens", menu(key, R"({"input":"x","max_tokens":-1})"), 400, "malformed",
         "body.max_tokens"},
        {"too many tokens", menu(key, R"({"input":"x","max_tokens":1e9})"), 400, "malformed",
         "body.max_tokens"},
        {"unknown field", menu(key, R"({"input":"x","tokens":1})"), 400, "malformed",
         "body.tokens"},
        {"unknown pipeline", post("/v1/pipelines/none", key, valid_body), 404, "unknown_target",
         "path"},
        {"path with a parent directory", post("/v1/pipelines/../pipelines/none", key, valid_body),
         404, "unknown_target", "path"},
        {"pool that is no service", post("/v1/services/finder/run", key, valid_body), 404,
         "unknown_target", "path"},
        {"operation with a parent directory",
         post("/v1/services/booking/%2e%2e%2fcancel", key, valid_body), 404, "unknown_target",
         "path"},
        {"operation with a line end", post("/v1/services/booking/a%0d%0aX:%20y", key, valid_body),
         404, "unknown_target", "path"},
        {"no operation", post("/v1/services/booking/", key, valid_body), 404, "unknown_target",
         "path"},
        {"other method", "GET /v1/pipelines/menu HTTP/1.1\r\nHost: x\r\n\r\n", 404,
         "unknown_target", "path"},
        {"unknown path", post("/admin", key, valid_body), 404, "unknown_target", "path"},
        {"frame number of letters",
         "GET /v1/requests/k/frames?from=x HTTP/1.1\r\nHost: x\r\n" + key + "\r\n", 400,
         "malformed", "from"},
        {"negative frame number",
         "GET /v1/requests/k/frames?from=-1 HTTP/1.1\r\nHost: x\r\n" + key + "\r\n", 400,
         "malformed", "from"},
        {"declared too large",
         "POST /v1/pipelines/menu HTTP/1.1\r\nHost: x\r\n" + key +
             "Content-Length: 99999999999\r\n\r\n",
         413, "too_large", "body"},
        {"no coding", framed("Transfer-Encoding: identity\r\n"), 400, "malformed",
         "Transfer-Encoding"},
        {"a second coding", framed("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"),
         400, "malformed", "Transfer-Encoding"},
        {"a length and chunks", framed("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"), 400,
         "malformed", "Transfer-Encoding"},
        {"chunked and too large", chunked_body(body_limit + 8192), 413, "too_large", "body"},
    };
}

}  // namespace

TEST_GROUP(hostile_input){};

TEST(hostile_input, is_refused_as_not_run_with_the_place_of_the_fault) {
    // GIVEN an instance
    topology known;
    known.pools[{"finder"}].name.value = "finder";
    known.pools[{"booking"}].kind = pool_kind::service;
    known.pipelines[{"menu"}].stages = {{{"find"}, {"finder"}}};
    fake_control control;
    const auto upstreams = std::move(upstream_client::start({}).value());
    retry_budget budget{{}};
    response_store responses{{}};
    caller_settings settings;
    settings.read_timeout = 500ms;
    caller_dependencies dependencies{control.client(), *upstreams, budget,  responses, known,
                                     {{"i1"}, {}, {}}, nullptr,    nullptr, nullptr};
    const auto server = std::move(caller_server::start(settings, std::move(dependencies)).value());

    for (const hostile_case& test_case : hostile_cases()) {
        // WHEN a caller sends this request
        const caller_reply reply = send_raw(server->port(), test_case.bytes);

        // THEN the problem has the right status, reason, execution state and place
        LONGS_EQUAL_TEXT(test_case.status, reply.status, test_case.name);
        CHECK_TEXT(reply.head.find("application/problem+json") != std::string::npos,
                   test_case.name);
        const nlohmann::json problem = nlohmann::json::parse(reply.body, nullptr, false);
        CHECK_TEXT(problem.is_object(), test_case.name);
        STRCMP_EQUAL_TEXT(test_case.reason, problem.value("reason", "").c_str(), test_case.name);
        STRCMP_EQUAL_TEXT("not_run", problem.value("execution", "").c_str(), test_case.name);
        STRCMP_EQUAL_TEXT(test_case.place, problem.value("place", "").c_str(), test_case.name);
    }

    // WHEN a caller sends invalid HTTP or an incomplete request THEN it
    // gets an error or no response
    const std::vector<std::string> invalid_requests{
        std::string("\0\1\2\3\r\n\r\n", 8),
        "POST /v1/pipelines/menu HTTP/9.9\r\n\r\n",
        "POST /v1/pipelines/menu HTTP/1.1\r\nX: " + std::string(70000, 'x') + "\r\n\r\n",
        "POST /v1/pipelines/menu HTTP/1.1\r\nHost: x\r\n" + key +
            "Content-Length: 50\r\n\r\n{\"input\"",
        "POST /v1/pipelines/menu HTTP/1.1\r\nHost: x\r\n" + key + "Content-Length: -5\r\n\r\n" +
            valid_body,
        "POST /v1/pipelines/menu HTTP/1.1\r\nHost: x\r\n" + key +
            "Transfer-Encoding: chunked\r\n\r\nzz\r\nxx\r\n0\r\n\r\n",
    };
    for (const std::string& bytes : invalid_requests) {
        const caller_reply reply = send_raw(server->port(), bytes);
        CHECK_TEXT(reply.status == 0 || reply.status >= 400, bytes.substr(0, 60).c_str());
    }

    // THEN nothing was admitted or run, and the listener still responds
    LONGS_EQUAL(0, control.granted);
    UNSIGNED_LONGS_EQUAL(0, control.all_posted<request_ended>().size());
    LONGS_EQUAL(200, send_request(server->port(), {"GET", "/livez", {}, {}}).status);
}
