//! Divides the limits of each workspace among the instances by demand. The sum of all shares never
//! exceeds the limit.
//!
//! Every instance reports its demand to the owner of the workspace, which grants it a share. A
//! share expires unless it is renewed. Then the lower of the expired share and an equal share
//! applies. The owner grants only what no other member can still be using: a higher share counts
//! until its member has confirmed a lower one, or until it must have expired. A small floor share
//! needs no grant, so that the first request at an instance doesn't have to wait for one.
#pragma once

#include "coordination/documents/documents.h"

namespace cyclamenmount {

//! Share of this instance in the limits of one workspace, and its usage.
struct held_share {
    workspace_share share;              //!< share last granted in reply to a report
    std::optional<instant> granted_at;  //!< sending time of that report; none without a share
    std::uint64_t applied{0};           //!< sequence number of that report or of the release
    double request_tokens{0};           //!< content of the token bucket for requests
    double output_tokens{0};            //!< bucket for generated tokens; negative if overdrawn
    instant refilled_at;                //!< time of the last refill of both buckets
    int running{0};                     //!< admitted requests that haven't ended
    int request_count{0};               //!< requests since the last report
    int concurrency_refusals{0};        //!< refusals for lack of concurrency since the last report
    double output_used{0};              //!< generated tokens since the last report
    bool is_limited{false};             //!< true if a request was refused since the last report
    bool is_output_limited{false};      //!< true if one of them was for lack of generated tokens
    double rate_demand{0};              //!< smoothed demand in requests per second
    double output_demand{0};            //!< smoothed demand in generated tokens per minute
};

//! A granted share that the member may still be using.
struct outstanding_grant {
    std::uint64_t sequence{0};  //!< sequence number of the report that it replies to
    workspace_share share;
    instant expires_at;  //!< time at which the share expires unless renewed
    instant ends_at;     //!< time by which all requests admitted under the share have ended
};

//! What the owner of a workspace has recorded about one member.
struct member_demand {
    workspace_demand demand;                //!< last reported demand
    instant received_at;                    //!< time of the last report
    std::vector<outstanding_grant> grants;  //!< outstanding grants, oldest first
};

//! The owner's account of what is granted for one workspace.
struct share_ledger {
    tenure ownership;     //!< ownership tenure: since when this instance owns the workspace
    instant ready_at;     //!< time by which all shares granted by an earlier owner have expired
    instant complete_at;  //!< time by which every live member with such a share has reported
    std::map<instance_id, member_demand> members;  //!< members that have reported
};

//! Modified only by the shares reducer; other components use the functions below.
struct shares_state {
    std::map<workspace_name, held_share> held;       //!< shares of this instance
    std::map<workspace_name, share_ledger> ledgers;  //!< ledgers of the owned workspaces
    std::uint64_t next_sequence{1};                  //!< sequence number of the next report
    std::map<std::uint64_t, instant> reports;  //!< sending times of reports, by sequence number
    instant reported_at;                       //!< time of the last reports
    generation_number generation{0};  //!< roster generation for which the ledgers were last renewed
    instant roster_since;             //!< time at which that generation was first seen
};

shares_state make_shares();

//! Applies one event to the state and appends the effects to carry out.
void reduce_shares(shares_state& state, const environment& env, const roster_state& roster,
                   const documents_state& documents, const event& happened, instant now,
                   effects& out);

//! Admits one request under the share, or returns the reason of the refusal. The event
//! `request_ended` releases the concurrency of an admitted request.
decided<bool> take_share(shares_state& state, const environment& env, const roster_state& roster,
                         const workspace_name& workspace, const allowance& limits, instant now);

namespace detail {

//! Returns the share that applies now: the granted share; after its expiry the lower of that share
//! and an equal share; without any grant the floor share. Never exceeds the limits.
workspace_share share_in_force(const held_share& held, const environment& env,
                               const roster_state& roster, const workspace_name& workspace,
                               const allowance& limits, instant now);

}  // namespace detail

}  // namespace cyclamenmount
