//! Chooses an upstream for each attempt and gets what it needs: a trial, and a slot if it is cold.
#pragma once

#include "coordination/quarantine/quarantine.h"
#include "coordination/slots/slots.h"
#include "routing/stage_times.h"

namespace cyclamenmount {

//! An attempt between the question and the decision.
struct pending_attempt {
    attempt_wanted wanted;
    instant asked_at;
    instant deadline;
    bool trial_granted{false};
    std::optional<instant> trial_asked_at;
    std::optional<upstream_id> slot_asked;  //!< waiting for this upstream's home
    attempt_id slot;                        //!< name of the slot asked for, unique to the question
    instant slot_asked_at;
    int slot_asks{0};
};

//! An attempt that has been granted and hasn't ended.
struct granted_attempt {
    upstream_id upstream;
    fingerprint body;
    pool_name pool;
    bool slot{false};
};

//! Owned by the dispatch reducer; others use the functions below.
struct dispatch_state {
    std::map<attempt_id, pending_attempt> pending;
    std::map<attempt_id, granted_attempt> granted;
    std::map<upstream_id, instant> slot_denied_until;
    std::map<pool_name, stage_times> times;  //!< measured stage times
    std::uint64_t random{1};
};

dispatch_state make_dispatch(const environment& env);

void reduce_dispatch(dispatch_state& state, const environment& env, const roster_state& roster,
                     const documents_state& documents, slots_state& slots,
                     const quarantine_state& quarantine, const event& happened, instant now,
                     effects& out);

//! Median time of a whole attempt in the pool; 0 if not measured yet.
milliseconds expected_time(const dispatch_state& state, const pool_name& pool);

//! Time within which nine of ten attempts in the pool end; 0 if not measured yet.
milliseconds likely_time(const dispatch_state& state, const pool_name& pool);

}  // namespace cyclamenmount
