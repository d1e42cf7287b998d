//! The object `roster/CELL` as JSON.
#pragma once

#include "types/errors.h"
#include "types/fleet.h"

#include <span>
#include <string>
#include <string_view>

namespace cyclamenmount::detail {

//! What the object holds: a generation and the members of the one before it, by whose majority it
//! has to be acknowledged.
struct roster_object {
    roster value;
    std::vector<member> previous;
};

std::string roster_key(std::string_view cell);

std::string write_roster(const roster& value, std::span<const member> previous);

result<roster_object> parse_roster(std::string_view text);

}  // namespace cyclamenmount::detail
