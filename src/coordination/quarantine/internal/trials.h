//! Owner side of the quarantine: decides which attempts of a fingerprint may start.
#pragma once

#include "coordination/quarantine/internal/suspects.h"

namespace cyclamenmount::detail {

//! State and event context of the quarantine functions.
struct quarantine_context {
    quarantine_state& state;
    const environment& env;
    const roster_state& roster;
    instant now;
    effects& out;
};

//! Hash key from which the roster determines the owner of a fingerprint in a pool.
std::string trial_owner_key(const fingerprint& body);

//! Replies whether the attempt may start, if this instance holds a valid owner lease.
void handle_trial_request(const quarantine_context& context, const instance_id& from,
                          const trial_request& request);

//! Updates the ledger of a permitted attempt that has ended.
void handle_trial_end(const quarantine_context& context, const trial_end& value);

//! Records in the ledger, if there is one, that the fingerprint isn't proven safe any more.
void record_crash(quarantine_state& state, const fingerprint& body);

//! Renews the ownership tenures of the ledgers after a change of the roster. A ledger whose tenure
//! was interrupted isn't marked as completed any more, and becomes authoritative only after older
//! attempts have ended.
void renew_ledgers(const quarantine_context& context);

}  // namespace cyclamenmount::detail
