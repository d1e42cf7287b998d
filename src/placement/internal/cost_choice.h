//! Choice of the upstream with the least expected cost, under load control.
#pragma once

#include "placement/placement.h"

namespace cyclamenmount::detail {

std::optional<serving_upstream> place_by_cost(placement_state& state, const fleet_view& view,
                                              const placement_request& wanted, instant now);

//! Zone of the first home of the prompt's prefix; empty if the pool has no usable upstream.
zone_name home_zone(placement_state& state, const fleet_view& view, const placement_request& wanted,
                    instant now);

}  // namespace cyclamenmount::detail
