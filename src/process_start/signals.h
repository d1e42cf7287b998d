//! Signals that stop or reload a daemon, held back while nothing handles them.
//!
//! The default action of these signals ends the process. Between the start of a program and its
//! first wait for signals, and between the last wait and the exit, they are blocked instead: one
//! that arrives early is handled later, one that arrives late is dropped with the process.
#pragma once

#include "types/time.h"

#include <csignal>
#include <initializer_list>
#include <optional>

namespace cyclamenmount {

//! Blocks the signals in the calling thread, and so in threads that it starts; ignores SIGPIPE. To
//! be called first in `main`. Returns the set of the signals.
sigset_t block_signals(std::initializer_list<int> signals);

//! Waits for one of the blocked signals; none if `limit` passes first.
std::optional<int> wait_for_signal(const sigset_t& signals, milliseconds limit);

//! Delivers the signals to the calling thread as long as this object exists. Their handlers must be
//! installed before.
class signal_delivery {
public:
    explicit signal_delivery(std::initializer_list<int> signals);
    ~signal_delivery();
    signal_delivery(const signal_delivery&) = delete;
    signal_delivery& operator=(const signal_delivery&) = delete;
    signal_delivery(signal_delivery&&) = delete;
    signal_delivery& operator=(signal_delivery&&) = delete;

private:
    sigset_t before_{};  //!< mask of the thread before
};

}  // namespace cyclamenmount
