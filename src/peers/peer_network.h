//! nghttp2 sessions between instances.
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
    member self;                 //!< its address is listened on
    std::string secret;          //!< shared by all instances; proves membership of the fleet
    milliseconds silence{1500};  //!< a connection without progress for this long is replaced
};

//! Called on the network's thread; must not block.
struct peer_handlers {
    std::function<void(const instance_id& from, peer_message message)> on_message;
    std::function<std::string(std::string_view query)> on_read;  //!< answers a peer's `read`
};

struct peer_counters {
    std::uint64_t bytes_sent{0};
    std::uint64_t bytes_received{0};
    std::uint64_t messages_sent{0};
    std::uint64_t connections_replaced{0};
    std::uint64_t strangers_refused{0};
};

//! One thread, one connection to each peer. Sending never blocks; a message to a peer that can't be
//! reached is dropped, as the reducers expect of a network.
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

    //! Blocking exchange with the peer's `on_read`, for traffic threads.
    result<std::string> read(const std::string& address, std::string_view query,
                             milliseconds timeout);

    [[nodiscard]] peer_counters counters() const;

    //! IP:PORT listened on; differs from the settings if these gave port 0.
    [[nodiscard]] std::string address() const;

private:
    struct impl;
    explicit peer_network(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
