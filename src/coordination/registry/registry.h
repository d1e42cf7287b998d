//! Request registry: claims of keyed idempotent requests. A repeated request joins the run of the
//! first one, or reuses its finished stages if the instance that ran it has left the roster.
//!
//! Claims are kept only in the memory of the key's owner. A new owner has no claims and lets the
//! next request with the key run. Such requests are idempotent, so a second run only costs work,
//! while requests to every member, or a wait, would delay each request after each change of the
//! roster.
#pragma once

#include "coordination/roster/roster.h"

namespace cyclamenmount {

namespace registry_limits {

//! Maximum number of claims that an owner keeps; the oldest is dropped first.
inline constexpr std::size_t max_claims = 4096;

//! Maximum size of one stage result in bytes; larger results aren't kept.
inline constexpr std::size_t max_stage_bytes = 4096;

//! Maximum size of all stage results at one owner in bytes.
inline constexpr std::size_t max_total_bytes = 4194304;

//! Maximum number of stage results kept for one claim.
inline constexpr std::size_t max_stages = 16;

//! Time for which an ended claim can still be joined.
inline constexpr milliseconds retention_after_end{60'000};

//! A request without a reply from the owner in this time runs without a claim.
inline constexpr milliseconds reply_timeout{150};

//! Maximum time until a claim without an end notice counts as ended.
inline constexpr milliseconds max_lifetime{600'000};

}  // namespace registry_limits

//! An idempotency key; each workspace has its own keys.
struct claim_key {
    workspace_name workspace;
    idempotency_key key;

    auto operator<=>(const claim_key&) const = default;
};

//! A claim at the owner of its key.
struct registered_claim {
    fingerprint body;                    //!< fingerprint of the request body
    request_id request;                  //!< id of the claimed request
    member runner;                       //!< instance that runs the request
    std::vector<finished_stage> stages;  //!< results of finished stages
    std::size_t bytes{0};                //!< size of the stage results
    instant claimed_at;
    instant expires_at;  //!< the claim is removed after this time
    bool ended{false};   //!< the request has ended
};

//! A claim request of this instance that awaits the owner's reply.
struct pending_claim {
    claim_request request;
    instant reply_deadline;  //!< without a reply until then the request runs without a claim
};

//! Modified only by the registry reducer.
struct registry_state {
    std::map<claim_key, registered_claim> claims;  //!< claims that this instance owns
    std::map<ticket, pending_claim> pending;       //!< claim requests of this instance
    std::size_t bytes{0};                          //!< size of all stage results
    instant next_purge;                            //!< next removal of expired claims
};

registry_state make_registry();

//! Handles `claim_wanted`, `stage_finished` and `claim_ended` of this instance and the claim
//! messages of its peers. The result of each `claim_wanted` is a `claim_decided`.
void reduce_registry(registry_state& state, const environment& env, const roster_state& roster,
                     const event& happened, instant now, effects& out);

}  // namespace cyclamenmount
