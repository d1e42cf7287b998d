//! Parses the operators' plan list and allowance list from INI text. Unknown sections and names are
//! findings.
#pragma once

#include "types/configuration.h"
#include "types/errors.h"
#include "types/fleet.h"

#include <string>
#include <string_view>

namespace cyclamenmount {

//! Parses sections `[workspace NAME]` with `plan` and `key_sha256`. `file` is the file name shown
//! in findings.
checked<plan_list> parse_plans(std::string_view text, std::string_view file);

//! Parses sections `[plan NAME]` with `pipelines`, `services` (comma separated),
//! `requests_per_second`, `concurrent`, `tokens_per_minute` and `priority`.
checked<allowance_list> parse_allowances(std::string_view text, std::string_view file);

//! Reports workspaces whose plan has no allowance, and allowances for pipelines or services that
//! aren't in the topology.
findings cross_check(const plan_list& plans, const allowance_list& allowances,
                     const topology& known, std::string_view file);

}  // namespace cyclamenmount
