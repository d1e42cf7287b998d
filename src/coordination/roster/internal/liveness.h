//! Liveness of peers: pings, pongs and the platform's instance list.
#pragma once

#include "coordination/roster/roster.h"

namespace cyclamenmount::detail {

//! True for this instance itself, and for a peer that answered a ping sent within the last
//! `within`.
bool is_responsive(const roster_state& state, const instance_id& id, milliseconds within,
                   instant now);

//! True if a peer has answered no ping for `suspect_after`. Time in which this process was paused
//! doesn't count.
bool is_suspected(const roster_state& state, const environment& env, const instance_id& id,
                  instant now);

bool contains(std::span<const member> members, const instance_id& id);

//! True if `count` is more than half of `members`.
bool is_majority(std::size_t count, std::span<const member> members);

//! True if the instance list contains an entry instance with this id or address that isn't leaving.
bool is_listed(const roster_state& state, const member& peer);

//! Sends a ping to every known peer.
void send_heartbeat(roster_state& state, const environment& env, instant now, effects& out);
//! Records the sender, replies with a pong, and sends the roster if the ping reported an older one.
void on_ping(roster_state& state, const instance_id& from, const ping& message, instant now,
             effects& out);
//! Records the pong, and sends the peer the roster if the pong reported an older one.
void on_pong(roster_state& state, const instance_id& from, const pong& message, instant now,
             effects& out);
//! Replaces the instance list after a successful read, and updates the members' listings.
void on_listed(roster_state& state, const instances_listed& list, instant now);

//! Removes non-members that have sent no ping for a long time, and sent pings whose pongs are too
//! late to count.
void prune(roster_state& state, const environment& env, instant now);

//! All peers that get pings and roster notices: members, listed instances and recent ping senders.
std::vector<member> known_peers(const roster_state& state, const environment& env, instant now);

}  // namespace cyclamenmount::detail
