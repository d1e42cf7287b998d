#include "process_start/retried_start.h"

namespace cyclamenmount {

namespace {

//! Pauses before the next attempt; true if a signal asks the process to end.
bool is_stopped_in_pause(const sigset_t& signals, milliseconds pause) {
    const auto received = wait_for_signal(signals, pause);
    return received == SIGTERM || received == SIGINT;
}

}  // namespace

start_outcome retry_start(const sigset_t& signals, const start_retry& timing,
                          const std::function<start_attempt()>& attempt,
                          const std::function<void(const std::string& failure)>& report) {
    const instant until = boot_clock::now() + timing.limit;
    std::string reported;
    while (true) {
        const start_attempt made = attempt();
        if (made.is_done) {
            return start_outcome::done;
        }
        if (made.failure != reported) {
            report(made.failure);
            reported = made.failure;
        }
        if (!made.may_pass || boot_clock::now() >= until) {
            return start_outcome::failed;
        }
        if (is_stopped_in_pause(signals, timing.pause)) {
            return start_outcome::stopped;
        }
    }
}

}  // namespace cyclamenmount
