#include "pipeline/service_call.h"

#include "pipeline/internal/once_call.h"
#include "pipeline/internal/stage_run.h"

namespace cyclamenmount {

namespace {

service_answer run_repeatable(const run_environment& env, const admitted_request& request,
                              const service_input& input) {
    detail::stage_wanted wanted{{input.operation}, input.pool, pool_kind::service, input.body, 0};
    detail::stage_run run(
        env, request, std::move(wanted), [](std::string_view) {}, [] { return false; });
    detail::stage_outcome outcome = run.run();
    service_answer told;
    if (outcome.refused) {
        const execution known = outcome.sent ? execution::may_have_run : execution::not_run;
        outcome.refused->state = std::max(outcome.refused->state, known);
        told.refused = std::move(outcome.refused);
    } else {
        told.body = detail::service_body(outcome.output);
    }
    told.costs.push_back(std::move(outcome.cost));
    return told;
}

}  // namespace

service_answer run_service_call(const run_environment& env, const admitted_request& request,
                                const service_input& input) {
    env.budget.earn(boot_clock::now());
    const auto pool = env.known.pools.find(input.pool);
    const bool repeatable =
        pool != env.known.pools.end() && pool->second.idempotent.contains(input.operation);
    return repeatable ? run_repeatable(env, request, input) : detail::run_once(env, request, input);
}

}  // namespace cyclamenmount
