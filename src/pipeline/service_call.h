//! Calls to services. Operations that aren't idempotent run at most once.
#pragma once

#include "pipeline/pipeline.h"

namespace cyclamenmount {

struct service_input {
    pool_name pool;
    std::string operation;
    std::string body;  //!< JSON, unchanged from the caller
};

struct service_response {
    std::optional<refusal> refused;
    std::string body;  //!< JSON response body; empty if refused
    std::vector<stage_cost> costs;
};

//! Runs an operation. If it isn't idempotent, it needs an idempotency key and a permit from the
//! key's owner, and isn't sent again once any of its bytes may have been sent.
service_response run_service_call(const run_environment& env, const admitted_request& request,
                                  const service_input& input);

}  // namespace cyclamenmount
