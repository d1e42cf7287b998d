#include "process_start/signals.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

sigset_t make_set(std::initializer_list<int> signals) {
    sigset_t set;
    sigemptyset(&set);
    for (const int one : signals) {
        sigaddset(&set, one);
    }
    return set;
}

}  // namespace

sigset_t block_signals(std::initializer_list<int> signals) {
    const sigset_t set = make_set(signals);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return set;
}

std::optional<int> wait_for_signal(const sigset_t& signals, milliseconds limit) {
    const milliseconds left = std::max(limit, milliseconds(0));
    const timespec timeout{left.count() / 1000, (left.count() % 1000) * 1'000'000};
    const int received = sigtimedwait(&signals, nullptr, &timeout);
    return received > 0 ? std::optional(received) : std::nullopt;
}

signal_delivery::signal_delivery(std::initializer_list<int> signals) {
    const sigset_t set = make_set(signals);
    pthread_sigmask(SIG_UNBLOCK, &set, &before_);
}

signal_delivery::~signal_delivery() {
    pthread_sigmask(SIG_SETMASK, &before_, nullptr);
}

}  // namespace cyclamenmount
