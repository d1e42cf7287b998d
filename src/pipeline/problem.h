//! Conversion of refusals to and from `application/problem+json`.
#pragma once

#include "types/errors.h"

#include <string>

#include <nlohmann/json.hpp>

namespace cyclamenmount {

int http_status_of(refusal_reason reason);

nlohmann::json problem_json(const refusal& refused);

//! Parses the output of `problem_json`. An unknown reason becomes `internal`, an unknown execution
//! state `may_have_run`.
refusal refusal_from_problem(const nlohmann::json& value);

}  // namespace cyclamenmount
