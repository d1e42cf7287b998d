//! Counters written by the network thread and read by any thread.
#pragma once

#include "peers/peer_network.h"

#include <atomic>

namespace cyclamenmount::detail {

struct shared_counters {
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> messages_sent{0};
    std::atomic<std::uint64_t> connections_replaced{0};
    std::atomic<std::uint64_t> authentication_failures{0};
};

}  // namespace cyclamenmount::detail
