//! Refusals as `application/problem+json`.
#pragma once

#include "types/errors.h"

#include <string>

#include <nlohmann/json.hpp>

namespace cyclamenmount {

int http_status_of(refusal_reason reason);

nlohmann::json problem_json(const refusal& refused);

//! Reads what `problem_json` wrote; an unknown reason is `internal`.
refusal refusal_from_problem(const nlohmann::json& value);

}  // namespace cyclamenmount
