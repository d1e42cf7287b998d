//! State shared by the request handlers of one upstream.
#pragma once

#include "standins/common/exchange.h"
#include "standins/upstream/machine.h"

#include <atomic>
#include <condition_variable>
#include <mutex>

namespace cyclamenmount::standins {

//! Position in an engine's queue: priority, then arrival number; the lowest starts first.
using queue_position = std::pair<int, std::uint64_t>;

struct shared_state {
    std::mutex mutex;
    std::condition_variable changed;
    upstream_machine machine;
    std::set<queue_position> waiting;
    std::uint64_t next_queue_number{1};
    std::atomic<bool> stopping{false};
};

//! Handles `POST /v1/run`, `/v1/generate` and `/v1/call/...`.
void handle_work(shared_state& shared, exchange& current);

}  // namespace cyclamenmount::standins
