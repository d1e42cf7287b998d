//! Changes of the roster: reading it, bootstrapping, proposing and settling generations.
#pragma once

#include "coordination/roster/roster.h"

namespace cyclamenmount::detail {

//! True if `previous` holds the generation directly before `newest`.
bool has_previous(const roster_state& state);

//! Replaces `newest` by a roster that is known to be in the store, if that is a later generation or
//! the settled form of the same generation.
void adopt(roster_state& state, const environment& env, const roster& value, object_version version,
           instant now, effects& out);

//! Handles the reply to the store call in flight; ignores replies to earlier calls.
void on_store_replied(roster_state& state, const environment& env, const store_replied& reply,
                      instant now, effects& out);

//! Starts the next store call that a change of the membership needs, unless one is in flight.
void advance_membership(roster_state& state, const environment& env, instant now, effects& out);

}  // namespace cyclamenmount::detail
