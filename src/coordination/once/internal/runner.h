//! The asking instance's side: permits wanted, and returns and outcomes until they are confirmed.
#pragma once

#include "coordination/once/once.h"

namespace cyclamenmount::detail {

struct runner_context {
    once_state& state;
    const environment& env;
    const roster_state& roster;
    instant now;
    effects& out;
};

void ask_permit(const runner_context& context, const permit_wanted& wanted);

//! Keeps a return or an outcome and sends it until the home confirms it.
void send_notice(const runner_context& context, const std::string& permit,
                 std::variant<permit_return, permit_outcome> value);

void handle_reply(const runner_context& context, const permit_reply& reply);

//! Gives up what has waited too long and sends again what may have been lost.
void handle_runner_tick(const runner_context& context);

}  // namespace cyclamenmount::detail
