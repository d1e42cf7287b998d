//! Check of a serving configuration before it is submitted. Does no I/O.
#pragma once

#include "config_check/types/checked_config.h"

#include <span>

namespace cyclamenmount {

//! Returns errors, entries without effect and limits that contradict each other, in the order of
//! the configuration.
std::vector<config_finding> check_config(const checked_config& checked);

//! Returns what `next` adds, removes and changes. A version that isn't higher is an error, as
//! instances keep the version in force.
std::vector<config_finding> compare_configs(const checked_config& in_force,
                                            const checked_config& next);

//! True if one of the findings is an error.
bool has_errors(std::span<const config_finding> findings);

}  // namespace cyclamenmount
