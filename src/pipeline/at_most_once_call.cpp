#include "pipeline/internal/at_most_once_call.h"

#include "pipeline/problem.h"

#include <algorithm>
#include <thread>

namespace cyclamenmount::detail {

namespace {

constexpr auto permit_poll_period = 50ms;  // while an earlier call with the key is running
constexpr auto max_permit_wait = 1000ms;
constexpr auto event_wait_period = 50ms;
constexpr int max_upstreams_tried = 4;
constexpr int status_ok = 200;
constexpr std::size_t max_recorded_body_bytes = std::size_t{32} * 1024;

refusal refuse(refusal_reason reason, execution state, std::string detail) {
    return {reason, state, std::move(detail), {}, {}};
}

service_response refused_response(refusal refused) {
    service_response response;
    response.refused = std::move(refused);
    return response;
}

//! Ends a permit exactly once: returns it if the call can't have run, else reports the outcome.
class permit_guard {
public:
    permit_guard(const run_environment& env, const admitted_request& request, std::string permit)
        : env_(env), request_(request), permit_(std::move(permit)) {}

    ~permit_guard() {
        if (may_have_run_) {
            env_.control.post(call_ended{{request_.workspace, request_.key, permit_, outcome_}});
        } else {
            env_.control.post(permit_returned{{request_.workspace, request_.key, permit_}});
        }
    }

    permit_guard(const permit_guard&) = delete;
    permit_guard& operator=(const permit_guard&) = delete;
    permit_guard(permit_guard&&) = delete;
    permit_guard& operator=(permit_guard&&) = delete;

    void set_may_have_run(bool value) {
        may_have_run_ = value;
    }

