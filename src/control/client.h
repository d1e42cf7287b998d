//! How traffic and operators' threads reach the control thread.
#pragma once

#include "types/effects.h"

#include <functional>

namespace cyclamenmount {

//! Questions block until the decision or `limit`; a late grant is given back by the control loop.
//! Plain functions, so that tests put fakes in their place. All are safe to call from any thread.
struct control_client {
    std::function<ticket()> next_ticket;
    std::function<void(event)> post;  //!< for events that need no decision
    std::function<decided<admission>(admission_wanted, milliseconds limit)> admit;
    std::function<decided<attempt_grant>(attempt_wanted, milliseconds limit)> acquire;
    std::function<bool(const attempt_id&)> is_cancelled;  //!< end this attempt, run it elsewhere
    std::function<permit_reply(permit_request, milliseconds limit)> permit;
    std::function<claim_reply(claim_request, milliseconds limit)> claim;
    std::function<result<edit_decided>(list_edit_wanted, milliseconds limit)> edit_list;
    std::function<result<edit_decided>(availability_wanted, milliseconds limit)> edit_availability;
    std::function<bool()> ready;        //!< takes requests
    std::function<std::string()> dump;  //!< the whole control state as JSON
};

}  // namespace cyclamenmount
