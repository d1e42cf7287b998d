//! TCP socket options that detect an unresponsive peer.
#pragma once

namespace cyclamenmount {

//! For connections to upstreams: disables Nagle's algorithm, and makes the kernel close the
//! connection if the peer acknowledges neither data nor keep-alive probes for about two seconds.
void set_tcp_options(int descriptor);

//! For connections of callers: the same for keep-alive probes alone. The kernel counts the time for
//! which a peer's window stays closed as time without acknowledgement, so that a caller that reads
//! a long response slowly would be cut.
void set_caller_tcp_options(int descriptor);

//! True if the peer has acknowledged nothing for about two seconds although sent data is
//! outstanding. A peer whose window is closed, so that nothing can be sent, is responsive.
bool is_unresponsive(int descriptor);

}  // namespace cyclamenmount
