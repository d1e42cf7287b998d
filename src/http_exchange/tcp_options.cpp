#include "http_exchange/tcp_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cyclamenmount {

namespace {

//! Time after which a peer with unacknowledged data counts as unresponsive, in milliseconds: well
//! over a slow round trip with two lost packets, and short enough to repeat a request before its
//! deadline.
constexpr int unacknowledged_timeout_ms = 2000;
//! Idle time before the first keep-alive probe and between probes, in seconds; the smallest values
//! that TCP allows.
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int max_unanswered_probes = 2;

void set_option(int descriptor, int level, int name, int value) {
    // If the kernel doesn't support the option, an unresponsive peer is only detected later.
    (void)setsockopt(descriptor, level, name, &value, sizeof(value));
}

}  // namespace

void set_caller_tcp_options(int descriptor) {
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, max_unanswered_probes);
}

void set_tcp_options(int descriptor) {
    set_caller_tcp_options(descriptor);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_timeout_ms);
}

bool is_unresponsive(int descriptor) {
    tcp_info state{};
    socklen_t size = sizeof(state);
    // Without TCP_INFO, the timeout of a write detects an unresponsive peer, though
    // later.
    return getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &state, &size) == 0 &&
           state.tcpi_unacked > 0 && state.tcpi_last_ack_recv > unacknowledged_timeout_ms;
}

}  // namespace cyclamenmount
