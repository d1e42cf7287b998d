//! Closes connections so that their peers receive what was sent last.
#pragma once

#include "http_exchange/connection.h"

#include <memory>

namespace cyclamenmount {

//! Connections of an event loop that are being closed in order.
struct closing_connections {
    std::size_t count{0};
    std::size_t max{0};             //!< further ones are closed at once
    std::size_t closed_at_once{0};  //!< number of those, since the start
};

//! Makes the state for an event loop; a quarter of the process's descriptors may be closing.
std::shared_ptr<closing_connections> make_closing_connections();

//! Ends sending, then receives and drops what the peer still sends until it closes its side or
//! `limit` passes, then closes. A connection that is closed with unread bytes is reset, and the
//! reset can take away a response that the peer hasn't read yet (RFC 9112, section 9.6).
task<> close_in_order(connection_ptr ended, std::shared_ptr<closing_connections> all,
                      milliseconds limit);

}  // namespace cyclamenmount
