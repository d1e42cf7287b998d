//! Selects the upstreams that can take an attempt now.
#pragma once

#include "coordination/dispatch/dispatch.h"

namespace cyclamenmount::detail {

//! State and inputs for handling one event.
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

//! The upstreams selected for an attempt.
struct selection {
    bool has_upstream{false};         //!< true if any upstream of the pool is in service
    std::optional<upstream_id> warm;  //!< warm upstream where the attempt may start at once
    std::optional<upstream_id> cold;  //!< cold upstream whose owner may grant a slot
    bool cold_first{false};           //!< request a slot before using the warm upstream
};

selection select_upstream(dispatch_context& context, const attempt_wanted& wanted);

//! True if attempts may start at the upstream, with a slot if they need one.
bool is_in_service(const dispatch_context& context, const upstream_state& upstream);

//! Next 64 pseudorandom bits (SplitMix64).
std::uint64_t next_random(dispatch_state& state);

}  // namespace cyclamenmount::detail
