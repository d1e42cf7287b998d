//! Which upstreams a request may be sent to, and what all choices among them share.
#pragma once

#include "placement/placement.h"
#include "routing/choose.h"

namespace cyclamenmount::detail {

using upstream_list = std::vector<serving_upstream>;

//!< weight of one outcome in the smoothed error rate
//! Limit of running and queued requests per slot for requests without a prompt.
inline constexpr int requests_per_slot = 2;
//! A model engine with at least this load only gets prompts if all other engines are busy too.
inline constexpr double busy_engine_load = 0.85;

//! Load reports of this age are ignored: most of the reported requests have ended since.
inline constexpr milliseconds max_report_age{1500};

const upstream_list& upstreams_of(const fleet_view& view, const pool_name& pool);

//! Null if the configuration doesn't name the pool.
const pool_limits* limits_of(const fleet_view& view, const pool_name& pool);

//! Number of instances by which the rates of upstreams are divided; 0 if this one has no part.
int sharing_instances(placement_state& state, const fleet_view& view, instant now);

//! Position of this instance among those that share the upstream's rates.
const instance_rank& cached_rank(placement_state& state, const fleet_view& view,
                                 const upstream_id& upstream, instant now);

bool is_cold(const serving_upstream& upstream, instant now);

//! True if this instance's part of a cold upstream's rate has room.
bool may_send_cold(placement_state& state, const fleet_view& view, const pool_limits& pool,
                   const serving_upstream& upstream, instant now);

//! Time until the upstream's directives allow a request of this instance.
milliseconds time_to_next_request(placement_state& state, const fleet_view& view,
                                  const serving_upstream& upstream, instant now);

bool is_avoided(const placement_state& state, const upstream_record& record, instant now);

//! This instance's share of the connections that one upstream accepts.
int connection_share(const fleet_view& view, const pool_limits* pool);

candidate make_candidate(const upstream_record& record, const serving_upstream& upstream,
                         int capacity, instant now);

//! Hash of the shared part that identifies the prompt's prefix.
std::uint64_t prefix_key(std::span<const prompt_part> prompt);

std::uint64_t prompt_tokens(std::span<const prompt_part> prompt);

//! Returns true if the prompt is shorter than most of its pool, and updates their mean.
bool is_short_prompt(placement_state& state, const placement_request& wanted);

//! A limit counts requests, whatever their size, so short prompts leave the places at limited
//! engines to long ones if another engine isn't busy.
bool leaves_place(const upstream_record& record, bool is_short);

}  // namespace cyclamenmount::detail
