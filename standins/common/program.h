//! What the stand-ins' programs share: signals and the line that says ready.
#pragma once

#include <csignal>

namespace cyclamenmount::standins {

//! Blocks SIGTERM and SIGINT in this thread and those it starts. Call before any thread starts.
sigset_t block_stop_signals();

//! Prints `ready` and returns when a stop signal comes.
void wait_for_stop(const sigset_t& signals);

}  // namespace cyclamenmount::standins
