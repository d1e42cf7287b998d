#include "callers/internal/serving.h"

#include <boost/outcome/try.hpp>

namespace cyclamenmount::detail {

decided<admitted> admit(serving& shared, const request_fields& fields, admission_wanted wanted,
                        milliseconds deadline) {
    const control_client& control = shared.with.control;
    admitted result;
    result.begun = boot_clock::now();
    result.deadline = deadline;
    result.owner = fields.key_sha256;
    wanted.number = control.next_ticket();
    wanted.key_sha256 = fields.key_sha256;
    wanted.time_left = deadline;
    const milliseconds limit = std::min(deadline, shared.settings.decision_limit);
    BOOST_OUTCOME_TRY(decision, control.admit(wanted, limit));
    result.guard =
        std::make_shared<admission_guard>(control.post, wanted.number, decision.workspace);
    result.request.request.value = shared.with.self.id.value + "-" + std::to_string(wanted.number);
    result.request.workspace = decision.workspace;
    result.request.priority = decision.priority;
    result.request.body = wanted.body;
    result.request.key = fields.key;
    result.request.deadline = result.begun + deadline;
    return result;
}

void record_end(const serving& shared, const admitted& request,
                const std::optional<refusal>& refused, std::vector<stage_cost> costs,
                milliseconds first_frame) {
    if (!shared.with.record) {
        return;
    }
    request_record ended;
    ended.workspace = request.request.workspace;
    ended.target = request.target;
    ended.refused = refused;
    ended.took = boot_clock::now() - request.begun;
    ended.first_frame = first_frame;
    ended.deadline = request.deadline;
    ended.costs = std::move(costs);
    shared.with.record(ended);
}

void record_refusal(const serving& shared, const std::string& target, const refusal& refused) {
    if (!shared.with.record) {
        return;
    }
    request_record ended;
    ended.target = target;
    ended.refused = refused;
    shared.with.record(ended);
}

run_environment environment_of(serving& shared) {
    return {shared.with.control, shared.with.upstreams, shared.with.budget, shared.with.known,
            shared.with.self.zone};
}

}  // namespace cyclamenmount::detail
