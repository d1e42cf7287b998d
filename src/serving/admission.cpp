#include "serving/admission.h"

#include "serving/serving_config.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

//! Suggested delay before a retry: about the time until the store is reachable again or a peer
//! forwards the update.
constexpr milliseconds not_ready_retry_after{300};

refusal refuse(refusal_reason reason, std::string detail, milliseconds retry_after = 0ms) {
    return {reason, execution::not_run, std::move(detail), "", retry_after};
}

refusal refuse_unknown(const knowledge_age& configuration, refusal_reason reason,
                       std::string detail) {
    if (!is_current(configuration)) {
        return refuse(refusal_reason::not_ready, "the configuration may be out of date",
                      not_ready_retry_after);
    }
    return refuse(reason, std::move(detail));
}

}  // namespace

decided<admitted_request> admit(const fleet_view& view, const request_target& target,
                                const knowledge_age& configuration) {
    if (!view.config) {
        return refuse(refusal_reason::not_ready, "no configuration has been read yet",
                      not_ready_retry_after);
    }
    admitted_request admitted;
    admitted.config = view.config;
    admitted.matched = find_route(*view.config, target.host, target.path);
    if (admitted.matched == nullptr) {
        return refuse_unknown(configuration, refusal_reason::unknown_target,
                              "no route matches the host and path");
    }
    if (!admitted.matched->is_usable) {
        return refuse(refusal_reason::not_ready, "the configuration of the route can't be read",
                      not_ready_retry_after);
    }
    admitted.priority = admitted.matched->priority;
    if (!view.config->has_workspaces) {
        return admitted;
    }
    const serving_workspace* const workspace = find_workspace(*view.config, target.key);
    if (workspace == nullptr && !admitted.matched->is_public) {
        if (!view.config->has_all_keys) {
            return refuse(refusal_reason::not_ready, "some API keys can't be read",
                          not_ready_retry_after);
        }
        return refuse_unknown(configuration, refusal_reason::unauthenticated, "unknown API key");
    }
    if (workspace != nullptr) {
        admitted.workspace = workspace->name;
        admitted.priority = workspace->priority.value_or(admitted.priority);
    }
    return admitted;
}

milliseconds startup_retry_after(milliseconds waited) {
    return std::max(not_ready_retry_after, 2 * waited);
}

}  // namespace cyclamenmount
