//! Divides each workspace's limits over the instances by demand. The sum never exceeds the limit.
//!
//! Every instance reports its demand to the home of the workspace, which answers with a share. A
//! share lapses unless it is renewed; then the lower of it and the even part holds. The home gives
//! away only what no other member can still hold: a higher share counts until its member has
//! confirmed a lower one, or until it must have lapsed. A small floor needs no grant, so that the
//! first request at an instance doesn't have to wait for one.
#pragma once

#include "coordination/documents/documents.h"

namespace cyclamenmount {

//! What this instance may admit for one workspace, and what it has admitted.
struct held_share {
    workspace_share share;
    std::optional<instant> granted_at;  //!< when the report that it answers was sent
    std::uint64_t applied{0};           //!< sequence of that report
    double request_tokens{0};           //!< token bucket of requests
    double output_tokens{0};            //!< token bucket of generated tokens; may be in debt
    instant filled_at;
    int running{0};
    int asked{0};           //!< requests since the last report
    int lacked{0};          //!< of these, refused for want of concurrency
    double output_used{0};  //!< since the last report
    bool starved{false};    //!< refused something since the last report
    bool lacked_tokens{false};
    double rate_demand{0};    //!< smoothed, a second
    double output_demand{0};  //!< smoothed, a minute
};

//! A grant that the member may be using.
struct outstanding_grant {
    std::uint64_t sequence{0};
    workspace_share share;
    instant lapses_at;
    instant ends_at;  //!< requests admitted under it have ended
};

//! What the home of a workspace knows of one member.
struct member_demand {
    workspace_demand demand;
    instant heard_at;
    std::vector<outstanding_grant> grants;  //!< oldest first
};

struct share_book {
    tenure held;
    instant ready_at;     //!< shares of an earlier home have lapsed
    instant complete_at;  //!< every living holder of such a share has been heard
    std::map<instance_id, member_demand> members;
};

//! Owned by the shares reducer; others use the functions below.
struct shares_state {
    std::map<workspace_name, held_share> held;
    std::map<workspace_name, share_book> books;
    std::uint64_t next_sequence{1};
    std::map<std::uint64_t, instant> reports;  //!< when each was sent, by sequence
    instant reported_at;
    generation_number generation{0};  //!< of the roster for which the books were last renewed
    instant roster_since;             //!< when that generation was first seen
};

shares_state make_shares();

void reduce_shares(shares_state& state, const environment& env, const roster_state& roster,
                   const documents_state& documents, const event& happened, instant now,
                   effects& out);

//! Takes one request out of the share, or says why not. A success is undone by `request_ended`.
decided<bool> take_share(shares_state& state, const environment& env, const roster_state& roster,
                         const workspace_name& workspace, const allowance& limits, instant now);

namespace detail {

//! What holds now: the granted share, after its lapse the lower of it and the even part, without
//! any grant the floor; never more than the limit.
workspace_share share_in_force(const held_share& held, const environment& env,
                               const roster_state& roster, const workspace_name& workspace,
                               const allowance& limits, instant now);

}  // namespace detail

}  // namespace cyclamenmount
