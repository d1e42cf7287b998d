//! Admits or refuses a request by plan, allowed target, deadline and share.
#pragma once

#include "coordination/dispatch/dispatch.h"
#include "coordination/shares/shares.h"

#include <set>

namespace cyclamenmount {

//! Owned by the admission reducer; others use the functions below.
struct admission_state {
    std::set<ticket> running;
    bool stopping{false};
    bool drained{false};  //!< told once
};

admission_state make_admission();

void reduce_admission(admission_state& state, const environment& env, const roster_state& roster,
                      const documents_state& documents, shares_state& shares,
                      const quarantine_state& quarantine, const dispatch_state& dispatch,
                      const event& happened, instant now, effects& out);

//! True once this instance is stopping and nothing runs: only then it leaves the roster, so that
//! what still runs is counted by the homes and can acquire its remaining stages.
bool wants_to_leave(const admission_state& state);

//! True if this instance takes requests: it has both lists, is a member, and isn't stopping.
bool is_ready(const admission_state& state, const roster_state& roster,
              const documents_state& documents);

}  // namespace cyclamenmount
