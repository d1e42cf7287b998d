//! Selection of the sync sources of an instance.
#pragma once

#include "types/fleet.h"

#include <span>
#include <string>
#include <vector>

namespace cyclamenmount::detail {

//! Returns the addresses of the sources, highest rank first; empty for the member that ranks first,
//! which reads the store itself.
std::vector<std::string> rank_sources(const member& self, std::span<const member> members);

}  // namespace cyclamenmount::detail
