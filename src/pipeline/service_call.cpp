#include "pipeline/service_call.h"

#include "pipeline/internal/at_most_once_call.h"
#include "pipeline/internal/stage_run.h"

namespace cyclamenmount {

namespace {

service_response run_idempotent(const run_environment& env, const admitted_request& request,
                                const service_input& input) {
    detail::stage_spec wanted{{input.operation}, input.pool, pool_kind::service, input.body, 0};
    detail::stage_run run(
        env, request, std::move(wanted), [](std::string_view) {}, [] { return false; });
    detail::stage_outcome outcome = run.run();
    service_response response;
    if (outcome.refused) {
        const execution reached = outcome.sent ? execution::may_have_run : execution::not_run;
        outcome.refused->state = std::max(outcome.refused->state, reached);
        response.refused = std::move(outcome.refused);
    } else {
        response.body = detail::service_body(outcome.output);
    }
    response.costs.push_back(std::move(outcome.cost));
    return response;
}

}  // namespace

service_response run_service_call(const run_environment& env, const admitted_request& request,
                                  const service_input& input) {
    env.budget.earn(boot_clock::now());
    const auto pool = env.known.pools.find(input.pool);
    const bool is_idempotent =
        pool != env.known.pools.end() && pool->second.idempotent.contains(input.operation);
    return is_idempotent ? run_idempotent(env, request, input)
                         : detail::run_at_most_once(env, request, input);
}

}  // namespace cyclamenmount
