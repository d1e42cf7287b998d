#include "callers/internal/serving.h"

#include <system_error>
#include <thread>

#include <boost/outcome/try.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

namespace {

constexpr auto peer_poll_period = 25ms;
constexpr auto peer_read_timeout = 500ms;
constexpr auto local_wait = 100ms;
constexpr auto end_grace = 2000ms;  //!< past the deadline, for the run's own end

refusal refuse(refusal_reason reason, execution state, std::string detail, std::string place) {
    return {reason, state, std::move(detail), std::move(place), {}};
}

//! One keyed or unkeyed pipeline request and its caller.
struct exchange {
    serving& shared;
    http_exchange& http;
    const pipeline_settings& pipeline;
    pipeline_input input;
    std::shared_ptr<admitted> request;
    std::size_t next_frame{0};
    bool runs_here{false};  //!< the run hands the request to the metrics
    std::optional<refusal> refused{};
    bool caller_gone{false};
};

answer_key key_of(const exchange& one) {
    return {one.request->owner, one.request->request.key};
}

//! Ends the answer even if the run fails in a way that it doesn't know itself.
run_result run_guarded(serving& shared, const pipeline_settings& pipeline,
                       const admitted_request& request, const pipeline_input& input, answer& sink) {
    try {
        return run_pipeline(environment_of(shared), pipeline, request, input, sink);
    } catch (const std::exception& failed) {
        LOG(ERROR) << "callers: run failed: " << failed.what();
    }
    run_result ended;
    ended.refused = refuse(refusal_reason::internal, execution::may_have_run, {}, {});
    sink.fail(*ended.refused);
    return ended;
}

//! Runs the stages on a thread of their own, so that a slow caller holds up no upstream.
void start_run(exchange& one, const std::shared_ptr<answer>& sink) {
    one.runs_here = true;
    auto counted = std::make_shared<running_guard>(one.shared.running);
    auto run = [&shared = one.shared, &pipeline = one.pipeline, input = one.input,
                request = one.request, sink, counted = std::move(counted)]() mutable {
        run_result ended = run_guarded(shared, pipeline, request->request, input, *sink);
        request->guard->set_tokens(ended.tokens);
        if (!request->request.key.empty()) {
            const admitted_request& done = request->request;
            shared.with.control.post(claim_ended{{done.workspace, done.key, done.request}});
        }
        const instant first = sink->first_at();
        const milliseconds first_frame = first == instant{} ? 0ms : first - request->begun;
        record_end(shared, *request, ended.refused, std::move(ended.costs), first_frame);
        request.reset();
        counted.reset();
    };
    try {
        std::thread(std::move(run)).detach();
    } catch (const std::system_error& failed) {
        LOG(ERROR) << "callers: no thread for a run: " << failed.what();
        sink->fail(refuse(refusal_reason::overloaded, execution::not_run, "no thread", {}));
    }
}

void send_part(exchange& one, const answer_part& part) {
    const bool nothing_new = part.frames.empty() && !part.ended;
    if (nothing_new || one.caller_gone) {
        return;
    }
    one.refused = part.refused;
    one.caller_gone = !one.http.send_frames(part, one.next_frame);
    one.next_frame += part.frames.size();
}

//! Ends the answer from here, because nobody else does.
void end_with(exchange& one, refusal why) {
    answer last(one.request->request.request, {});
    last.fail(why);
    answer_part part = last.read(0, 1);
    if (one.next_frame > 0) {
        nlohmann::json frame = nlohmann::json::parse(part.frames.front());
        frame["frame"] = one.next_frame;
        part.frames.front() = frame.dump();
    }
    send_part(one, part);
}

bool past_end(const exchange& one) {
    return boot_clock::now() > one.request->request.deadline + end_grace;
}

void follow_local(exchange& one, answer& source) {
    for (;;) {
        const answer_part part = source.wait(one.next_frame, local_wait);
        send_part(one, part);
        if (part.ended) {
            return;
        }
        if (one.caller_gone) {
            if (one.request->request.key.empty()) {
                source.abandon();
            }
            return;
        }
        if (past_end(one)) {
            end_with(one, refuse(refusal_reason::deadline_exceeded, execution::may_have_run,
                                 "the answer did not end in time", {}));
            return;
        }
    }
}

enum class follow_end { ended, lost, failed_before };

//! Reads the frames of an answer that another instance runs.
follow_end follow_peer(exchange& one, const member& runner) {
    bool joined = false;
    while (!one.caller_gone) {
        const std::string query = read_query(key_of(one), one.next_frame);
        const auto reply = one.shared.with.read_peer(runner, query, peer_read_timeout);
        if (!reply) {
            return follow_end::lost;
        }
        const auto part = parse_read_reply(reply.value());
        if (!part) {
            return follow_end::lost;
        }
        if (!joined && part.value().refused) {
            return follow_end::failed_before;
        }
        joined = true;
        send_part(one, part.value());
        if (part.value().ended) {
            return follow_end::ended;
        }
        if (boot_clock::now() > one.request->request.deadline) {
            end_with(one, refuse(refusal_reason::deadline_exceeded, execution::may_have_run,
                                 "the answer did not end in time", {}));
            return follow_end::ended;
        }
        std::this_thread::sleep_for(peer_poll_period);
    }
    return follow_end::ended;
}

void refuse_reused_key(exchange& one) {
    end_with(one, refuse(refusal_reason::key_reused, execution::not_run,
                         "the key was used with another request", "Idempotency-Key"));
}

void run_or_join_here(exchange& one, bool claimed) {
    const admitted_request& request = one.request->request;
    const begun_answer begun =
        one.shared.with.answers.begin(key_of(one), request.body, request.request);
    if (begun.verdict == begin_verdict::created) {
        start_run(one, begun.value);
    } else if (claimed) {
        one.shared.with.control.post(
            claim_ended{{request.workspace, request.key, request.request}});
    }
    if (begun.verdict == begin_verdict::key_reused) {
        refuse_reused_key(one);
        return;
    }
    follow_local(one, *begun.value);
}

claim_reply ask_claim(exchange& one) {
    const admitted_request& request = one.request->request;
    const control_client& control = one.shared.with.control;
    claim_request asked;
    asked.number = control.next_ticket();
    asked.workspace = request.workspace;
    asked.key = request.key;
    asked.body = request.body;
    asked.request = request.request;
    asked.lasts_at_most = std::max(request.deadline - boot_clock::now(), milliseconds(1));
    return control.claim(asked, std::min(asked.lasts_at_most, one.shared.settings.decision_limit));
}

void serve_keyed(exchange& one) {
    std::optional<instance_id> lost;
    while (!one.caller_gone) {
        claim_reply claim = ask_claim(one);
        if (claim.verdict == claim_verdict::key_reused) {
            refuse_reused_key(one);
            return;
        }
        const bool elsewhere = claim.verdict == claim_verdict::join &&
                               claim.runner.id != one.shared.with.self.id &&
                               claim.runner.id != lost;
        if (!elsewhere) {
            one.input.finished = std::move(claim.finished_stages);
            run_or_join_here(one, claim.verdict == claim_verdict::run);
            return;
        }
        if (follow_peer(one, claim.runner) == follow_end::ended) {
            return;
        }
        lost = claim.runner.id;
    }
}

void serve_unkeyed(exchange& one) {
    const admitted_request& request = one.request->request;
    auto sink = std::make_shared<answer>(request.request, request.body);
    start_run(one, sink);
    follow_local(one, *sink);
}

struct parsed_request {
    const pipeline_settings* pipeline{nullptr};
    request_fields fields;
    pipeline_body body;
    std::string text;
};

decided<parsed_request> parse(const serving& shared, const http_exchange& http,
                              std::string_view name) {
    parsed_request parsed;
    BOOST_OUTCOME_TRY(headers, http.headers());
    BOOST_OUTCOME_TRY(parsed_fields, parse_fields(headers));
    parsed.fields = std::move(parsed_fields);
    const auto found = shared.with.known.pipelines.find({std::string(name)});
    if (found == shared.with.known.pipelines.end()) {
        return refuse(refusal_reason::unknown_target, execution::not_run, "no such pipeline",
                      "path");
    }
    parsed.pipeline = &found->second;
    BOOST_OUTCOME_TRY(parsed_text, http.read_body(shared.settings.max_body_bytes));
    parsed.text = std::move(parsed_text);
    BOOST_OUTCOME_TRY(parsed_body, parse_pipeline_body(parsed.text));
    parsed.body = std::move(parsed_body);
    return parsed;
}

decided<admitted> admit_parsed(serving& shared, const parsed_request& parsed) {
    const pipeline_settings& pipeline = *parsed.pipeline;
    admission_wanted wanted;
    wanted.pipeline = pipeline.name;
    wanted.max_tokens = parsed.body.max_tokens;
    const std::string target = "pipeline/" + pipeline.name.value;
    wanted.body = fingerprint_of(parsed.fields.key_sha256, target, parsed.text);
    const bool given = parsed.fields.deadline > 0ms;
    auto decision =
        admit(shared, parsed.fields, wanted, given ? parsed.fields.deadline : pipeline.deadline);
    if (decision) {
        decision.value().target = pipeline.name.value;
    }
    return decision;
}

}  // namespace

void serve_pipeline(serving& shared, http_exchange& http, std::string_view name) {
    const auto parsed = parse(shared, http, name);
    if (!parsed) {
        record_refusal(shared, std::string(), parsed.error());
        http.send_problem(parsed.error());
        return;
    }
    auto decision = admit_parsed(shared, parsed.value());
    if (!decision) {
        record_refusal(shared, parsed.value().pipeline->name.value, decision.error());
        http.send_problem(decision.error());
        return;
    }
    const pipeline_body& body = parsed.value().body;
    exchange one{shared,
                 http,
                 *parsed.value().pipeline,
                 {body.input, body.max_tokens, {}},
                 std::make_shared<admitted>(std::move(decision.value()))};
    if (one.request->request.key.empty()) {
        serve_unkeyed(one);
    } else {
        serve_keyed(one);
    }
    if (!one.runs_here) {
        record_end(shared, *one.request, one.refused, {}, 0ms);
    }
}

}  // namespace cyclamenmount::detail
