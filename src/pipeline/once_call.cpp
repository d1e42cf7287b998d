#include "pipeline/internal/once_call.h"

#include "pipeline/problem.h"

#include <algorithm>
#include <thread>

namespace cyclamenmount::detail {

namespace {

constexpr auto permit_poll_period = 50ms;
constexpr auto longest_permit_wait = 1000ms;
constexpr auto wait_period = 50ms;
constexpr int most_upstreams_tried = 4;
constexpr int status_ok = 200;
constexpr std::size_t max_kept_body_bytes = std::size_t{32} * 1024;

refusal refuse(refusal_reason reason, execution state, std::string detail) {
    return {reason, state, std::move(detail), {}, {}};
}

service_answer refused_with(refusal why) {
    service_answer told;
    told.refused = std::move(why);
    return told;
}

//! Ends a permit exactly once: returned if nothing was sent, else with the call's outcome.
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
        outcome_.body = body.size() <= max_kept_body_bytes ? body : std::string();
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

permit_reply ask_permit(const run_environment& env, const admitted_request& request,
                        const service_input& input) {
    permit_request asked;
    asked.workspace = request.workspace;
    asked.key = request.key;
    asked.body = request.body;
    asked.pool = input.pool;
    asked.operation = input.operation;
    for (;;) {
        asked.number = env.control.next_ticket();
        const milliseconds left = std::max(time_left(request), milliseconds(1));
        asked.waits_at_most = std::min<milliseconds>(left, longest_permit_wait);
        permit_reply reply = env.control.permit(asked, asked.waits_at_most);
        const bool ask_again = reply.verdict == permit_verdict::running;
        if (!ask_again || time_left(request) <= permit_poll_period) {
            return reply;
        }
        std::this_thread::sleep_for(permit_poll_period);
    }
}

service_answer stored_answer(const call_outcome& outcome) {
    if (!outcome.known) {
        return refused_with(refuse(refusal_reason::outcome_unknown, execution::may_have_run,
                                   "an earlier call with this key may have run"));
    }
    if (outcome.status != status_ok) {
        const nlohmann::json problem = nlohmann::json::parse(outcome.body, nullptr, false);
        refusal why = refuse(refusal_reason::upstream_failed, execution::may_have_run,
                             "the earlier call with this key failed");
        return refused_with(problem.is_object() ? refusal_from_problem(problem) : std::move(why));
    }
    if (outcome.body.empty()) {
        return refused_with(refuse(refusal_reason::outcome_unknown, execution::ran,
                                   "the call ran; its answer was too large to be kept"));
    }
    service_answer told;
    told.body = outcome.body;
    return told;
}

service_answer answer_verdict(const permit_reply& reply) {
    switch (reply.verdict) {
    case permit_verdict::running:
        return refused_with(refuse(refusal_reason::deadline_exceeded, execution::may_have_run,
                                   "a call with this key is still running"));
    case permit_verdict::done:
        return stored_answer(reply.outcome);
    case permit_verdict::unknown_outcome:
        return refused_with(
            refuse(refusal_reason::outcome_unknown, execution::may_have_run,
                   "an earlier call with this key may have run and will not run again"));
    case permit_verdict::key_reused:
        return refused_with(refuse(refusal_reason::key_reused, execution::not_run,
                                   "the key was used with another request"));
    case permit_verdict::store_unavailable:
        return refused_with(refuse(refusal_reason::store_unavailable, execution::not_run,
                                   "the call can't be recorded at present"));
    case permit_verdict::no_home:
    case permit_verdict::granted:
        break;
    }
    return refused_with(refuse(refusal_reason::not_ready, execution::not_run,
                               "nobody can record the call at present"));
}

attempt_wanted question(const run_environment& env, const admitted_request& request,
                        const service_input& input, const std::vector<upstream_id>& tried) {
    attempt_wanted asked;
    asked.number = env.control.next_ticket();
    asked.attempt.value =
        request.request.value + "." + input.operation + "." + std::to_string(tried.size() + 1);
    asked.request = request.request;
    asked.body = request.body;
    asked.pool = input.pool;
    asked.workspace = request.workspace;
    asked.stage.value = input.operation;
    asked.priority = request.priority;
    asked.excluded = tried;
    asked.time_left = time_left(request);
    asked.restartable = false;
    return asked;
}

attempt_call call_for(const run_environment& env, const admitted_request& request,
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
        for (attempt_news& news : group.wait(wait_period)) {
            if (news.end) {
                return std::move(*news.end);
            }
        }
    }
}

void note_cost(stage_cost& cost, const run_environment& env, const attempt_grant& grant,
               const attempt_result& ended) {
    cost.attempts += 1;
    cost.other_zone = grant.zone != env.zone;
    if (ended.outcome == attempt_outcome::ok) {
        cost.busy += ended.busy;
    } else if (ended.sent && ended.outcome != attempt_outcome::refused) {
        cost.wasted += ended.took;
    }
}

bool nothing_ran(const attempt_result& ended) {
    return !ended.sent || ended.fault == attempt_fault::refused_not_run;
}

service_answer answer_of_call(const attempt_result& ended, permit_guard& permit) {
    service_answer told;
    if (ended.outcome == attempt_outcome::ok) {
        told.body = service_body(ended.output);
        permit.set_outcome(status_ok, told.body);
        return told;
    }
    refusal why = refuse(refusal_reason::upstream_failed, execution::may_have_run,
                         std::string("the call was sent: ") + name_of(ended.fault));
    if (ended.fault == attempt_fault::deadline_passed) {
        why.reason = refusal_reason::deadline_exceeded;
    }
    if (ended.fault == attempt_fault::error_status) {
        permit.set_outcome(http_status_of(why.reason), problem_json(why).dump());
    }
    told.refused = std::move(why);
    return told;
}

service_answer call_under_permit(const run_environment& env, const admitted_request& request,
                                 const service_input& input, permit_guard& permit) {
    stage_cost cost;
    cost.stage.value = input.operation;
    cost.pool = input.pool;
    std::vector<upstream_id> tried;
    service_answer told = refused_with(
        refuse(refusal_reason::no_upstream, execution::not_run, "no upstream took the call"));
    while (static_cast<int>(tried.size()) < most_upstreams_tried && time_left(request) > 0ms) {
        const attempt_wanted asked = question(env, request, input, tried);
        const decided<attempt_grant> decision = env.control.acquire(asked, asked.time_left);
        if (!decision) {
            told = refused_with(decision.error());
            told.refused->state = execution::not_run;
            break;
        }
        const attempt_grant& grant = decision.value();
        grant_guard guard(env.control.post, asked.attempt, grant.upstream);
        permit.set_may_have_run(true);
        attempt_call call = call_for(env, request, input, asked.attempt, grant);
        const attempt_result ended = run_attempt(env, std::move(call), std::move(guard));
        note_cost(cost, env, grant, ended);
        if (!nothing_ran(ended)) {
            told = answer_of_call(ended, permit);
            break;
        }
        permit.set_may_have_run(false);
        tried.push_back(grant.upstream);
        if (ended.sent) {
            told = refused_with(refuse(refusal_reason::overloaded, execution::not_run,
                                       "the upstream refused before any work"));
            break;
        }
    }
    told.costs.push_back(std::move(cost));
    return told;
}

}  // namespace

std::string service_body(std::string_view output) {
    return nlohmann::json{{"output", output}}.dump();
}

service_answer run_once(const run_environment& env, const admitted_request& request,
                        const service_input& input) {
    if (request.key.empty()) {
        refusal why = refuse(refusal_reason::key_required, execution::not_run,
                             "this operation runs at most once and needs a key");
        why.place = "Idempotency-Key";
        return refused_with(std::move(why));
    }
    const permit_reply reply = ask_permit(env, request, input);
    if (reply.verdict != permit_verdict::granted) {
        return answer_verdict(reply);
    }
    permit_guard permit(env, request, reply.permit);
    return call_under_permit(env, request, input, permit);
}

}  // namespace cyclamenmount::detail
