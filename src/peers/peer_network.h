//! Authenticated HTTP/2 connections between instances.
#pragma once

#include "types/errors.h"
#include "types/fleet.h"
#include "types/peer_messages.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cyclamenmount {

struct peer_network_settings {
    member self;         //!< local member; the network listens on its address
    std::string secret;  //!< shared by all instances; authenticates peers
    //! A connection is replaced after this time without progress.
    milliseconds progress_timeout{1500};
    //! Memory that incomplete messages of all connections may take, in bytes. Beyond it the
    //! connection whose messages take most is closed.
    std::size_t max_kept_bytes{std::size_t{64} * 1024 * 1024};
};

//! Handlers that run on the network thread and must not block.
struct peer_handlers {
    std::function<void(const instance_id& from, peer_message message)> on_message;
    //! Returns the reply to a peer's `read`.
    std::function<std::string(std::string_view query)> on_read;
};

//! Totals since the start of the network.
struct peer_counters {
    std::uint64_t bytes_sent{0};
    std::uint64_t bytes_received{0};
    std::uint64_t messages_sent{0};
    std::uint64_t connections_replaced{0};  //!< outgoing connections closed for lack of progress
    //! Connections rejected because the peer didn't authenticate.
    std::uint64_t authentication_failures{0};
};

//! Runs one thread and keeps one connection to each peer. Sending never blocks. Messages to an
//! unreachable peer are dropped; the reducers are built for a network that loses messages.
class peer_network {
public:
    static result<std::unique_ptr<peer_network>> start(peer_network_settings settings,
                                                       peer_handlers handlers);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    peer_network(peer_network&&) = delete;
    peer_network& operator=(peer_network&&) = delete;

    void send(const member& to, const peer_message& message);

    //! Sends `query` to the peer's `on_read` handler and blocks until the reply or the timeout.
    //! Must not be called on the network thread.
    result<std::string> read(const std::string& address, std::string_view query,
                             milliseconds timeout);

    [[nodiscard]] peer_counters counters() const;

    //! Listening address as IP:PORT, with the actual port if the settings gave port 0.
    [[nodiscard]] std::string address() const;

private:
    struct impl;
    explicit peer_network(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
