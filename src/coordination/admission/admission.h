//! Admission control: admits or refuses requests by workspace key, plan, target, deadline and the
//! instance's share of the workspace's limits.
#pragma once

#include "coordination/dispatch/dispatch.h"
#include "coordination/shares/shares.h"

#include <set>

namespace cyclamenmount {

//! Modified only by the admission reducer; other components use the functions below.
struct admission_state {
    std::set<ticket> running;  //!< numbers of the admitted requests that haven't ended
    bool stopping{false};      //!< a stop was requested; no request is admitted any more
    bool drained{false};       //!< the `drained` effect was emitted
};

admission_state make_admission();

//! Replies to each `admission_wanted` with an `admission_decided`, and emits `drained` once at the
//! end of a stop. Charges admitted requests to the workspace's share.
void reduce_admission(admission_state& state, const environment& env, const roster_state& roster,
                      const documents_state& documents, shares_state& shares,
                      const quarantine_state& quarantine, const dispatch_state& dispatch,
                      const event& happened, instant now, effects& out);

//! True once this instance is stopping and no request is running. The instance stays in the roster
//! until then, so that owners still count its running requests and grant their remaining stages.
bool is_ready_to_leave(const admission_state& state);

//! True if this instance accepts requests: it has the plan list and the allowance list, is a member
//! of the roster, and isn't stopping.
bool is_ready(const admission_state& state, const roster_state& roster,
              const documents_state& documents);

}  // namespace cyclamenmount
