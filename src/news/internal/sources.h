//! Which peers an instance asks for news.
#pragma once

#include "types/fleet.h"

#include <span>
#include <string>
#include <vector>

namespace cyclamenmount::detail {

//! Addresses of the peers to ask, best first; empty for the member that ranks first.
std::vector<std::string> rank_sources(const member& self, std::span<const member> members);

}  // namespace cyclamenmount::detail
