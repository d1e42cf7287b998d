#include "coordination/admission/admission.h"

#include "types/overloaded.h"

namespace cyclamenmount {

namespace {

//! State on which an admission decision is based. Only the shares are changed by a decision.
struct admission_context {
    const admission_state& state;
    const environment& env;
    const roster_state& roster;
    const documents_state& documents;
    shares_state& shares;
    const quarantine_state& quarantine;
    const dispatch_state& dispatch;
    instant now;
};

//! Makes a refusal with the execution state `not_run`: no stage of the request was executed.
refusal make_not_run_refusal(refusal_reason reason, std::string detail) {
    return refusal{reason, execution::not_run, std::move(detail), {}, 0ms};
}

std::optional<refusal> check_serving(const admission_context& context) {
    if (context.state.stopping) {
        return make_not_run_refusal(refusal_reason::stopping, "This instance is draining.");
    }
    if (!is_ready(context.state, context.roster, context.documents)) {
        return make_not_run_refusal(refusal_reason::not_ready, "This instance isn't ready.");
    }
    if (!is_availability_fresh(context.documents, context.env, context.roster, context.now)) {
        return make_not_run_refusal(
            refusal_reason::not_ready,
            "The availability news isn't fresh enough to decide what is out of service.");
    }
    return std::nullopt;
}

std::optional<refusal> check_pipeline(const admission_context& context, const allowance& limits,
                                      const pipeline_name& name) {
    if (!context.env.pools.pipelines.contains(name)) {
        return make_not_run_refusal(refusal_reason::unknown_target, "No such pipeline.");
    }
    if (!limits.pipelines.contains(name)) {
        return make_not_run_refusal(refusal_reason::not_allowed,
                                    "The workspace's plan doesn't allow this pipeline.");
    }
    return std::nullopt;
}

std::optional<refusal> check_service(const admission_context& context, const allowance& limits,
                                     const pool_name& name) {
    const auto found = context.env.pools.pools.find(name);
    if (found == context.env.pools.pools.end() || found->second.kind != pool_kind::service) {
        return make_not_run_refusal(refusal_reason::unknown_target, "No such service.");
    }
    if (!limits.services.contains(name)) {
        return make_not_run_refusal(refusal_reason::not_allowed,
                                    "The workspace's plan doesn't allow this service.");
    }
    return std::nullopt;
}

std::optional<refusal> check_target(const admission_context& context, const allowance& limits,
                                    const admission_wanted& wanted) {
    if (!wanted.pipeline.empty()) {
        return check_pipeline(context, limits, wanted.pipeline);
    }
    return check_service(context, limits, wanted.service);
}

//! Expected duration of a request: the sum of the median attempt times of its stages.
milliseconds expected_request_time(const admission_context& context,
                                   const admission_wanted& wanted) {
    if (wanted.pipeline.empty()) {
        return median_time(context.dispatch, wanted.service);
    }
    milliseconds sum = 0ms;
    for (const stage_settings& stage : context.env.pools.pipelines.at(wanted.pipeline).stages) {
        sum += median_time(context.dispatch, stage.pool);
    }
    return sum;
}

//! Time until the caller's deadline. A request without a deadline gets the deadline from its
//! pipeline's settings; a service request gets the default pipeline deadline.
milliseconds time_left(const admission_context& context, const admission_wanted& wanted) {
    if (wanted.time_left > 0ms) {
        return wanted.time_left;
    }
    const auto pipeline = context.env.pools.pipelines.find(wanted.pipeline);
    if (pipeline != context.env.pools.pipelines.end()) {
        return pipeline->second.deadline;
    }
    return pipeline_settings{}.deadline;
}

decided<admission> decide(admission_context& context, const admission_wanted& wanted) {
    if (auto refused = check_serving(context)) {
        return *refused;
    }
    const workspace_entry* workspace = find_workspace(context.documents, wanted.key_sha256);
    if (workspace == nullptr) {
        return make_not_run_refusal(refusal_reason::unauthenticated, "No workspace has this key.");
    }
    const allowance* limits = find_allowance(context.documents, workspace->plan);
    if (limits == nullptr) {
        return make_not_run_refusal(refusal_reason::not_allowed,
                                    "The allowance list has no entry for the workspace's plan.");
    }
    if (auto refused = check_target(context, *limits, wanted)) {
        return *refused;
    }
    if (is_quarantined(context.quarantine, wanted.body)) {
        return refusal{refusal_reason::quarantined,
                       execution::ran,
                       "The request crashed the upstreams that ran it.",
                       {},
                       0ms};
    }
    const milliseconds remaining = time_left(context, wanted);
    if (expected_request_time(context, wanted) > remaining) {
        return make_not_run_refusal(refusal_reason::deadline_too_short,
                                    "Measured stage times exceed the deadline.");
    }
    const decided<bool> taken = take_share(context.shares, context.env, context.roster,
                                           workspace->name, *limits, context.now);
    if (!taken) {
        return taken.error();
    }
    return admission{workspace->name, workspace->plan, limits->priority, remaining};
}

//! Emits `drained` once, as soon as this instance is stopping, no request is running, and the
//! roster component lets the process exit.
void report_drained(admission_state& state, const environment& env, const roster_state& roster,
                    instant now, effects& out) {
    if (!state.stopping || state.drained || !state.running.empty() || !may_exit(roster, env, now)) {
        return;
    }
    state.drained = true;
    out.emplace_back(drained{});
}

}  // namespace

admission_state make_admission() {
    return {};
}

void reduce_admission(admission_state& state, const environment& env, const roster_state& roster,
                      const documents_state& documents, shares_state& shares,
                      const quarantine_state& quarantine, const dispatch_state& dispatch,
                      const event& happened, instant now, effects& out) {
    admission_context context{state, env, roster, documents, shares, quarantine, dispatch, now};
    if (const auto* wanted = std::get_if<admission_wanted>(&happened)) {
        decided<admission> decision = decide(context, *wanted);
        if (decision) {
            state.running.insert(wanted->number);
        }
        out.emplace_back(admission_decided{wanted->number, std::move(decision)});
        return;
    }
    if (const auto* ended = std::get_if<request_ended>(&happened)) {
        state.running.erase(ended->number);
    }
    if (std::holds_alternative<stop_wanted>(happened)) {
        state.stopping = true;
    }
    report_drained(state, env, roster, now, out);
}

bool is_ready_to_leave(const admission_state& state) {
    return state.stopping && state.running.empty();
}

bool is_ready(const admission_state& state, const roster_state& roster,
              const documents_state& documents) {
    return !state.stopping && has_lists(documents) && is_member(roster);
}

}  // namespace cyclamenmount
