//! Moves a pool's traffic to another software version and back if that version is bad.
//!
//! A reducer without I/O. Every process keeps the target to its own share of its own requests, so
//! that the sum over all processes holds without messages. Processes send their counts to the first
//! three members by rendezvous weight of the pool's name; the first one that is alive decides. The
//! store's status is the only durable result.
#pragma once

#include "version_rollout/types/rollout_state.h"

#include <array>

namespace cyclamenmount {

//! Part of the allowed share that is used; the rest covers repeats of requests.
inline constexpr double used_share = 0.8;
inline constexpr milliseconds report_period{500};
//! Silence of the deciders before it after which a decider takes over, times its rank.
inline constexpr milliseconds decider_silence{1200};
inline constexpr std::size_t decider_count = 3;

//! Returns the state of a process that has read nothing yet.
rollout_state make_rollout_state(rollout_settings settings);

//! Applies one event to the state and returns the effects to carry out.
std::vector<rollout_effect> reduce(rollout_state& state, const rollout_event& happened,
                                   instant now);

//! Versions that a new request of the pool and route may be sent to.
version_choice choose_versions(const rollout_state& state, const pool_name& pool,
                               const std::string& route, instant now);

//! True if a stream that the version began may go on at it.
bool may_continue(const rollout_state& state, const pool_name& pool,
                  const software_version& version, instant now);

//! Records that a request was sent to an upstream. Each is followed by `record_ended`.
void record_sent(rollout_state& state, const sent_request& sent, instant now);

//! Records how a sent request ended.
void record_ended(rollout_state& state, const ended_request& ended);

//! The members that decide on orders of the pool, first one first.
std::vector<member> deciders_of(const fleet_view& view, const pool_name& pool);

//! Age of the order.
milliseconds order_age(const order_progress& progress, instant now);

//! Name of a step for the log.
std::string_view enum_name(rollout_step value);

}  // namespace cyclamenmount
