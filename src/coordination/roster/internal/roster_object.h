//! JSON form of the roster object, stored under the key `roster/CELL`.
#pragma once

#include "types/errors.h"
#include "types/fleet.h"

#include <span>
#include <string>
#include <string_view>

namespace cyclamenmount::detail {

//! Content of the roster object: the newest generation, and the previous generation's members. A
//! majority of the latter must acknowledge the newest generation before it can settle.
struct roster_object {
    roster value;
    std::vector<member> previous;  //!< members of the previous generation, if any
};

//! Key of the cell's roster object in the store.
std::string roster_key(std::string_view cell);

//! JSON text of the roster object.
std::string write_roster(const roster& value, std::span<const member> previous);

//! Fails if the text is malformed or its generation is 0.
result<roster_object> parse_roster(std::string_view text);

}  // namespace cyclamenmount::detail
