//! Which upstream an attempt may go to now.
#pragma once

#include "coordination/dispatch/dispatch.h"

namespace cyclamenmount::detail {

//! What one event is handled with.
struct dispatch_context {
    dispatch_state& state;
    const environment& env;
    const roster_state& roster;
    const documents_state& documents;
    slots_state& slots;
    const quarantine_state& quarantine;
    instant now;
    effects& out;
};

//! What can be done for an attempt.
struct selection {
    bool any{false};                  //!< an upstream is in service
    std::optional<upstream_id> warm;  //!< may start at once
    std::optional<upstream_id> cold;  //!< its home may give a slot
    bool cold_first{false};           //!< the warm ones are loaded and the cold one has room
};

selection select_upstream(dispatch_context& context, const attempt_wanted& wanted);

//! True if new work may go to the upstream, with a slot if it needs one.
bool is_in_service(const dispatch_context& context, const known_upstream& upstream);

//! Next random bits of the state.
std::uint64_t next_random(dispatch_state& state);

}  // namespace cyclamenmount::detail
