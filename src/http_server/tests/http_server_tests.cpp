// Tests of the HTTP server on real sockets.
#include "http_server/http_server.h"
#include "standins/common/testing.h"

#include <stdexcept>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using standins::exchange_with;

TEST_GROUP(http_server){};

// Guards against a process that ends because the handler of one request throws.
TEST(http_server, an_exception_of_the_handler_fails_only_its_request) {
    // GIVEN a server whose handler throws for one path
    const auto handler = [](const http_server_request& request) -> http_server_response {
        if (request.path == "/fails") {
            throw std::runtime_error("unexpected field");
        }
        return {200, "application/json", {}, "{}"};
    };
    const auto server = std::move(http_server::start({"127.0.0.1:0"}, handler).value());
    const auto client = std::move(http_loop::start().value());
    const std::string address = "127.0.0.1:" + std::to_string(server->port());
    // WHEN that path is requested
    const http_response failed = exchange_with(*client, "GET", address, "/fails");
    // THEN the response is a problem without details of the exception
    LONGS_EQUAL(500, failed.status);
    STRCMP_EQUAL("application/problem+json", failed.headers.at("content-type").c_str());
    STRCMP_EQUAL(R"({"title":"internal error","status":500})", failed.body.c_str());
    // THEN the next request is served
    LONGS_EQUAL(200, exchange_with(*client, "GET", address, "/works").status);
}
