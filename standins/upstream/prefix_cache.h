//! Simulated prompt prefix cache of an engine, bounded in size, and its delayed, lossy event feed.
#pragma once

#include "types/time.h"

#include <cstdint>
#include <deque>
#include <list>

#include <nlohmann/json.hpp>

namespace cyclamenmount::standins {

struct cache_event {
    std::uint64_t seq{0};
    std::uint64_t prefix{0};
    bool stored{true};  //!< false: the prefix was evicted
    instant at;
};

struct prefix_cache {
    std::list<std::uint64_t> most_recent_first;
    std::deque<cache_event> events;
    std::uint64_t next_seq{1};
};

//! Records the use of a prefix; returns true if it was cached.
bool touch_prefix(prefix_cache& cache, std::uint64_t prefix, instant now);

//! Lists the events with a number above `after` that are at least 500 ms old; every seventh event
//! is dropped.
nlohmann::json cache_events_after(const prefix_cache& cache, std::uint64_t after, instant now);

}  // namespace cyclamenmount::standins
