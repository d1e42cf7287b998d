//! Stop signals and the `ready` line of the stand-in programs.
#pragma once

#include <csignal>

namespace cyclamenmount::standins {

//! Blocks SIGTERM, SIGINT and SIGHUP in this thread and threads it starts later, and ignores
//! SIGPIPE. To be called first in `main`.
sigset_t block_stop_signals();

//! Prints `ready` and blocks until SIGTERM or SIGINT arrives; SIGHUP has no effect.
void wait_for_stop(const sigset_t& signals);

}  // namespace cyclamenmount::standins
