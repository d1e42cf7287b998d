//! Requester side of at-most-once calls: requests permits, and sends returns and outcomes until the
//! owner confirms them.
#pragma once

#include "coordination/at_most_once/at_most_once.h"

namespace cyclamenmount::detail {

//! State and event context of the requester functions.
struct requester_context {
    at_most_once_state& state;
    const environment& env;
    const roster_state& roster;
    instant now;
    effects& out;
};

//! Sends a traffic thread's permit request to the owner of its key.
void request_permit(const requester_context& context, const permit_wanted& wanted);

//! Sends a return or an outcome, and keeps it for retransmission until the owner confirms it.
void send_notice(const requester_context& context, const std::string& permit,
                 std::variant<permit_return, permit_outcome> value);

//! Handles an owner's reply to a permit request, or its confirmation of a return or outcome.
void handle_permit_reply(const requester_context& context, const permit_reply& reply);

//! Ends overdue requests, discards notices past their lifetime, and retransmits those that are due.
void handle_requester_tick(const requester_context& context);

}  // namespace cyclamenmount::detail
