#include "standins/common/program.h"

#include "process_start/signals.h"

#include <cstdio>

namespace cyclamenmount::standins {

sigset_t block_stop_signals() {
    return block_signals({SIGTERM, SIGINT, SIGHUP});
}

void wait_for_stop(const sigset_t& signals) {
    std::puts("ready");
    std::fflush(stdout);
    int received = SIGHUP;
    while (received == SIGHUP) {
        sigwait(&signals, &received);
    }
}

}  // namespace cyclamenmount::standins
