//! Max-min fair division of limits by demand.
#pragma once

#include "coordination/shares/shares.h"

#include <span>

namespace cyclamenmount::detail {

//! Divides `limit` among the demands. If they exceed it, every part is capped at the same level,
//! and smaller demands are met in full; otherwise the rest is spread equally.
std::vector<double> divide(double limit, std::span<const double> demands);

//! Divides `limit` in the same way into whole units.
std::vector<int> divide_units(int limit, std::span<const int> demands);

//! Returns the share that a member may use without a grant.
workspace_share floor_share(const workspace_name& workspace, const allowance& limits,
                            std::size_t member_count);

//! Returns the limits divided by the number of members.
workspace_share equal_share(const workspace_name& workspace, const allowance& limits,
                            std::size_t member_count);

//! Returns true if the member has no demand, and so releases its share above the floor.
bool is_zero(const workspace_demand& demand);

//! Returns the lower value of each limit.
workspace_share lower_of(const workspace_share& left, const workspace_share& right);

//! Returns the higher value of each limit.
workspace_share higher_of(const workspace_share& left, const workspace_share& right);

}  // namespace cyclamenmount::detail
