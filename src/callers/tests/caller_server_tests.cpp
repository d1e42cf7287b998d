// Tests of the HTTP interface for callers, on real sockets.
#include "callers/caller_server.h"
#include "callers/tests/raw_caller.h"
#include "pipeline/tests/fake_control.h"
#include "upstreams/tests/scripted_upstream.h"

#include <stdexcept>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

constexpr int tokens_in_answer = 3;

void respond_normally(const upstream_request& request, const reply_socket& socket) {
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

//! An instance with a fake control loop and one upstream for all pools.
struct instance {
    instance(std::string name, const topology& wanted, upstream_script script)
        : self{{std::move(name)}, "peer", {"z1"}}, known(wanted), upstream(std::move(script)) {
        for (const auto& [pool, settings] : known.pools) {
            control.pools[pool.value] = {{"u-" + pool.value, upstream.address()}};
        }
        caller_dependencies dependencies{control.client(), *upstreams, budget,
                                         responses,        known,      self,
                                         nullptr,          nullptr,    nullptr};
        dependencies.read_peer = [this](const member& peer, std::string_view query, milliseconds) {
            return read_peer(peer, query);
        };
        dependencies.peers = [this] {
            std::vector<member> others;
            for (const instance* other : peers) {
                others.push_back(other->self);
            }
            return others;
        };
        dependencies.record = [this](const request_record& ended) {
            const std::lock_guard lock(control.mutex);
            records.push_back(ended);
            if (on_record) {
                on_record();
            }
        };
        server = std::move(caller_server::start({}, std::move(dependencies)).value());
    }

    result<std::string> read_peer(const member& peer, std::string_view query) {
        for (instance* other : peers) {
            if (other->self.id == peer.id && other->reachable) {
                return other->responses.handle_read(query);
            }
        }
        return error{error_kind::unreachable, "no such peer"};
    }

    [[nodiscard]] int port() const {
        return server->port();
    }

    member self;
    topology known;
    fake_control control;
    std::vector<request_record> records;
    std::function<void()> on_record;  //!< called for each record
    std::vector<instance*> peers;
    std::atomic<bool> reachable{true};
    scripted_upstream upstream;
    std::unique_ptr<upstream_client> upstreams = std::move(upstream_client::start({}).value());
    retry_budget budget{{}};
    response_store responses{{}};
    std::unique_ptr<caller_server> server;
};

//! Blocks waiting threads until it is opened, once.
class gate {
public:
    void open() {
        const std::lock_guard lock(mutex_);
        open_ = true;
        changed_.notify_all();
    }

    void wait() {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return open_; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool open_{false};
};

//! Responds to stages at once, and pauses token streams after the first token until the gate opens.
upstream_script gated_script(gate& open_later) {
    return [&open_later](const upstream_request& request, const reply_socket& socket) {
        if (request.path != "/v1/generate") {
            respond_normally(request, socket);
            return;
        }
        begin_stream(request, socket);
        send_token(request, socket, 0);
        open_later.wait();
        for (int index = 1; index < tokens_in_answer; ++index) {
            send_token(request, socket, index);
        }
        send_done(request, socket, tokens_in_answer);
        end_stream(socket);
    };
}

claim_reply make_claim(claim_verdict verdict, const member& runner) {
    claim_reply claim;
    claim.verdict = verdict;
    claim.runner = runner;
    return claim;
}

caller_request pipeline_request(const std::string& body) {
    caller_request request;
    request.path = "/v1/pipelines/menu";
    request.headers = {"Authorization: Bearer secret"};
    request.body = body;
    return request;
}

caller_request keyed_request(const std::string& key, const std::string& input = "dish") {
    caller_request request = pipeline_request(nlohmann::json{{"input", input}}.dump());
    request.headers.push_back("Idempotency-Key: " + key);
    return request;
}

caller_request frames_request(const std::string& key, int from) {
    caller_request request;
    request.method = "GET";
    request.path = "/v1/requests/" + key + "/frames?from=" + std::to_string(from);
    request.headers = {"Authorization: Bearer secret"};
    return request;
}

std::string problem_field(const caller_reply& reply, const char* name) {
    const nlohmann::json problem = nlohmann::json::parse(reply.body, nullptr, false);
    return problem.is_object() ? problem.value(name, "") : "";
}

void check_complete(const caller_reply& reply) {
    LONGS_EQUAL(200, reply.status);
    const auto frames = frames_of(reply);
    UNSIGNED_LONGS_EQUAL(tokens_in_answer + 1, frames.size());
    for (std::size_t at = 0; at < frames.size(); ++at) {
        UNSIGNED_LONGS_EQUAL(at, frames[at].at("frame").get<std::size_t>());
    }
    CHECK(frames.back().at("final") == true);
    STRCMP_EQUAL(digest_of("t0 t1 t2 ").c_str(), frames.back().value("digest", "").c_str());
}

template <typename Condition>
void wait_until(Condition condition) {
    while (!condition()) {
        std::this_thread::sleep_for(2ms);
    }
}

}  // namespace

TEST_GROUP(caller_server){};

TEST(caller_server, a_pipeline_streams_numbered_frames_and_a_final_one) {
    // GIVEN four stages that respond normally
    instance one("i1", four_stages(), respond_normally);

    // WHEN a caller sends a request
    const caller_reply reply =
        send_request(one.port(), pipeline_request(R"({"input":"dish","max_tokens":16})"));

    // THEN the frames are in order, and the last has count, digest and costs
    check_complete(reply);
    LONGS_EQUAL(tokens_in_answer, frames_of(reply).back().at("count").get<int>());
    UNSIGNED_LONGS_EQUAL(4, frames_of(reply).back().at("costs").size());

    // THEN each stage received the output of the one before it
    const auto stage_requests = one.upstream.requests();
    UNSIGNED_LONGS_EQUAL(4, stage_requests.size());
    STRCMP_EQUAL(
        "dish>encode>retrieve>rerank",
        nlohmann::json::parse(stage_requests[3].body).at("input").get<std::string>().c_str());

    // THEN the end of each attempt and of the request was reported to the control loop
    one.server.reset();
    UNSIGNED_LONGS_EQUAL(4, one.control.all_posted<attempt_ended>().size());
    UNSIGNED_LONGS_EQUAL(1, one.control.all_posted<request_ended>().size());
    LONGS_EQUAL(tokens_in_answer, one.control.all_posted<request_ended>()[0].tokens);
}

TEST(caller_server, a_repeat_joins_the_running_request_and_both_get_the_whole_response) {
    // GIVEN a running request with an idempotency key
    gate finish;
    instance one("i1", four_stages(), gated_script(finish));
    one.control.on_claim = [](const claim_request&) { return claim_reply{}; };
    caller_reply first;
    std::thread caller([&] { first = send_request(one.port(), keyed_request("k1")); });
    wait_until([&] { return one.upstream.requests().size() == 4; });

    // WHEN it is repeated at the same instance and at another one whose claim says to join
    instance two("i2", four_stages(), respond_normally);
    two.peers = {&one};
    two.control.on_claim = [&one](const claim_request&) {
        return make_claim(claim_verdict::join, one.self);
    };
    caller_reply second;
    caller_reply third;
    std::thread here([&] { second = send_request(one.port(), keyed_request("k1")); });
    std::thread there([&] { third = send_request(two.port(), keyed_request("k1")); });
    wait_until([&] { return one.server->running() >= 3; });
    finish.open();
    caller.join();
    here.join();
    there.join();

    // THEN all receive the whole response, and the request ran once
    check_complete(first);
    check_complete(second);
    check_complete(third);
    UNSIGNED_LONGS_EQUAL(4, one.upstream.requests().size());
    UNSIGNED_LONGS_EQUAL(0, two.upstream.requests().size());

    // THEN its frames can be read again from a given number at either instance
    for (const instance* any : {&one, &two}) {
        const caller_reply again = send_request(any->port(), frames_request("k1", 2));
        const auto frames = frames_of(again);
        UNSIGNED_LONGS_EQUAL(2, frames.size());
        LONGS_EQUAL(2, frames[0].at("frame").get<int>());
        CHECK(frames[1].at("final") == true);
    }

    // THEN the same key with another body is refused as not run
    const caller_reply reused = send_request(one.port(), keyed_request("k1", "other dish"));
    LONGS_EQUAL(409, reused.status);
    STRCMP_EQUAL("not_run", problem_field(reused, "execution").c_str());

    // THEN an unused key isn't found, nor is this key with another caller's secret
    LONGS_EQUAL(404, send_request(two.port(), frames_request("k2", 0)).status);
    caller_request foreign = frames_request("k1", 0);
    foreign.headers = {"Authorization: Bearer other"};
    LONGS_EQUAL(404, send_request(one.port(), foreign).status);
}

TEST(caller_server, an_unreachable_runner_is_replaced_without_lost_or_duplicate_frames) {
    // GIVEN a request that runs on one instance and is followed at another
    gate finish;
    instance one("i1", four_stages(), gated_script(finish));
    instance two("i2", four_stages(), respond_normally);
    two.peers = {&one};
    two.control.on_claim = [&one](const claim_request&) {
        return make_claim(claim_verdict::join, one.self);
    };
    caller_reply runner;
    std::thread caller([&] { runner = send_request(one.port(), keyed_request("k1")); });
    wait_until([&] { return one.upstream.requests().size() == 4; });
    const int socket = connect_to(two.port());
    send_bytes(socket, bytes_of(keyed_request("k1")));
    std::string head(1, ' ');
    (void)recv(socket, head.data(), 1, 0);  // the first frame has been received

    // WHEN the first instance becomes unreachable
    one.reachable = false;
    const caller_reply followed = parse_reply(head + read_to_end(socket));
    close(socket);

    // THEN the other runs the request and continues after the last frame sent
    check_complete(followed);
    UNSIGNED_LONGS_EQUAL(4, two.upstream.requests().size());
    finish.open();
    caller.join();
    check_complete(runner);
}

TEST(caller_server, a_keyed_request_outlives_its_caller_and_an_unkeyed_one_does_not) {
    // GIVEN two running requests, with and without an idempotency key
    gate finish;
    instance one("i1", four_stages(), gated_script(finish));
    const int keyed = connect_to(one.port());
    const int unkeyed = connect_to(one.port());
    send_bytes(keyed, bytes_of(keyed_request("k1")));
    send_bytes(unkeyed, bytes_of(pipeline_request(R"({"input":"dish"})")));
    wait_until([&] { return one.upstream.requests().size() == 8; });

    // WHEN both callers reset their connections, and the stages continue
    for (const int socket : {keyed, unkeyed}) {
        const linger hard{1, 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        close(socket);
    }
    finish.open();

    // THEN the keyed response is kept whole, and all runs end
    caller_reply again;
    wait_until([&] {
        again = send_request(one.port(), frames_request("k1", 0));
        return again.status == 200;
    });
    check_complete(again);
    wait_until([&] { return one.server->drained(); });
    UNSIGNED_LONGS_EQUAL(2, one.control.all_posted<request_ended>().size());
    UNSIGNED_LONGS_EQUAL(1, one.control.all_posted<claim_ended>().size());
}

// Guards against a process that ends because the end of one run can't be reported.
TEST(caller_server, an_exception_at_the_end_of_a_run_fails_neither_its_response_nor_the_next) {
    // GIVEN an instance that can't record the end of its first run
    instance one("i1", four_stages(), respond_normally);
    bool is_first = true;
    one.on_record = [&is_first] {
        if (std::exchange(is_first, false)) {
            throw std::runtime_error("unknown target");
        }
    };
    for (const char* key : {"k1", "k2"}) {
        // WHEN a request runs
        const caller_reply reply = send_request(one.port(), keyed_request(key));
        // THEN its response is complete, and its run is over
        check_complete(reply);
        wait_until([&] { return one.server->drained(); });
    }
    // THEN each request has ended for the control loop
    UNSIGNED_LONGS_EQUAL(2, one.control.all_posted<request_ended>().size());
    UNSIGNED_LONGS_EQUAL(2, one.control.all_posted<claim_ended>().size());
}

TEST(caller_server, a_stop_is_announced_before_requests_are_refused) {
    // GIVEN an instance that accepts requests
    instance one("i1", four_stages(), respond_normally);

    // WHEN its stop is announced
    one.server->announce_stop();

    // THEN the readiness check fails, and requests are still served
    LONGS_EQUAL(503, send_request(one.port(), {"GET", "/readyz", {}, {}}).status);
    check_complete(send_request(one.port(), pipeline_request(R"({"input":"dish"})")));
}

TEST(caller_server, a_stop_refuses_new_requests_and_finishes_the_running_ones) {
    // GIVEN a running request
    gate finish;
    instance one("i1", four_stages(), gated_script(finish));
    caller_reply running;
    std::thread caller(
        [&] { running = send_request(one.port(), pipeline_request(R"({"input":"dish"})")); });
    wait_until([&] { return one.upstream.requests().size() == 4; });

    // WHEN the instance stops accepting requests
    one.server->stop_accepting();

    // THEN it is not ready, refuses requests as not run, and closes their connections
    const caller_reply refused = send_request(one.port(), pipeline_request(R"({"input":"dish"})"));
    LONGS_EQUAL(503, refused.status);
    STRCMP_EQUAL("stopping", problem_field(refused, "reason").c_str());
    STRCMP_EQUAL("not_run", problem_field(refused, "execution").c_str());
    CHECK(refused.head.find("Connection: close") != std::string::npos);
    LONGS_EQUAL(503, send_request(one.port(), {"GET", "/readyz", {}, {}}).status);
    LONGS_EQUAL(200, send_request(one.port(), {"GET", "/livez", {}, {}}).status);
    CHECK_FALSE(one.server->drained());

    // THEN the running request gets its whole response, and the instance is drained
    finish.open();
    caller.join();
    check_complete(running);
    wait_until([&] { return one.server->drained(); });
}

TEST(caller_server, services_respond_or_refuse_with_the_execution_state) {
    // GIVEN a service and an owner that grants permits
    instance one("i1", four_stages(), respond_normally);
    one.control.on_permit = [](const permit_request&) {
        permit_reply permit;
        permit.verdict = permit_verdict::granted;
        permit.permit = "p1";
        return permit;
    };
    caller_request book;
    book.path = "/v1/services/booking/book";
    book.headers = {"Authorization: Bearer secret"};
    book.body = R"({"seats":2})";

    // WHEN a booking is sent without a key THEN it is refused as not run
    const caller_reply refused = send_request(one.port(), book);
    LONGS_EQUAL(400, refused.status);
    STRCMP_EQUAL("key_required", problem_field(refused, "reason").c_str());
    STRCMP_EQUAL("Idempotency-Key", problem_field(refused, "place").c_str());
    UNSIGNED_LONGS_EQUAL(0, one.upstream.requests().size());

    // WHEN it is sent with a key THEN it runs, and the service receives its key and body
    book.headers.emplace_back("Idempotency-Key: k1");
    const caller_reply booked = send_request(one.port(), book);
    LONGS_EQUAL(200, booked.status);
    STRCMP_EQUAL("call>book", problem_field(booked, "output").c_str());
    STRCMP_EQUAL("k1", one.upstream.requests().at(0).headers.at("idempotency-key").c_str());
    UNSIGNED_LONGS_EQUAL(1, one.control.all_posted<call_ended>().size());

    // WHEN admission refuses THEN the caller gets the refusal, and no request is reported as ended
    one.control.admit_refusal =
        refusal{refusal_reason::rate_limited, execution::not_run, {}, {}, 1500ms};
    const caller_reply limited = send_request(one.port(), book);
    LONGS_EQUAL(429, limited.status);
    CHECK(limited.head.find("Retry-After: 2") != std::string::npos);
    UNSIGNED_LONGS_EQUAL(1, one.control.all_posted<request_ended>().size());
}
