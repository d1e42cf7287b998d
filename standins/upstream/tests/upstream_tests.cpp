#include "standins/common/testing.h"
#include "standins/upstream/upstream.h"
#include "standins/upstream/work_text.h"

#include <memory>
#include <sstream>

#include <nlohmann/json.hpp>

// clang-format off
#include <CppUTest/TestHarness.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
// clang-format on

using namespace cyclamenmount;
using namespace cyclamenmount::standins;
using nlohmann::json;

namespace {

const bool leak_detection_off = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

struct fixture {
    std::unique_ptr<upstream> engine;
    std::unique_ptr<http_loop> loop = std::move(http_loop::start().value());

    explicit fixture(const std::string& control = "{}") {
        const auto settings = parse_upstream_settings(
            "id=E1,pool=engines,kind=engine,zone=z,warm=1,stage_ms=1,token_ms=1");
        engine = std::move(upstream::start(settings.value()).value());
        exchange_with(*loop, "POST", engine->address(), "/_control", control);
    }

    http_response post(const std::string& path, const json& body, const std::string& attempt) {
        return exchange_with(
            *loop, "POST", engine->address(), path, body.dump(),
            {"X-Request-Id: r1", "X-Stage: s1", "X-Attempt: " + attempt, "Idempotency-Key: k1"});
    }

    json truth() {
        return json::parse(exchange_with(*loop, "GET", engine->address(), "/_truth").body);
    }
};

std::vector<std::string> tokens_of(const std::string& body) {
    std::vector<std::string> tokens;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        const json value = json::parse(line);
        if (value.contains("token")) {
            tokens.push_back(value["token"]);
        }
    }
    return tokens;
}

}  // namespace

// clang-format off
TEST_GROUP(upstream_responses) {};

// clang-format on

TEST(upstream_responses, resumed_stream_continues_with_the_same_tokens) {
    fixture given;
    const json whole{{"input", "menu"}, {"max_tokens", 6}};
    const json rest{{"input", "menu"}, {"max_tokens", 6}, {"resume_from", 4}};
    const auto tokens = tokens_of(given.post("/v1/generate", whole, "a1").body);
    const auto resumed = tokens_of(given.post("/v1/generate", rest, "a2").body);
    LONGS_EQUAL(6, tokens.size());
    CHECK((std::vector<std::string>(tokens.begin() + 4, tokens.end()) == resumed));
}

TEST(upstream_responses, ids_are_echoed) {
    fixture given;
    const http_response response = given.post("/v1/run", {{"input", "text"}}, "a1");
    const json body = json::parse(response.body);
    STRCMP_EQUAL("r1", response.headers.at("x-request-id").c_str());
    STRCMP_EQUAL("a1", response.headers.at("x-attempt").c_str());
    STRCMP_EQUAL("s1", body["stage"].get<std::string>().c_str());
    STRCMP_EQUAL(output_of("engines", "text").c_str(), body["output"].get<std::string>().c_str());
}

TEST(upstream_responses, faults_apply_to_the_first_attempt_only) {
    for (const char* fault : {"fail_on", "truncate_on", "misdirect_on", "duplicate_on"}) {
        // GIVEN a fault for inputs that contain a text
        fixture given(json{{fault, "BAD"}}.dump());
        const json body{{"input", "a BAD text"}};
        const std::string good = given.post("/v1/run", {{"input", "a good text"}}, "a0").body;
        CHECK(!good.empty());
        // WHEN such an input arrives as the second attempt of a request id
        const http_response repeat = given.post("/v1/run", body, "a2");
        // THEN the response is complete
        LONGS_EQUAL(200, repeat.status);
        CHECK(json::parse(repeat.body)["request"] == "r1");
    }
}

TEST(upstream_responses, each_fault_affects_the_first_response) {
    for (const char* fault : {"fail_on", "truncate_on", "misdirect_on", "duplicate_on"}) {
        fixture given(json{{fault, "BAD"}}.dump());
        const http_response first = given.post("/v1/run", {{"input", "a BAD text"}}, "a1");
        const json body = json::parse(first.body, nullptr, false);
        const bool whole = first.status == 200 && body.is_object() && body["request"] == "r1";
        CHECK(!whole);
        UNSIGNED_LONGS_EQUAL(1, given.truth()["runs_by_key"]["k1"].get<unsigned>());
    }
}

TEST(upstream_responses, crash_aborts_the_response_and_is_counted_once) {
    fixture given(R"({"crash_on":"BAD","restart_after_ms":1})");
    const http_response response = given.post("/v1/run", {{"input", "a BAD text"}}, "a1");
    LONGS_EQUAL(0, response.status);
    json truth;
    for (int i = 0; i < 1000 && !truth.is_object(); ++i) {
        const http_response read =
            exchange_with(*given.loop, "GET", given.engine->address(), "/_truth");
        truth = json::parse(read.body, nullptr, false);
    }
    UNSIGNED_LONGS_EQUAL(1, truth["crashes"].get<unsigned>());
}

// Guards against a stop whose notification is lost, so that the supervisor waits for ever.
TEST(upstream_responses, an_upstream_that_is_stopped_as_it_starts_ends) {
    // GIVEN upstreams whose supervisors are about to wait
    const auto settings = parse_upstream_settings("id=E1,pool=engines,kind=engine,zone=z");
    for (int i = 0; i < 30; ++i) {
        auto engine = std::move(upstream::start(settings.value()).value());
        // WHEN each is stopped at once
        engine.reset();
        // THEN it ends
        CHECK_TRUE(engine == nullptr);
    }
}

TEST(upstream_responses, malformed_settings_are_rejected) {
    for (const char* text : {"", "id=E1", "pool=p", "id=E1,pool=p,kind=tank", "id=E1,pool=p,x=1",
                             "id=E1,pool=p,capacity=-1", "id=E1,pool=p,capacity=8x", "id"}) {
        CHECK(!parse_upstream_settings(text));
    }
}
