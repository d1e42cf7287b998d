//! Packs pieces of many requests into the calls of one pool of stage upstreams.
//!
//! A reducer without I/O. An upstream works on one call at a time, and a call costs much more than
//! a piece, so one home packs for all instances: the pool's packer. Its state can be lost at any
//! time, since a piece may be made again.
#pragma once

#include "packing/types/piece_order.h"

#include <limits>
#include <map>
#include <set>
#include <span>
#include <variant>

namespace cyclamenmount {

// --- events -------------------------------------------------------------------------------------

struct order_placed {
    piece_order order;
};

struct order_cancelled {
    order_id id;
};

//! Results that nobody will use again.
struct results_released {
    std::vector<std::string> results;
};

enum class piece_status {
    made,
    late,        //!< its time had passed at its turn
    input_lost,  //!< an input is gone with its maker
    no_memory,   //!< the upstream has no memory for the result
    failed,
};

struct piece_outcome {
    piece_status status{piece_status::failed};
    std::string result;  //!< handle of the result if made
};

//! Outcomes in the order of the call's items.
struct call_answered {
    call_number call{0};
    std::vector<piece_outcome> outcomes;
};

enum class call_failure {
    refused,  //!< the upstream is full; it did nothing
    broken,   //!< no usable answer; the upstream may have died
};

struct call_failed {
    call_number call{0};
    call_failure why{call_failure::broken};
};

struct pool_changed {
    stage_limits limits;
    std::vector<pool_upstream> upstreams;
};

struct packer_tick {};

using packer_event = std::variant<order_placed, order_cancelled, results_released, call_answered,
                                  call_failed, pool_changed, packer_tick>;

// --- effects ------------------------------------------------------------------------------------

struct call_item {
    std::string request;
    std::size_t stage{0};
    int piece{0};  //!< from 0
    milliseconds time_left{0};
    std::string key;                                         //!< for stages without inputs
    std::shared_ptr<const std::vector<std::string>> inputs;  //!< null if there are none
};

struct make_call {
    call_number call{0};
    upstream_id upstream;
    std::string address;
    std::vector<call_item> items;
};

//! Results that their makers can forget; also such as another packer had made.
struct release_results {
    std::vector<std::string> results;
};

struct order_made {
    order_id id;
    std::vector<std::string> results;  //!< one a piece, in order
    zone_name zone;                    //!< of the upstream that made the last of them
};

struct order_refused {
    order_id id;
    pieces_verdict why{pieces_verdict::failed};
    milliseconds retry_after{0};  //!< when the queue will have drained enough
};

using packer_effect = std::variant<make_call, release_results, order_made, order_refused>;

// --- state --------------------------------------------------------------------------------------

enum class piece_progress { waiting, in_call, made };

struct open_order {
    piece_order order;
    instant placed_at{};
    std::vector<piece_progress> pieces;
    std::vector<std::string> results;
    zone_name zone;
    int failures{0};
};

struct held_result {
    std::uint64_t bytes{0};
    instant expires_at{};
};

struct packer_upstream {
    pool_upstream value;
    call_number call{0};  //!< in progress; 0: idle
    double slowness{1};   //!< measured time of calls over the expected, smoothed
    instant suspect_until{};
    milliseconds backoff{0};
    std::map<std::string, held_result> held;
    std::uint64_t foreign_bytes{0};  //!< held for others, as far as its refusals showed
    instant foreign_since{};
};

struct called_piece {
    order_id order;
    int piece{0};
    std::uint64_t bytes{0};
};

struct open_call {
    upstream_id upstream;
    std::vector<called_piece> pieces;
    instant started_at{};
    milliseconds expected{0};  //!< without the upstream's slowness
    bool is_overdue{false};    //!< its pieces were asked for again elsewhere
};

struct packer {
    stage_limits limits;
    std::map<upstream_id, packer_upstream> upstreams;
    std::map<order_id, open_order> orders;
    std::map<call_number, open_call> calls;
    call_number last_call{0};
};

std::vector<packer_effect> reduce(packer& state, const packer_event& happened, instant now);

//! How long the least urgent order that can still be on time would wait for its call to begin.
milliseconds waiting_time(const packer& state, instant now);

//! When everything that waits now would be made.
milliseconds drain_time(const packer& state, instant now);

}  // namespace cyclamenmount
