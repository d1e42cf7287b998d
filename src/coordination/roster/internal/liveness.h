//! Who is there: pings, answers and the platform's list.
#pragma once

#include "coordination/roster/roster.h"

namespace cyclamenmount::detail {

//! True if this instance or an answer to a ping sent within `within` vouches for `id`.
bool is_heard(const roster_state& state, const instance_id& id, milliseconds within, instant now);

//! True if a member has not answered for `suspect_after` while this process was running.
bool is_silent(const roster_state& state, const environment& env, const instance_id& id,
               instant now);

bool contains(std::span<const member> members, const instance_id& id);

//! True if `count` is more than half of `members`.
bool is_majority(std::size_t count, std::span<const member> members);

//! True if the list shows an entry instance with this id or address that isn't leaving.
bool is_listed(const roster_state& state, const member& who);

void send_heartbeat(roster_state& state, const environment& env, instant now, effects& out);
void on_ping(roster_state& state, const instance_id& from, const ping& message, instant now,
             effects& out);
void on_pong(roster_state& state, const instance_id& from, const pong& message, instant now,
             effects& out);
void on_listed(roster_state& state, const instances_listed& list, instant now);

//! Forgets peers that nothing was heard of for long, and pings too old to be answered.
void prune(roster_state& state, const environment& env, instant now);

//! Everyone whom this instance should ping or tell, without itself.
std::vector<member> known_peers(const roster_state& state, const environment& env, instant now);

}  // namespace cyclamenmount::detail
