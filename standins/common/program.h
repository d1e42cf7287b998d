//! Stop signals and the `ready` line of the stand-in programs.
#pragma once

#include <csignal>

namespace cyclamenmount::standins {

//! Blocks SIGTERM and SIGINT in this thread and threads it starts later, and ignores SIGPIPE. Call
//! it before any thread is started.
sigset_t block_stop_signals();

//! Prints `ready` and blocks until SIGTERM or SIGINT arrives.
void wait_for_stop(const sigset_t& signals);

}  // namespace cyclamenmount::standins
