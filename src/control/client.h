//! Interface of the traffic and operator threads to the control thread.
#pragma once

#include "types/effects.h"

#include <functional>

namespace cyclamenmount {

//! Calls to the control thread, safe from any thread. A call with a `limit` blocks until the
//! decision or the limit; a grant decided after the limit is released by the control loop. The
//! members are plain functions so that tests can replace them with fakes.
struct control_client {
    std::function<ticket()> next_ticket;  //!< returns a new correlation number
    std::function<void(event)> post;      //!< queues an event that needs no decision
    std::function<decided<admission>(admission_wanted, milliseconds limit)> admit;
    std::function<decided<attempt_grant>(attempt_wanted, milliseconds limit)> acquire;
    //! True if the attempt must end and be run elsewhere.
    std::function<bool(const attempt_id&)> is_cancelled;
    std::function<permit_reply(permit_request, milliseconds limit)> permit;
    std::function<claim_reply(claim_request, milliseconds limit)> claim;
    std::function<result<edit_decided>(list_edit_wanted, milliseconds limit)> edit_list;
    std::function<result<edit_decided>(availability_wanted, milliseconds limit)> edit_availability;
    std::function<bool()> ready;        //!< true if the instance accepts requests
    std::function<std::string()> dump;  //!< returns the whole control state as JSON
};

}  // namespace cyclamenmount
