//! The server's side of a connection.
#pragma once

#include "peers/internal/outgoing.h"

namespace cyclamenmount::detail {

struct incoming_peer {
    std::unique_ptr<http2_session> link;
    handshake agreed;
    bool greeted{false};
    bool authenticated{false};
    instant since;
};

//! Handles the events that poll reported; false if the connection has to be closed.
bool handle_events(incoming_peer& peer, short events, network_context context,
                   const peer_handlers& handlers, instant now);

//! Not authenticated in time, or silent for longer than a live client ever is.
bool is_stale(const incoming_peer& peer, network_context context, instant now);

}  // namespace cyclamenmount::detail
