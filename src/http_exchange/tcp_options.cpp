#include "http_exchange/tcp_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cyclamenmount {

namespace {

//! Unacknowledged bytes end the connection after this long, in milliseconds: well over a slow round
//! trip with two lost packets, and within the time in which a request can still be repeated.
constexpr int unacknowledged_ms = 2000;
//! Idle time before the first probe and between probes, in seconds; the least that TCP allows.
constexpr int probe_idle_s = 1;
constexpr int probe_interval_s = 1;
constexpr int probes = 2;

void set_option(int descriptor, int level, int name, int value) {
    // A kernel without the option only finds a dead end later.
    (void)setsockopt(descriptor, level, name, &value, sizeof(value));
}

}  // namespace

void set_tcp_options(int descriptor) {
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probe_idle_s);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probes);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms);
}

}  // namespace cyclamenmount
