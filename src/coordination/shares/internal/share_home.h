//! The home's side: what each member may hold, and the share that it is given.
#pragma once

#include "coordination/shares/internal/division.h"

namespace cyclamenmount::detail {

struct shares_context {
    shares_state& state;
    const environment& env;
    const roster_state& roster;
    const documents_state& documents;
    instant now;
    effects& out;
};

std::string share_home_key(const workspace_name& workspace);

//! The limits of a workspace; null if it has none.
const allowance* limits_of(const documents_state& documents, const workspace_name& workspace);

void handle_report(const shares_context& context, const instance_id& from,
                   const share_report& report);

//! Renews the tenures after a change of the roster.
void renew_books(const shares_context& context);

}  // namespace cyclamenmount::detail
