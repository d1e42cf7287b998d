//! Learned figures of a pool's upstreams, side by side for the choice among many.
#pragma once

#include "placement/placement.h"

namespace cyclamenmount::detail {

//! The pool's index, brought up to date; null if the view doesn't have the pool.
pool_index* update_index(placement_state& state, const fleet_view& view, const pool_name& pool,
                         instant now);

//! Factor of the upstream now: the learned one and the last report of how long work takes there,
//! which loses its meaning with its age.
double current_factor(const indexed_upstream& upstream, instant now);

}  // namespace cyclamenmount::detail
