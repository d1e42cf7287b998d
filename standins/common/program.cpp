#include "standins/common/program.h"

#include <cstdio>

namespace cyclamenmount::standins {

sigset_t block_stop_signals() {
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void wait_for_stop(const sigset_t& signals) {
    std::puts("ready");
    std::fflush(stdout);
    int received = 0;
    sigwait(&signals, &received);
}

}  // namespace cyclamenmount::standins
