//! The reducer of the control thread, which runs all coordination components on one state.
#pragma once

#include "coordination/admission/admission.h"
#include "coordination/at_most_once/at_most_once.h"
#include "coordination/registry/registry.h"

namespace cyclamenmount {

//! State of all coordination components of one instance.
struct control_state {
    environment env;
    roster_state roster;
    documents_state documents;
    slots_state slots;
    shares_state shares;
    quarantine_state quarantine;
    at_most_once_state at_most_once;
    registry_state registry;
    dispatch_state dispatch;
    admission_state admission;
};

control_state make_control(environment env, instant now);

//! Applies one event and returns its effects. Messages that the instance sends to itself are
//! handled within the call and aren't returned.
effects reduce(control_state& state, const event& happened, instant now);

//! Versions of this instance's roster, documents and digests, as sent in heartbeats.
known_versions versions_of(const control_state& state);

}  // namespace cyclamenmount
