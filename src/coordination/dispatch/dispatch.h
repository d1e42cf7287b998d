//! Chooses an upstream for each attempt, after requesting the trial that the attempt needs and, for
//! a cold upstream, a slot.
#pragma once

#include "coordination/quarantine/quarantine.h"
#include "coordination/slots/slots.h"
#include "routing/stage_times.h"

namespace cyclamenmount {

//! An attempt that was requested and hasn't been decided.
struct pending_attempt {
    attempt_wanted wanted;
    instant requested_at;
    instant deadline;
    bool trial_granted{false};
    std::optional<instant> trial_requested_at;      //!< last trial request; none if it was denied
    std::optional<upstream_id> slot_requested_for;  //!< none if no slot request is open
    attempt_id slot;  //!< id of the requested slot, unique to this slot request
    instant slot_requested_at;
    int slot_request_count{0};  //!< slot requests sent for this attempt
    bool slot_may_wait{false};  //!< the owner may queue the request; no warm upstream has capacity
};

//! An attempt that has been granted and hasn't ended.
struct granted_attempt {
    upstream_id upstream;
    fingerprint body;
    pool_name pool;
    bool has_slot{false};  //!< the attempt was granted with a slot
};

//! Modified only by the dispatch reducer; other code uses the functions below.
struct dispatch_state {
    std::map<attempt_id, pending_attempt> pending;
    std::map<attempt_id, granted_attempt> granted;
    //! End of the backoff after a denied or unanswered slot request.
    std::map<upstream_id, instant> slot_denied_until;
    std::map<pool_name, stage_times> times;  //!< measured attempt times of each pool
    std::uint64_t random{1};                 //!< state of the pseudorandom generator
};

dispatch_state make_dispatch(const environment& env);

void reduce_dispatch(dispatch_state& state, const environment& env, const roster_state& roster,
                     const documents_state& documents, slots_state& slots,
                     const quarantine_state& quarantine, const event& happened, instant now,
                     effects& out);

//! Median duration of an attempt in the pool; 0 with fewer than 10 samples.
milliseconds median_time(const dispatch_state& state, const pool_name& pool);

//! 90th percentile of the duration of an attempt in the pool; 0 with fewer than 10 samples.
milliseconds percentile_90_time(const dispatch_state& state, const pool_name& pool);

}  // namespace cyclamenmount
