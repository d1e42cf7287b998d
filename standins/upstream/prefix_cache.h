//! An engine's cache of prompt prefixes in bounded memory, and its late events with gaps.
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
    bool stored{true};  //!< else evicted
    instant at;
};

struct prefix_cache {
    std::list<std::uint64_t> newest_first;
    std::deque<cache_event> events;
    std::uint64_t next_seq{1};
};

//! Notes the use of a prefix; true if it was cached.
bool touch_prefix(prefix_cache& cache, std::uint64_t prefix, instant now);

//! Events after a number that are old enough to be told, with some missing.
nlohmann::json cache_events_after(const prefix_cache& cache, std::uint64_t after, instant now);

}  // namespace cyclamenmount::standins
