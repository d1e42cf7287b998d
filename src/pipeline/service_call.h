//! Calls to plain services; those that may not be repeated run at most once.
#pragma once

#include "pipeline/pipeline.h"

namespace cyclamenmount {

struct service_input {
    pool_name pool;
    std::string operation;
    std::string body;  //!< JSON as the caller sent it
};

struct service_answer {
    std::optional<refusal> refused;
    std::string body;  //!< JSON for the caller; empty if refused
    std::vector<stage_cost> costs;
};

//! Runs an operation. One that isn't idempotent needs the request's key and a permit of the key's
//! home; after its first byte has left it is never sent again.
service_answer run_service_call(const run_environment& env, const admitted_request& request,
                                const service_input& input);

}  // namespace cyclamenmount
