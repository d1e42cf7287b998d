//! The owner's part of the shares reducer: records the demand and the possible use of each member,
//! and grants shares.
#pragma once

#include "coordination/shares/internal/division.h"

namespace cyclamenmount::detail {

//! Arguments of one reduction.
struct shares_context {
    shares_state& state;
    const environment& env;
    const roster_state& roster;
    const documents_state& documents;
    instant now;
    effects& out;
};

//! Returns the key that determines the owner of a workspace.
std::string share_owner_key(const workspace_name& workspace);

//! Returns the limits of a workspace; null if it has none.
const allowance* limits_of(const documents_state& documents, const workspace_name& workspace);

//! Records the reported demands as the owner, and replies with the granted shares.
void handle_report(const shares_context& context, const instance_id& from,
                   const share_report& report);

//! Renews the ownership tenures after a change of the roster.
void renew_ledgers(const shares_context& context);

}  // namespace cyclamenmount::detail
