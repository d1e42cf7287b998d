//! The operators' two lists as INI text. Unknown sections and names are findings.
#pragma once

#include "types/configuration.h"
#include "types/errors.h"
#include "types/fleet.h"

#include <string>
#include <string_view>

namespace cyclamenmount {

//! `[workspace NAME]` with `plan` and `key_sha256`. `file` only names the place of findings.
checked<plan_list> parse_plans(std::string_view text, std::string_view file);

//! `[plan NAME]` with `pipelines`, `services` (comma separated), `requests_per_second`,
//! `concurrent`, `tokens_per_minute`, `priority`.
checked<allowance_list> parse_allowances(std::string_view text, std::string_view file);

//! Findings about workspaces whose plan has no allowance, and names the topology doesn't have.
findings cross_check(const plan_list& plans, const allowance_list& allowances,
                     const topology& known, std::string_view file);

}  // namespace cyclamenmount
