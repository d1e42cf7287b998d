//! TCP socket options that detect an unresponsive peer.
#pragma once

namespace cyclamenmount {

//! Disables Nagle's algorithm, and makes the kernel close the connection if the peer acknowledges
//! neither data nor keep-alive probes for about two seconds.
void set_tcp_options(int descriptor);

}  // namespace cyclamenmount
