//! One call that may run at most once.
#pragma once

#include "pipeline/service_call.h"

namespace cyclamenmount::detail {

//! Asks for the permit, makes the one call and reports its outcome.
service_answer run_once(const run_environment& env, const admitted_request& request,
                        const service_input& input);

//! JSON that the caller gets for an upstream's output.
std::string service_body(std::string_view output);

}  // namespace cyclamenmount::detail
