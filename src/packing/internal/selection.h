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

//! Orders with waiting pieces, the most urgent first.
struct order_queue {
    std::vector<const open_order*> orders;
    int waiting{0};  //!< pieces of all of them
};

order_queue rank_orders(const packer& state, instant now);

//! Pieces for a call of `upstream` now; empty if it should stay idle.
std::vector<called_piece> select_pieces(const packer& state, const packer_upstream& upstream,
                                        const order_queue& queue, instant now);

//! When an order placed now would be made, behind what goes first.
instant expected_end(const packer& state, const piece_order& order, instant now);

//! When each order with waiting pieces would be made.
struct order_forecast {
    const open_order* open;
    instant end;
};

std::vector<order_forecast> expected_ends(const packer& state, instant now);

int waiting_pieces(const open_order& order);

}  // namespace cyclamenmount::detail
