//! Non-idempotent calls at most once: permits given by a key's home after they are in the journal.
#pragma once

#include "coordination/roster/roster.h"

namespace cyclamenmount {

//! Owned by the once reducer.
struct once_state {
    //! Reserved for the part; see once.cpp.
    std::map<std::string, std::string> reserved;
};

once_state make_once();

//! Handles `permit_wanted`, `permit_returned`, `call_ended` of this instance and the permit
//! messages of its peers; decides with `permit_decided`.
void reduce_once(once_state& state, const environment& env, const roster_state& roster,
                 const event& happened, instant now, effects& out);

}  // namespace cyclamenmount
