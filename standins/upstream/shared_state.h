//! What the handlers of one upstream share.
#pragma once

#include "standins/common/exchange.h"
#include "standins/upstream/machine.h"

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace cyclamenmount::standins {

//! Place in an engine's queue: priority, then arrival.
using queue_place = std::pair<int, std::uint64_t>;

struct shared_state {
    std::mutex mutex;
    std::condition_variable changed;
    upstream_machine machine;
    std::set<queue_place> waiting;
    std::uint64_t next_place{1};
    std::atomic<bool> stopping{false};
};

//! Answers `POST /v1/run`, `/v1/generate` and `/v1/call/...`.
void handle_work(shared_state& shared, exchange& current);

}  // namespace cyclamenmount::standins
