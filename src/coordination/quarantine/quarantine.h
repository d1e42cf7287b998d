//! Requests that crash what runs them: at most two upstreams fall to one fingerprint, fleet-wide.
#pragma once

#include "coordination/documents/documents.h"

namespace cyclamenmount {

//! An attempt of one fingerprint that its home has let start.
struct trial {
    instance_id holder;
    instant ends_at;
};

//! The home's book for one fingerprint.
struct trial_book {
    tenure held;
    std::map<attempt_id, trial> running;
    instant used_at;
};

//! Owned by the quarantine reducer; others use the functions below.
struct quarantine_state {
    std::map<fingerprint, suspect> suspects;
    std::map<fingerprint, trial_book> books;
    std::map<attempt_id, fingerprint> running_here;
};

quarantine_state make_quarantine();

void reduce_quarantine(quarantine_state& state, const environment& env, const roster_state& roster,
                       const event& happened, instant now, effects& out);

bool is_suspect(const quarantine_state& state, const fingerprint& body);

//! True if two upstreams have fallen to it.
bool is_quarantined(const quarantine_state& state, const fingerprint& body);

//! Asks the home of the fingerprint for one more attempt; the reply comes as a `trial_reply`.
//! False if there is no home.
bool ask_trial(const roster_state& roster, trial_request request, effects& out);

//! Order-independent digest of the suspects held; 0 if none.
std::uint64_t quarantine_digest(const quarantine_state& state);

}  // namespace cyclamenmount
