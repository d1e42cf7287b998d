//! Quarantine of requests that crash upstreams: over the whole fleet, one request fingerprint may
//! crash at most two upstreams.
//!
//! Each pair of fingerprint and pool is tracked separately, because a stage that completes in one
//! pool doesn't show that the request is safe for the upstreams of another. Until an attempt has
//! completed, the owner of the pair permits a new attempt only while the running attempts and the
//! crashed upstreams together are fewer than two. If the owner is unreachable, an instance starts
//! an attempt without permission unless its fingerprint is suspect; attempts of suspects wait.
#pragma once

#include "coordination/documents/documents.h"

namespace cyclamenmount {

namespace quarantine_limits {

//! Number of crashed upstreams at which a fingerprint is quarantined.
inline constexpr std::size_t max_crashes = 2;
//! Maximum number of suspects that an instance keeps.
inline constexpr std::size_t max_suspects = 4096;
//! Maximum number of fingerprints tracked by an owner; the least recently used are dropped.
inline constexpr std::size_t max_ledgers = 8192;
//! Maximum number of attempts, running or waiting to start, that an instance tracks.
inline constexpr std::size_t max_attempts = 16384;
//! Maximum number of upstreams whose latest incarnation an instance keeps.
inline constexpr std::size_t max_incarnations = 8192;

}  // namespace quarantine_limits

//! A running attempt that the owner of its fingerprint has permitted.
struct trial {
    instance_id runner;  //!< instance that runs the attempt
    instant ends_at;     //!< latest end of the attempt
};

//! The owner's account of the attempts of one fingerprint in one pool.
struct trial_ledger {
    tenure held;  //!< ownership tenure of this instance for the fingerprint
    std::map<attempt_id, trial> running;
    bool completed{false};  //!< an attempt completed, and no upstream has crashed since
    //! From this time on `running` is complete: attempts that a previous owner or a dropped ledger
    //! permitted have ended.
    instant authoritative_from;
    instant last_used_at;  //!< key in `quarantine_state::ledgers_by_use`
};

//! An attempt of this instance, from its request to its end.
struct tracked_attempt {
    fingerprint body;      //!< fingerprint of the request in the attempt's pool
    bool is_trial{false};  //!< permitted by the owner, which must receive the end
    instant ends_at;       //!< latest end of the attempt
};

//! Modified only by the quarantine reducer; other components use the functions below.
struct quarantine_state {
    std::map<fingerprint, suspect> suspects;      //!< suspects by fingerprint and pool
    std::uint64_t digest{0};                      //!< digest of `suspects`
    std::map<fingerprint, trial_ledger> ledgers;  //!< ledgers of owned fingerprints
    //! Keys of `ledgers` by time of latest use.
    std::map<instant, fingerprint> ledgers_by_use;
    std::map<attempt_id, tracked_attempt> local_attempts;
    std::map<upstream_id, std::string> incarnations;  //!< latest reported incarnations
    generation_number generation{0};  //!< roster generation of the latest ledger renewal
    instant roster_since;             //!< time of the latest ledger renewal
    instant dropped_attempts_end_at;  //!< attempts of dropped ledgers have ended by this time
    instant last_use;                 //!< latest key of `ledgers_by_use`
    instant next_purge;               //!< time of the next removal of overdue attempts
};

quarantine_state make_quarantine();

//! Tracks local attempts, permits trials as the owner, and exchanges suspects with the peers.
void reduce_quarantine(quarantine_state& state, const environment& env, const roster_state& roster,
                       const event& happened, instant now, effects& out);

//! Appends a pool to a request fingerprint. The result identifies the pair in trial messages and
//! suspects, as their `body`.
fingerprint pool_fingerprint(const fingerprint& body, const pool_name& pool);

//! True if an upstream of any pool crashed while it ran this request fingerprint, and no attempt
//! has completed in that pool since.
bool is_suspect(const quarantine_state& state, const fingerprint& body);

//! True if this request fingerprint has crashed two upstreams of one pool.
bool is_quarantined(const quarantine_state& state, const fingerprint& body);

//! Owner of a pair of fingerprint and pool, as combined above; none before a roster is known.
std::optional<member> trial_owner(const roster_state& roster, const fingerprint& body);

//! Requests permission for an attempt from the owner, which replies with a `trial_reply`. False if
//! there is no owner.
bool request_trial(const roster_state& roster, trial_request request, effects& out);

//! Order-independent digest of the suspects in the state; 0 if there are none.
std::uint64_t quarantine_digest(const quarantine_state& state);

}  // namespace cyclamenmount
