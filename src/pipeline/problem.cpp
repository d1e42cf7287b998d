#include "pipeline/problem.h"

#include "types/enum_names.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace cyclamenmount {

namespace {

struct reason_row {
    refusal_reason reason;
    int status;
    const char* title;
};

constexpr std::array reason_rows{
    reason_row{refusal_reason::malformed, 400, "Malformed request"},
    reason_row{refusal_reason::unauthenticated, 401, "Unauthenticated caller"},
    reason_row{refusal_reason::not_allowed, 403, "Not allowed by the plan"},
    reason_row{refusal_reason::unknown_target, 404, "Unknown target"},
    reason_row{refusal_reason::too_large, 413, "Request body too large"},
    reason_row{refusal_reason::rate_limited, 429, "Request rate limit exceeded"},
    reason_row{refusal_reason::concurrency_limited, 429, "Limit of concurrent requests exceeded"},
    reason_row{refusal_reason::tokens_limited, 429, "Token rate limit exceeded"},
    reason_row{refusal_reason::deadline_too_short, 504, "Deadline too short"},
    reason_row{refusal_reason::deadline_exceeded, 504, "Deadline exceeded"},
    reason_row{refusal_reason::overloaded, 503, "No capacity"},
    reason_row{refusal_reason::no_upstream, 503, "No upstream in service"},
    reason_row{refusal_reason::key_required, 400, "Idempotency-Key required"},
    reason_row{refusal_reason::key_reused, 409, "Idempotency-Key used with another request"},
    reason_row{refusal_reason::store_unavailable, 503,
               "The call can't be recorded: store unavailable"},
    reason_row{refusal_reason::outcome_unknown, 409, "The outcome of the call isn't known"},
    reason_row{refusal_reason::quarantined, 422, "Quarantined: the request crashes upstreams"},
    reason_row{refusal_reason::stopping, 503, "This instance is stopping"},
    reason_row{refusal_reason::not_ready, 503, "This instance is not ready"},
    reason_row{refusal_reason::upstream_failed, 502, "Every attempt failed"},
    reason_row{refusal_reason::internal, 500, "Internal error"},
};

constexpr int status_internal = 500;

const reason_row* row_of(refusal_reason reason) {
    const auto found = std::ranges::find(reason_rows, reason, &reason_row::reason);
    return found == reason_rows.end() ? nullptr : &*found;
}

execution execution_from(std::string_view name) {
    if (name == enum_name(execution::not_run)) {
        return execution::not_run;
    }
    return name == enum_name(execution::ran) ? execution::ran : execution::may_have_run;
}

}  // namespace

int http_status_of(refusal_reason reason) {
    const reason_row* row = row_of(reason);
    return row == nullptr ? status_internal : row->status;
}

nlohmann::json problem_json(const refusal& refused) {
    const reason_row* row = row_of(refused.reason);
    return {{"type", "about:blank"},
            {"title", row == nullptr ? "Internal error" : row->title},
            {"status", http_status_of(refused.reason)},
            {"reason", enum_name(refused.reason)},
            {"execution", enum_name(refused.state)},
            {"detail", refused.detail},
            {"place", refused.place}};
}

refusal refusal_from_problem(const nlohmann::json& value) {
    refusal read;
    const std::string reason = value.value("reason", "");
    const auto found = std::ranges::find_if(
        reason_rows, [&reason](const reason_row& row) { return reason == enum_name(row.reason); });
    read.reason = found == reason_rows.end() ? refusal_reason::internal : found->reason;
    read.state = execution_from(value.value("execution", ""));
    read.detail = value.value("detail", "");
    read.place = value.value("place", "");
    return read;
}

}  // namespace cyclamenmount
