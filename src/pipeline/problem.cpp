#include "pipeline/problem.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace cyclamenmount {

namespace {

struct reason_row {
    refusal_reason reason;
    int status;
    const char* name;
    const char* title;
};

constexpr std::array reason_rows{
    reason_row{refusal_reason::malformed, 400, "malformed", "The request can't be parsed"},
    reason_row{refusal_reason::unauthenticated, 401, "unauthenticated", "Unknown caller"},
    reason_row{refusal_reason::not_allowed, 403, "not_allowed", "Not part of the plan"},
    reason_row{refusal_reason::unknown_target, 404, "unknown_target", "No such target"},
    reason_row{refusal_reason::too_large, 413, "too_large", "The body is too large"},
    reason_row{refusal_reason::rate_limited, 429, "rate_limited", "Request rate used up"},
    reason_row{refusal_reason::concurrency_limited, 429, "concurrency_limited",
               "Concurrent requests used up"},
    reason_row{refusal_reason::tokens_limited, 429, "tokens_limited", "Token rate used up"},
    reason_row{refusal_reason::deadline_too_short, 504, "deadline_too_short",
               "The deadline can't be met"},
    reason_row{refusal_reason::deadline_exceeded, 504, "deadline_exceeded",
               "The deadline has passed"},
    reason_row{refusal_reason::overloaded, 503, "overloaded", "No capacity"},
    reason_row{refusal_reason::no_upstream, 503, "no_upstream", "No upstream in service"},
    reason_row{refusal_reason::key_required, 400, "key_required", "Idempotency-Key required"},
    reason_row{refusal_reason::key_reused, 409, "key_reused", "Idempotency-Key used before"},
    reason_row{refusal_reason::store_unavailable, 503, "store_unavailable",
               "The call can't be recorded"},
    reason_row{refusal_reason::outcome_unknown, 409, "outcome_unknown",
               "The outcome of the call isn't known"},
    reason_row{refusal_reason::quarantined, 422, "quarantined", "The request crashes upstreams"},
    reason_row{refusal_reason::stopping, 503, "stopping", "This instance is stopping"},
    reason_row{refusal_reason::not_ready, 503, "not_ready", "This instance isn't ready"},
    reason_row{refusal_reason::upstream_failed, 502, "upstream_failed", "Every attempt failed"},
    reason_row{refusal_reason::internal, 500, "internal", "Internal fault"},
};

constexpr int status_internal = 500;

const reason_row* row_of(refusal_reason reason) {
    const auto found = std::ranges::find(reason_rows, reason, &reason_row::reason);
    return found == reason_rows.end() ? nullptr : &*found;
}

execution execution_from(std::string_view name) {
    if (name == "not_run") {
        return execution::not_run;
    }
    return name == "ran" ? execution::ran : execution::may_have_run;
}

}  // namespace

int http_status_of(refusal_reason reason) {
    const reason_row* row = row_of(reason);
    return row == nullptr ? status_internal : row->status;
}

const char* name_of(refusal_reason reason) {
    const reason_row* row = row_of(reason);
    return row == nullptr ? "internal" : row->name;
}

const char* name_of(execution state) {
    switch (state) {
    case execution::not_run:
        return "not_run";
    case execution::may_have_run:
        return "may_have_run";
    case execution::ran:
        return "ran";
    }
    return "may_have_run";
}

nlohmann::json problem_json(const refusal& refused) {
    const reason_row* row = row_of(refused.reason);
    return {{"type", "about:blank"},
            {"title", row == nullptr ? "Internal fault" : row->title},
            {"status", http_status_of(refused.reason)},
            {"reason", name_of(refused.reason)},
            {"execution", name_of(refused.state)},
            {"detail", refused.detail},
            {"place", refused.place}};
}

refusal refusal_from_problem(const nlohmann::json& value) {
    refusal read;
    const std::string reason = value.value("reason", "");
    const auto found = std::ranges::find_if(
        reason_rows, [&reason](const reason_row& row) { return reason == row.name; });
    read.reason = found == reason_rows.end() ? refusal_reason::internal : found->reason;
    read.state = execution_from(value.value("execution", ""));
    read.detail = value.value("detail", "");
    read.place = value.value("place", "");
    return read;
}

}  // namespace cyclamenmount
