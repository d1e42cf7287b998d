//! The header `X-Load`.
#pragma once

#include "types/fleet.h"

#include <string_view>

namespace cyclamenmount::detail {

//! None if malformed. The upstream's id isn't in the header.
std::optional<upstream_report> parse_load_header(std::string_view text);

}  // namespace cyclamenmount::detail
