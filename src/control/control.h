//! The one reducer: all coordination parts over one state.
#pragma once

#include "coordination/admission/admission.h"
#include "coordination/once/once.h"
#include "coordination/registry/registry.h"

namespace cyclamenmount {

struct control_state {
    environment env;
    roster_state roster;
    documents_state documents;
    slots_state slots;
    shares_state shares;
    quarantine_state quarantine;
    once_state once;
    registry_state registry;
    dispatch_state dispatch;
    admission_state admission;
};

control_state make_control(environment env, instant now);

//! Applies one event. Messages to this instance itself are delivered within the call; they never
//! show up in the effects.
effects reduce(control_state& state, const event& happened, instant now);

//! What this instance has, as told in heartbeats.
known_versions versions_of(const control_state& state);

}  // namespace cyclamenmount
