// Contract of the callers' interface, on real sockets.
#include "callers/caller_server.h"
#include "callers/tests/raw_caller.h"
#include "pipeline/tests/fake_control.h"
#include "upstreams/tests/scripted_upstream.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

const bool leaks_unchecked = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

constexpr int tokens_in_answer = 3;

void answer_rightly(const upstream_request& request, const reply_socket& socket) {
    if (request.path == "/v1/generate") {
        stream_tokens(request, socket, tokens_in_answer);
        return;
    }
    const nlohmann::json body = nlohmann::json::parse(request.body);
    send_output(request, socket, body.value("input", "call") + ">" + request.headers.at("x-stage"));
}

pool_settings pool_of(const char* name, pool_kind kind) {
    pool_settings pool;
    pool.name.value = name;
    pool.kind = kind;
    return pool;
}

topology four_stages() {
    topology known;
    for (const char* name : {"encode", "retrieve", "rerank"}) {
        known.pools[{name}] = pool_of(name, pool_kind::stage);
    }
    known.pools[{"engine"}] = pool_of("engine", pool_kind::engine);
    known.pools[{"booking"}] = pool_of("booking", pool_kind::service);
    known.pools[{"booking"}].idempotent = {"look_up"};
    pipeline_settings menu{{"menu"}, {}};
    for (const char* name : {"encode", "retrieve", "rerank", "engine"}) {
        menu.stages.push_back({{name}, {name}});
    }
    known.pipelines[menu.name] = menu;
    return known;
}

//! One instance with a fake control side and one upstream for all pools.
struct instance {
    explicit instance(const topology& topology_known, upstream_script script)
        : known(topology_known), upstream(std::move(script)) {
        for (const auto& [name, pool] : known.pools) {
            control.pools[name.value] = {{"u-" + name.value, upstream.address()}};
        }
        caller_dependencies with{control.client(), *upstreams, budget,
                                 answers,          known,      {{"i1"}, "127.0.0.1:1", {"z1"}},
                                 nullptr,          nullptr,    nullptr};
        server = std::move(caller_server::start({}, std::move(with)).value());
    }

    topology known;
    fake_control control;
    scripted_upstream upstream;
    std::unique_ptr<upstream_client> upstreams = std::move(upstream_client::start({}).value());
    retry_budget budget{{}};
    answer_store answers{{}};
    std::unique_ptr<caller_server> server;
};

caller_request pipeline_request(const std::string& body) {
    caller_request asked;
    asked.path = "/v1/pipelines/menu";
    asked.headers = {"Authorization: Bearer secret"};
    asked.body = body;
    return asked;
}

}  // namespace

TEST_GROUP(caller_server){};

TEST(caller_server, a_pipeline_streams_numbered_frames_and_a_final_one) {
    // GIVEN four stages that answer rightly
    instance one(four_stages(), answer_rightly);

    // WHEN a caller asks
    const caller_reply reply =
        ask(one.server->port(), pipeline_request(R"({"input":"dish","max_tokens":16})"));

    // THEN the frames come in order, the last with count and digest
    LONGS_EQUAL(200, reply.status);
    const auto frames = frames_of(reply);
    UNSIGNED_LONGS_EQUAL(tokens_in_answer + 1, frames.size());
    for (std::size_t at = 0; at < frames.size(); ++at) {
        UNSIGNED_LONGS_EQUAL(at, frames[at].at("frame").get<std::size_t>());
    }
    CHECK(frames.back().at("final") == true);
    LONGS_EQUAL(tokens_in_answer, frames.back().at("count").get<int>());
    STRCMP_EQUAL(digest_of("t0 t1 t2 ").c_str(),
                 frames.back().at("digest").get<std::string>().c_str());
    UNSIGNED_LONGS_EQUAL(4, frames.back().at("costs").size());

    // THEN each stage was given what the one before it put out
    const auto asked = one.upstream.requests();
    UNSIGNED_LONGS_EQUAL(4, asked.size());
    STRCMP_EQUAL("dish>encode>retrieve>rerank",
                 nlohmann::json::parse(asked[3].body).at("input").get<std::string>().c_str());

    // THEN the control side heard of the end of each attempt and of the request
    one.server.reset();
    UNSIGNED_LONGS_EQUAL(4, one.control.all_posted<attempt_ended>().size());
    UNSIGNED_LONGS_EQUAL(1, one.control.all_posted<request_ended>().size());
    LONGS_EQUAL(tokens_in_answer, one.control.all_posted<request_ended>()[0].tokens);
}
