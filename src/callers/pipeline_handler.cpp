#include "callers/internal/server_state.h"

#include <exception>
#include <thread>

#include <boost/outcome/try.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

namespace {

constexpr auto peer_poll_period = 25ms;
constexpr auto peer_read_timeout = 500ms;
constexpr auto local_wait = 100ms;
constexpr auto end_grace = 2000ms;  //!< time after the deadline for the run to end by itself

refusal refuse(refusal_reason reason, execution state, std::string detail, std::string place) {
    return {reason, state, std::move(detail), std::move(place), {}};
}

//! A pipeline request and its caller, with or without an idempotency key.
struct pipeline_exchange {
    server_state& server;
    http_exchange& http;
    const pipeline_settings& pipeline;
    pipeline_input input;
    std::shared_ptr<admitted> request;
    std::size_t next_frame{0};
    bool runs_locally{false};  //!< the run on this instance records the request in the metrics
    std::optional<refusal> refused{};
    bool caller_gone{false};
};

response_key key_of(const pipeline_exchange& exchange) {
    return {exchange.request->caller_key_sha256, exchange.request->request.key};
}

//! Runs the pipeline; ends the response also if the run throws an exception.
run_result run_guarded(server_state& server, const pipeline_settings& pipeline,
                       const admitted_request& request, const pipeline_input& input,
                       response_stream& sink) {
    try {
        return run_pipeline(environment_of(server), pipeline, request, input, sink);
    } catch (const std::exception& failure) {
        LOG(ERROR) << "callers: pipeline run failed with an exception: " << failure.what();
    }
    run_result ended;
    ended.refused = refuse(refusal_reason::internal, execution::may_have_run, {}, {});
    sink.fail(*ended.refused);
    return ended;
}

//! Runs the pipeline and reports the end of the request.
void run_and_report(server_state& server, const pipeline_settings& pipeline,
                    const admitted& request, const pipeline_input& input, response_stream& sink) {
    run_result ended = run_guarded(server, pipeline, request.request, input, sink);
    request.guard->set_tokens(ended.tokens);
    if (!request.request.key.empty()) {
        const admitted_request& done = request.request;
        server.dependencies.control.post(claim_ended{{done.workspace, done.key, done.request}});
    }
    const instant first = sink.first_token_at();
    const milliseconds first_frame = first == instant{} ? 0ms : first - request.started;
    record_end(server, request, ended.refused, std::move(ended.costs), first_frame);
}

//! Runs the stages on a separate thread, so that a slow caller doesn't delay the upstreams.
void start_run(pipeline_exchange& exchange, const std::shared_ptr<response_stream>& sink) {
    exchange.runs_locally = true;
    auto counted = std::make_shared<scoped_counter>(exchange.server.running);
    auto run = [&server = exchange.server, &pipeline = exchange.pipeline, input = exchange.input,
                request = exchange.request, sink, counted = std::move(counted)]() mutable {
        try {
            run_and_report(server, pipeline, *request, input, *sink);
        } catch (const std::exception& failure) {
            LOG(ERROR) << "callers: the end of request " << request->request.request.value
                       << " could not be reported: unexpected exception: " << failure.what();
        }
        request.reset();
        counted.reset();
    };
    try {
        std::thread(std::move(run)).detach();
    } catch (const std::exception& failure) {
        LOG(ERROR) << "callers: no thread could be started for a pipeline run: " << failure.what();
        sink->fail(refuse(refusal_reason::overloaded, execution::not_run,
                          "no thread could be started for the run", {}));
    }
}

void send_part(pipeline_exchange& exchange, const response_part& part) {
    const bool nothing_new = part.frames.empty() && !part.ended;
    if (nothing_new || exchange.caller_gone) {
        return;
    }
    exchange.refused = part.refused;
    exchange.caller_gone = !exchange.http.send_frames(part, exchange.next_frame);
    exchange.next_frame += part.frames.size();
}

//! Sends an error frame, or a problem if no frame was sent yet, when the run itself doesn't end the
//! response.
void end_with_refusal(pipeline_exchange& exchange, refusal refused) {
    response_stream last(exchange.request->request.request, {});
    last.fail(refused);
    response_part part = last.read(0, 1);
    if (exchange.next_frame > 0) {
        nlohmann::json frame = nlohmann::json::parse(part.frames.front());
        frame["frame"] = exchange.next_frame;
        part.frames.front() = frame.dump();
    }
    send_part(exchange, part);
}

bool is_past_end(const pipeline_exchange& exchange) {
    return boot_clock::now() > exchange.request->request.deadline + end_grace;
}

void follow_local(pipeline_exchange& exchange, response_stream& source) {
    for (;;) {
        const response_part part = source.wait(exchange.next_frame, local_wait);
        send_part(exchange, part);
        if (part.ended) {
            return;
        }
        if (exchange.caller_gone) {
            if (exchange.request->request.key.empty()) {
                source.abandon();
            }
            return;
        }
        if (is_past_end(exchange)) {
            end_with_refusal(exchange,
                             refuse(refusal_reason::deadline_exceeded, execution::may_have_run,
                                    "the response did not end in the time left before the deadline",
                                    {}));
            return;
        }
    }
}

//! How following a peer's response ended: it ended, the peer can't be read any more, or the
//! response had failed before the first read, so that the request may run again.
enum class follow_result { ended, lost, already_failed };

//! Forwards the frames of a response whose request runs on another instance.
follow_result follow_peer(pipeline_exchange& exchange, const member& runner) {
    bool joined = false;
    while (!exchange.caller_gone) {
        const std::string query = read_query(key_of(exchange), exchange.next_frame);
        const auto reply = exchange.server.dependencies.read_peer(runner, query, peer_read_timeout);
        if (!reply) {
            return follow_result::lost;
        }
        const auto part = parse_read_reply(reply.value());
        if (!part) {
            return follow_result::lost;
        }
        if (!joined && part.value().refused) {
            return follow_result::already_failed;
        }
        joined = true;
        send_part(exchange, part.value());
        if (part.value().ended) {
            return follow_result::ended;
        }
        if (boot_clock::now() > exchange.request->request.deadline) {
            end_with_refusal(exchange,
                             refuse(refusal_reason::deadline_exceeded, execution::may_have_run,
                                    "the response did not end in the time left before the deadline",
                                    {}));
            return follow_result::ended;
        }
        std::this_thread::sleep_for(peer_poll_period);
    }
    return follow_result::ended;
}

void refuse_reused_key(pipeline_exchange& exchange) {
    end_with_refusal(exchange, refuse(refusal_reason::key_reused, execution::not_run,
                                      "the key was used with another request", "Idempotency-Key"));
}

void run_or_join_locally(pipeline_exchange& exchange, bool claimed) {
    const admitted_request& request = exchange.request->request;
    const begun_response entry = exchange.server.dependencies.responses.begin(
        key_of(exchange), request.body, request.request);
    if (entry.status == begin_status::created) {
        start_run(exchange, entry.value);
    } else if (claimed) {
        exchange.server.dependencies.control.post(
            claim_ended{{request.workspace, request.key, request.request}});
    }
    if (entry.status == begin_status::key_reused) {
        refuse_reused_key(exchange);
        return;
    }
    follow_local(exchange, *entry.value);
}

claim_reply request_claim(pipeline_exchange& exchange) {
    const admitted_request& request = exchange.request->request;
    const control_client& control = exchange.server.dependencies.control;
    claim_request wanted;
    wanted.number = control.next_ticket();
    wanted.workspace = request.workspace;
    wanted.key = request.key;
    wanted.body = request.body;
    wanted.request = request.request;
    wanted.lasts_at_most = std::max(request.deadline - boot_clock::now(), milliseconds(1));
    return control.claim(wanted,
                         std::min(wanted.lasts_at_most, exchange.server.settings.decision_timeout));
}

void serve_keyed(pipeline_exchange& exchange) {
    std::optional<instance_id> skipped_runner;
    while (!exchange.caller_gone) {
        claim_reply claim = request_claim(exchange);
        if (claim.verdict == claim_verdict::key_reused) {
            refuse_reused_key(exchange);
            return;
        }
        const bool runs_elsewhere = claim.verdict == claim_verdict::join &&
                                    claim.runner.id != exchange.server.dependencies.self.id &&
                                    claim.runner.id != skipped_runner;
        if (!runs_elsewhere) {
            exchange.input.finished = std::move(claim.finished_stages);
            run_or_join_locally(exchange, claim.verdict == claim_verdict::run);
            return;
        }
        if (follow_peer(exchange, claim.runner) == follow_result::ended) {
            return;
        }
        skipped_runner = claim.runner.id;
    }
}

void serve_unkeyed(pipeline_exchange& exchange) {
    const admitted_request& request = exchange.request->request;
    auto sink = std::make_shared<response_stream>(request.request, request.body);
    start_run(exchange, sink);
    follow_local(exchange, *sink);
}

struct parsed_request {
    const pipeline_settings* pipeline{nullptr};
    request_fields fields;
    pipeline_body body;
    std::string text;
};

decided<parsed_request> parse(const server_state& server, const http_exchange& http,
                              std::string_view name) {
    parsed_request parsed;
    BOOST_OUTCOME_TRY(headers, http.headers());
    BOOST_OUTCOME_TRY(parsed_fields, parse_fields(headers));
    parsed.fields = std::move(parsed_fields);
    const auto found = server.dependencies.known.pipelines.find({std::string(name)});
    if (found == server.dependencies.known.pipelines.end()) {
        return refuse(refusal_reason::unknown_target, execution::not_run,
                      "no such pipeline is configured", "path");
    }
    parsed.pipeline = &found->second;
    BOOST_OUTCOME_TRY(parsed_text, http.read_body(server.settings.max_body_bytes));
    parsed.text = std::move(parsed_text);
    BOOST_OUTCOME_TRY(parsed_body, parse_pipeline_body(parsed.text));
    parsed.body = std::move(parsed_body);
    return parsed;
}

decided<admitted> admit_parsed(server_state& server, const parsed_request& parsed) {
    const pipeline_settings& pipeline = *parsed.pipeline;
    admission_wanted wanted;
    wanted.pipeline = pipeline.name;
    wanted.max_tokens = parsed.body.max_tokens;
    const std::string target = "pipeline/" + pipeline.name.value;
    wanted.body = fingerprint_of(parsed.fields.key_sha256, target, parsed.text);
    const bool has_deadline = parsed.fields.deadline > 0ms;
    auto decision = admit(server, parsed.fields, wanted,
                          has_deadline ? parsed.fields.deadline : pipeline.deadline);
    if (decision) {
        decision.value().target = pipeline.name.value;
    }
    return decision;
}

}  // namespace

void serve_pipeline(server_state& server, http_exchange& http, std::string_view name) {
    const auto parsed = parse(server, http, name);
    if (!parsed) {
        record_refusal(server, std::string(), parsed.error());
        http.send_problem(parsed.error());
        return;
    }
    auto decision = admit_parsed(server, parsed.value());
    if (!decision) {
        record_refusal(server, parsed.value().pipeline->name.value, decision.error());
        http.send_problem(decision.error());
        return;
    }
    const pipeline_body& body = parsed.value().body;
    pipeline_exchange exchange{server,
                               http,
                               *parsed.value().pipeline,
                               {body.input, body.max_tokens, {}},
                               std::make_shared<admitted>(std::move(decision.value()))};
    if (exchange.request->request.key.empty()) {
        serve_unkeyed(exchange);
    } else {
        serve_keyed(exchange);
    }
    if (!exchange.runs_locally) {
        record_end(server, *exchange.request, exchange.refused, {}, 0ms);
    }
}

}  // namespace cyclamenmount::detail
