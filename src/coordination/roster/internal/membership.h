//! Changes of the roster: reading, bootstrapping, proposing and settling generations.
#pragma once

#include "coordination/roster/roster.h"

namespace cyclamenmount::detail {

//! True if `previous` is the generation before `newest`.
bool knows_previous(const roster_state& state);

//! Takes over a roster that the store holds, if it is newer than what is known.
void adopt(roster_state& state, const environment& env, const roster& value, object_version version,
           instant now, effects& out);

void on_store_replied(roster_state& state, const environment& env, const store_replied& reply,
                      instant now, effects& out);

//! Starts the store call that the membership needs, if any and if none is in flight.
void advance_membership(roster_state& state, const environment& env, instant now, effects& out);

}  // namespace cyclamenmount::detail
