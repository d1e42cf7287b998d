//! At-most-once calls to services.
#pragma once

#include "pipeline/service_call.h"

namespace cyclamenmount::detail {

//! Requests a permit from the key's owner, makes the call and reports its outcome to the owner.
service_response run_at_most_once(const run_environment& env, const admitted_request& request,
                                  const service_input& input);

//! Returns the JSON response body for an upstream's output.
std::string service_body(std::string_view output);

}  // namespace cyclamenmount::detail
