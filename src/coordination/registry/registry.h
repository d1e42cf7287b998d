//! Claims of keyed requests, so that a repeat joins the running one and keeps finished stages.
#pragma once

#include "coordination/roster/roster.h"

namespace cyclamenmount {

//! Owned by the registry reducer.
struct registry_state {
    //! Reserved for the part; see registry.cpp.
    std::map<std::string, std::string> reserved;
};

registry_state make_registry();

//! Handles `claim_wanted`, `stage_finished`, `claim_ended` of this instance and the claim messages
//! of its peers; decides with `claim_decided`.
void reduce_registry(registry_state& state, const environment& env, const roster_state& roster,
                     const event& happened, instant now, effects& out);

}  // namespace cyclamenmount
