//! JSON form of the roster object, stored under the key `roster/CELL`.
#pragma once

#include "types/errors.h"
#include "types/fleet.h"

#include <span>
#include <string>
#include <string_view>

namespace cyclamenmount::detail {

//! Content of the object: a generation, and the members of the generation before it. A majority of
//! these must acknowledge the generation before it settles.
struct roster_object {
    roster value;
    std::vector<member> previous;  //!< members of the generation before; empty for the first
};

//! Key of the cell's roster object in the store.
std::string roster_key(std::string_view cell);

//! JSON text of the roster object.
std::string write_roster(const roster& value, std::span<const member> previous);

//! Fails if the text is malformed or its generation is 0.
result<roster_object> parse_roster(std::string_view text);

}  // namespace cyclamenmount::detail
