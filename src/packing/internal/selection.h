//! Which pieces go into the next call of an upstream, and when an order would be made.
#pragma once

#include "packing/packer.h"

namespace cyclamenmount::detail {

//! Time of a call with so many pieces, as the pool's limits say.
milliseconds call_time(const stage_limits& limits, int pieces);

//! The same at one upstream, with its measured slowness.
milliseconds call_time_at(const packer& state, const packer_upstream& upstream, int pieces);

bool is_usable(const packer_upstream& upstream, instant now);

//! Bytes of results that one upstream takes; less than its memory, since sizes are approximate.
std::uint64_t result_capacity(const packer& state);

//! Bytes that this packer's results hold at an upstream, its call in progress included.
std::uint64_t held_bytes(const packer& state, const packer_upstream& upstream);

//! Pieces for a call of `upstream` now; empty if it should stay idle.
std::vector<called_piece> select_pieces(const packer& state, const packer_upstream& upstream,
                                        instant now);

//! When an order placed now would be made, behind what goes first.
instant expected_end(const packer& state, const piece_order& order, instant now);

//! True if work on `left` goes before work on `right`.
bool goes_first(const packer& state, const piece_order& left, const piece_order& right,
                instant now);

int waiting_pieces(const open_order& order);

}  // namespace cyclamenmount::detail
