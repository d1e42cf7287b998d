//! Claims of keyed requests, so that a repeat joins the running one and keeps finished stages.
//!
//! Kept in the memory of the key's home only. A new home knows of no claim and lets the next one
//! run: such requests are idempotent, so a doubled run costs work and nothing else, while asking
//! every member or waiting would cost each request time after each change of the roster.
#pragma once

#include "coordination/roster/roster.h"

namespace cyclamenmount {

namespace registry_limits {

inline constexpr std::size_t claims = 4096;            //!< at one home; the oldest go first
inline constexpr std::size_t stage_bytes = 4096;       //!< larger stage results aren't kept
inline constexpr std::size_t total_bytes = 4194304;    //!< of all stage results at one home
inline constexpr std::size_t stages = 16;              //!< of one claim
inline constexpr milliseconds kept_after_end{60'000};  //!< an ended claim may be joined so long
inline constexpr milliseconds reply_timeout{150};      //!< then a request goes on alone
inline constexpr milliseconds most_lifetime{600'000};  //!< of a claim whose end was never heard

}  // namespace registry_limits

struct claim_key {
    workspace_name workspace;
    idempotency_key key;

    auto operator<=>(const claim_key&) const = default;
};

//! One claim at the home of its key.
struct held_claim {
    fingerprint body;
    request_id request;
    member runner;
    std::vector<finished_stage> stages;
    std::size_t bytes{0};  //!< of the stage results
    instant claimed_at;
    instant ends_at;  //!< forgotten then
    bool ended{false};
};

//! A question of this instance that awaits its home's answer.
struct pending_claim {
    claim_request request;
    instant gives_up_at;
};

//! Owned by the registry reducer.
struct registry_state {
    std::map<claim_key, held_claim> claims;
    std::map<ticket, pending_claim> pending;
    std::size_t bytes{0};  //!< of all stage results
    instant next_purge;
};

registry_state make_registry();

//! Handles `claim_wanted`, `stage_finished`, `claim_ended` of this instance and the claim messages
//! of its peers; decides with `claim_decided`.
void reduce_registry(registry_state& state, const environment& env, const roster_state& roster,
                     const event& happened, instant now, effects& out);

}  // namespace cyclamenmount
