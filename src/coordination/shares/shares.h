//! Divides each workspace's limits over the instances by demand. The sum never exceeds the limit.
#pragma once

#include "coordination/documents/documents.h"

namespace cyclamenmount {

//! What this instance may admit for one workspace, and what it has admitted.
struct held_share {
    workspace_share share;
    std::optional<instant> granted_at;  //!< when the report that it answers was sent
    std::size_t members{0};             //!< as the share was granted, for the lapsed rule
    double request_tokens{0};           //!< token bucket of requests
    double output_tokens{0};            //!< token bucket of generated tokens
    instant filled_at;
    int running{0};
    int asked{0};    //!< requests in this period
    int refused{0};  //!< for want of concurrency, in this period
    double output_used{0};
};

//! What the home of a workspace knows of one member.
struct member_demand {
    workspace_demand demand;
    workspace_share granted;
    instant heard_at;
    instant granted_until;
};

struct share_book {
    tenure held;
    std::map<instance_id, member_demand> members;
};

//! Owned by the shares reducer; others use the functions below.
struct shares_state {
    std::map<workspace_name, held_share> held;
    std::map<workspace_name, share_book> books;
    instant next_report;
};

shares_state make_shares();

void reduce_shares(shares_state& state, const environment& env, const roster_state& roster,
                   const documents_state& documents, const event& happened, instant now,
                   effects& out);

//! Takes one request out of the share, or says why not. A success is undone by `request_ended`.
decided<bool> take_share(shares_state& state, const environment& env, const roster_state& roster,
                         const workspace_name& workspace, const allowance& limits, instant now);

}  // namespace cyclamenmount