    void set_outcome(int status, const std::string& body) {
        outcome_.known = true;
        outcome_.status = status;
        outcome_.body = body.size() <= max_recorded_body_bytes ? body : std::string();
    }

private:
    const run_environment& env_;
    const admitted_request& request_;
    std::string permit_;
    bool may_have_run_{false};
    call_outcome outcome_;
};

milliseconds time_left(const admitted_request& request) {
    return request.deadline - boot_clock::now();
}

permit_reply request_permit(const run_environment& env, const admitted_request& request,
                            const service_input& input) {
    permit_request wanted;
    wanted.workspace = request.workspace;
    wanted.key = request.key;
    wanted.body = request.body;
    wanted.pool = input.pool;
    wanted.operation = input.operation;
    for (;;) {
        wanted.number = env.control.next_ticket();
        const milliseconds left = std::max(time_left(request), milliseconds(1));
        wanted.waits_at_most = std::min<milliseconds>(left, max_permit_wait);
        permit_reply reply = env.control.permit(wanted, wanted.waits_at_most);
        const bool still_running = reply.verdict == permit_verdict::running;
        if (!still_running || time_left(request) <= permit_poll_period) {
            return reply;
        }
        std::this_thread::sleep_for(permit_poll_period);
    }
}

service_response stored_response(const call_outcome& outcome) {
    if (!outcome.known) {
        return refused_response(
            refuse(refusal_reason::outcome_unknown, execution::may_have_run,
                   "an earlier call with this key may have run; its outcome is unknown"));
    }
    if (outcome.status != status_ok) {
        const nlohmann::json problem = nlohmann::json::parse(outcome.body, nullptr, false);
        refusal refused = refuse(refusal_reason::upstream_failed, execution::may_have_run,
                                 "the earlier call with this key failed");
        return refused_response(problem.is_object() ? refusal_from_problem(problem)
                                                    : std::move(refused));
    }
    if (outcome.body.empty()) {
        return refused_response(refuse(refusal_reason::outcome_unknown, execution::ran,
                                       "the call ran; its response was too large to be kept"));
    }
    service_response response;
    response.body = outcome.body;
    return response;
}

//! Returns the response to a call that was not granted a permit.
service_response response_without_permit(const permit_reply& reply) {
    switch (reply.verdict) {
    case permit_verdict::running:
        return refused_response(refuse(refusal_reason::deadline_exceeded, execution::may_have_run,
                                       "a call with this key is still running"));
    case permit_verdict::done:
        return stored_response(reply.outcome);
    case permit_verdict::unknown_outcome:
        return refused_response(
            refuse(refusal_reason::outcome_unknown, execution::may_have_run,
                   "an earlier call with this key may have run and will not run again"));
    case permit_verdict::key_reused:
        return refused_response(refuse(refusal_reason::key_reused, execution::not_run,
                                       "the key was used with another request"));
    case permit_verdict::store_unavailable:
        return refused_response(refuse(refusal_reason::store_unavailable, execution::not_run,
                                       "the call can't be recorded: the store is unavailable"));
    case permit_verdict::no_home:
    case permit_verdict::granted:
        break;
    }
    return refused_response(
        refuse(refusal_reason::not_ready, execution::not_run,
               "nobody can record the call: no instance may act as the key's owner"));
}

attempt_wanted make_attempt_request(const run_environment& env, const admitted_request& request,
                                    const service_input& input,
                                    const std::vector<upstream_id>& tried) {
    attempt_wanted wanted;
    wanted.number = env.control.next_ticket();
    wanted.attempt.value =
        request.request.value + "." + input.operation + "." + std::to_string(tried.size() + 1);
    wanted.request = request.request;
    wanted.body = request.body;
    wanted.pool = input.pool;
    wanted.workspace = request.workspace;
    wanted.stage.value = input.operation;
    wanted.priority = request.priority;
    wanted.excluded = tried;
    wanted.time_left = time_left(request);
    wanted.restartable = false;
    return wanted;
}

attempt_call make_call(const run_environment& env, const admitted_request& request,
                       const service_input& input, const attempt_id& attempt,
                       const attempt_grant& grant) {
    attempt_call call;
    call.attempt = attempt;
    call.request = request.request;
    call.stage.value = input.operation;
    call.workspace = request.workspace;
    call.priority = request.priority;
    call.from_zone = env.zone;
    call.upstream = grant.upstream;
    call.address = grant.address;
    call.kind = pool_kind::service;
    call.input = input.body;
    call.key = request.key;
    call.start_before = grant.start_before;
    call.deadline = request.deadline;
    return call;
}

attempt_result run_attempt(const run_environment& env, attempt_call call, grant_guard guard) {
    attempt_group group(env.upstreams);
    group.add(std::move(call), std::move(guard));
    for (;;) {
        for (attempt_update& update : group.wait(event_wait_period)) {
            if (update.end) {
                return std::move(*update.end);
            }
        }
    }
}

void record_cost(stage_cost& cost, const run_environment& env, const attempt_grant& grant,
                 const attempt_result& ended) {
    cost.attempts += 1;
    cost.other_zone = grant.zone != env.zone;
    if (ended.outcome == attempt_outcome::ok) {
        cost.busy += ended.busy;
    } else if (ended.sent && ended.outcome != attempt_outcome::refused) {
        cost.wasted += ended.took;
    }
}

bool did_not_run(const attempt_result& ended) {
    return !ended.sent || ended.fault == attempt_fault::refused_not_run;
}

service_response response_to_call(const attempt_result& ended, permit_guard& permit) {
    service_response response;
    if (ended.outcome == attempt_outcome::ok) {
        response.body = service_body(ended.output);
        permit.set_outcome(status_ok, response.body);
        return response;
    }
    refusal refused =
        refuse(refusal_reason::upstream_failed, execution::may_have_run,
               std::string("the call was sent and may have run: ") + name_of(ended.fault));
    if (ended.fault == attempt_fault::deadline_passed) {
        refused.reason = refusal_reason::deadline_exceeded;
    }
    if (ended.fault == attempt_fault::error_status) {
        permit.set_outcome(http_status_of(refused.reason), problem_json(refused).dump());
    }
    response.refused = std::move(refused);
    return response;
}

//! Makes the call. Tries another upstream only while nothing has been sent.
service_response call_under_permit(const run_environment& env, const admitted_request& request,
                                   const service_input& input, permit_guard& permit) {
    stage_cost cost;
    cost.stage.value = input.operation;
    cost.pool = input.pool;
    std::vector<upstream_id> tried;
    service_response response = refused_response(
        refuse(refusal_reason::no_upstream, execution::not_run, "no upstream took the call"));
    while (static_cast<int>(tried.size()) < max_upstreams_tried && time_left(request) > 0ms) {
        const attempt_wanted wanted = make_attempt_request(env, request, input, tried);
        const decided<attempt_grant> decision = env.control.acquire(wanted, wanted.time_left);
        if (!decision) {
            response = refused_response(decision.error());
            response.refused->state = execution::not_run;
            break;
        }
        const attempt_grant& grant = decision.value();
        grant_guard guard(env.control.post, wanted.attempt, grant.upstream);
        permit.set_may_have_run(true);
        attempt_call call = make_call(env, request, input, wanted.attempt, grant);
        const attempt_result ended = run_attempt(env, std::move(call), std::move(guard));
        record_cost(cost, env, grant, ended);
        if (!did_not_run(ended)) {
            response = response_to_call(ended, permit);
            break;
        }
        permit.set_may_have_run(false);
        tried.push_back(grant.upstream);
        if (ended.sent) {
            response = refused_response(refuse(refusal_reason::overloaded, execution::not_run,
                                               "the upstream refused the call before it ran"));
            break;
        }
    }
    response.costs.push_back(std::move(cost));
    return response;
}

}  // namespace

std::string service_body(std::string_view output) {
    return nlohmann::json{{"output", output}}.dump();
}

service_response run_at_most_once(const run_environment& env, const admitted_request& request,
                                  const service_input& input) {
    if (request.key.empty()) {
        refusal refused = refuse(refusal_reason::key_required, execution::not_run,
                                 "this operation runs at most once and needs an idempotency key");
        refused.place = "Idempotency-Key";
        return refused_response(std::move(refused));
    }
    const permit_reply reply = request_permit(env, request, input);
    if (reply.verdict != permit_verdict::granted) {
        return response_without_permit(reply);
    }
    permit_guard permit(env, request, reply.permit);
    return call_under_permit(env, request, input, permit);
}

}  // namespace cyclamenmount::detail
