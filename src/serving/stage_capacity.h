//! Upper bounds on the pieces that a pool can make.
//!
//! The number of pieces comes with the request. One that no pool could make in time is known at
//! arrival, before anything is reserved or submitted for it.
#pragma once

#include "serving/stage_graph.h"
#include "serving/types/fleet_view.h"

#include <optional>

namespace cyclamenmount {

//! Largest number of pieces of one stage that is kept track of, whatever a pool can make.
inline constexpr int max_stage_pieces = 65'536;

//! Upper bound on the pieces that the upstreams of a pool make in the time: each makes full calls
//! all the while, at twice the nominal speed. At most `max_stage_pieces`.
int max_pieces(const stage_limits& limits, std::size_t upstreams, milliseconds time);

//! Index of the first stage with more pieces than its pool can make in the time, also if some of
//! the pool's upstreams are away at the moment; none if there is no such stage.
std::optional<std::size_t> find_oversized_stage(const stage_graph& graph, const fleet_view& view,
                                                milliseconds time);

}  // namespace cyclamenmount
