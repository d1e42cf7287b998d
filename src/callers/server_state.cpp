#include "callers/internal/server_state.h"

#include <boost/outcome/try.hpp>

namespace cyclamenmount::detail {

decided<admitted> admit(server_state& server, const request_fields& fields, admission_wanted wanted,
                        milliseconds deadline) {
    const control_client& control = server.dependencies.control;
    admitted result;
    result.started = boot_clock::now();
    result.deadline = deadline;
    result.caller_key_sha256 = fields.key_sha256;
    wanted.number = control.next_ticket();
    wanted.key_sha256 = fields.key_sha256;
    wanted.time_left = deadline;
    const milliseconds limit = std::min(deadline, server.settings.decision_timeout);
    BOOST_OUTCOME_TRY(decision, control.admit(wanted, limit));
    result.guard =
        std::make_shared<admission_guard>(control.post, wanted.number, decision.workspace);
    result.request.request.value =
        server.dependencies.self.id.value + "-" + std::to_string(wanted.number);
    result.request.workspace = decision.workspace;
    result.request.priority = decision.priority;
    result.request.body = wanted.body;
    result.request.key = fields.key;
    result.request.deadline = result.started + deadline;
    return result;
}

void record_end(const server_state& server, const admitted& request,
                const std::optional<refusal>& refused, std::vector<stage_cost> costs,
                milliseconds first_frame) {
    if (!server.dependencies.record) {
        return;
    }
    request_record ended;
    ended.workspace = request.request.workspace;
    ended.target = request.target;
    ended.refused = refused;
    ended.took = boot_clock::now() - request.started;
    ended.first_frame = first_frame;
    ended.deadline = request.deadline;
    ended.costs = std::move(costs);
    server.dependencies.record(ended);
}

void record_refusal(const server_state& server, const std::string& target, const refusal& refused) {
    if (!server.dependencies.record) {
        return;
    }
    request_record ended;
    ended.target = target;
    ended.refused = refused;
    server.dependencies.record(ended);
}

run_environment environment_of(server_state& server) {
    return {server.dependencies.control, server.dependencies.upstreams, server.dependencies.budget,
            server.dependencies.known, server.dependencies.self.zone};
}

}  // namespace cyclamenmount::detail
