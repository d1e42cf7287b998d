//! One instance's side of packing: where it sends its orders, and what it packs for others.
//!
//! The home of a pool is the live member whose address has the highest rendezvous weight, so a
//! process that starts again is its machine's packer as before. Machines with less than half of the
//! processor of the strongest aren't homes. Instances may disagree
//! on who is live, so a pool can have two packers for a while; pieces may be made twice, and an
//! upstream refuses a call that it has no place for. Orders at a home that falls silent are placed
//! again at the next.
#pragma once

#include "packing/packer.h"
#include "serving/types/fleet_view.h"
#include "types/effects.h"

#include <deque>

namespace cyclamenmount {

// --- events -------------------------------------------------------------------------------------

struct view_changed {
    fleet_view_ptr view;
};

//! `order.id` is drawn by the desk's user: this instance and a number not used before.
struct pieces_wanted {
    pool_name pool;
    piece_order order;
};

struct pieces_abandoned {
    std::uint64_t number{0};
};

struct results_unused {
    pool_name pool;
    std::vector<std::string> results;
};

struct peer_said {
    instance_id from;
    peer_message message;
};

struct stage_call_answered {
    pool_name pool;
    call_answered value;
};

struct stage_call_failed {
    pool_name pool;
    call_failed value;
};

//! This instance stops: it places its orders elsewhere if it can.
struct desk_leaving {};

struct desk_tick {};

using desk_event =
    std::variant<view_changed, pieces_wanted, pieces_abandoned, results_unused, peer_said,
                 stage_call_answered, stage_call_failed, desk_leaving, desk_tick>;

// --- effects ------------------------------------------------------------------------------------

struct call_stage {
    pool_name pool;
    make_call call;
};

//! The order with this number has ended.
struct pieces_ended {
    std::uint64_t number{0};
    pieces_reply reply;
};

enum class peer_verdict {
    silent,     //!< gets no orders until it answers a ping
    not_ready,  //!< knows no upstreams yet; gets no orders for a while
    heard,      //!< is used again
};

//! What this instance believes of a peer has changed.
struct peer_judged {
    std::string address;
    peer_verdict verdict{peer_verdict::heard};
    milliseconds unheard{0};  //!< since the first ping without an answer
};

using desk_effect =
    std::variant<call_stage, release_results, pieces_ended, send_to_peer, peer_judged>;

// --- state --------------------------------------------------------------------------------------

//! Of whoever listens at one address; a process that starts again there goes on packing.
struct peer_health {
    instant heard_at{};
    instant asked_at{};  //!< first ping without an answer; zero if none is open
    instant pinged_at{};
    bool is_silent{false};
    instant unready_until{};
    std::deque<std::uint64_t> sequences;  //!< of the last pings
    instance_id process;                  //!< that answered last
};

struct outstanding_order {
    pool_name pool;
    piece_order order;
    std::string home;  //!< address; this instance's own if it packs itself
    instant placed_at{};
};

struct told_wait {
    milliseconds wait{0};
    instant at{};
};

struct desk {
    member self;
    bool is_leaving{false};
    fleet_view_ptr view;
    std::map<std::string, peer_health> peers;  //!< by address
    std::uint64_t last_sequence{0};
    std::map<instance_id, member> askers;  //!< where to answer
    std::map<pool_name, packer> packers;
    std::map<std::uint64_t, outstanding_order> outstanding;
    std::map<pool_name, told_wait> waits;
};

//! What an order at the pool would wait, as its packer told last; 0 if that is too long ago.
milliseconds known_wait(const desk& state, const pool_name& pool, instant now);

std::vector<desk_effect> reduce(desk& state, const desk_event& happened, instant now);

//! Address of the member that packs for `pool`, as this instance sees it; its own if it knows no
//! other.
std::string home_of(const desk& state, const pool_name& pool, instant now);

}  // namespace cyclamenmount
