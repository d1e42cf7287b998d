//! Max-min fair division of a limit by demand.
#pragma once

#include "coordination/shares/shares.h"

#include <span>

namespace cyclamenmount::detail {

//! Divides `limit` over the demands: nobody gets less than demanded while another gets more than
//! the level; what is left over goes to all alike.
std::vector<double> divide(double limit, std::span<const double> demands);

//! Likewise in whole units.
std::vector<int> divide_units(int limit, std::span<const int> demands);

//! What a member may use without a grant.
workspace_share floor_share(const workspace_name& workspace, const allowance& limits,
                            std::size_t member_count);

//! The even part of one member.
workspace_share even_share(const workspace_name& workspace, const allowance& limits,
                           std::size_t member_count);

//! True if the member wants nothing, and so gives up what it holds beyond the floor.
bool is_zero(const workspace_demand& demand);

workspace_share lower_of(const workspace_share& left, const workspace_share& right);

workspace_share higher_of(const workspace_share& left, const workspace_share& right);

}  // namespace cyclamenmount::detail
