//! Server side of a peer connection.
#pragma once

#include "peers/internal/outgoing.h"

namespace cyclamenmount::detail {

struct incoming_peer {
    std::unique_ptr<http2_session> session;
    handshake_transcript transcript;
    bool hello_received{false};  //!< the client's hello has arrived
    bool authenticated{false};
    instant accepted_at;
};

//! Handles poll events of the connection; false if it has to be closed.
bool handle_events(incoming_peer& peer, short events, network_context context,
                   const peer_handlers& handlers, instant now);

//! True if the client didn't authenticate in time or an authenticated connection made no progress
//! for much longer than the client's heartbeat period.
bool is_timed_out(const incoming_peer& peer, network_context context, instant now);

}  // namespace cyclamenmount::detail
