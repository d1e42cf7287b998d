#include "standins/upstream/prefix_cache.h"

#include <algorithm>

namespace cyclamenmount::standins {

namespace {

constexpr std::size_t max_prefixes = 256;
constexpr std::size_t max_events = 1024;
constexpr std::uint64_t drop_interval = 7;  //!< drops the events with a multiple of this number
constexpr milliseconds event_report_delay{500};

void add_event(prefix_cache& cache, std::uint64_t prefix, bool stored, instant now) {
    cache.events.push_back({cache.next_seq++, prefix, stored, now});
    if (cache.events.size() > max_events) {
        cache.events.pop_front();
    }
}

}  // namespace

bool touch_prefix(prefix_cache& cache, std::uint64_t prefix, instant now) {
    const auto found =
        std::find(cache.most_recent_first.begin(), cache.most_recent_first.end(), prefix);
    const bool hit = found != cache.most_recent_first.end();
    if (hit) {
        cache.most_recent_first.splice(cache.most_recent_first.begin(), cache.most_recent_first,
                                       found);
        return true;
    }
    cache.most_recent_first.push_front(prefix);
    add_event(cache, prefix, true, now);
    if (cache.most_recent_first.size() > max_prefixes) {
        add_event(cache, cache.most_recent_first.back(), false, now);
        cache.most_recent_first.pop_back();
    }
    return false;
}

nlohmann::json cache_events_after(const prefix_cache& cache, std::uint64_t after, instant now) {
    nlohmann::json reported = nlohmann::json::array();
    std::uint64_t next = after;
    for (const cache_event& event : cache.events) {
        if (event.seq <= after || now - event.at < event_report_delay) {
            continue;
        }
        next = event.seq;
        if (event.seq % drop_interval != 0) {
            reported.push_back({{"seq", event.seq},
                                {"prefix", event.prefix},
                                {"kind", event.stored ? "stored" : "evicted"}});
        }
    }
    return {{"next", next}, {"events", reported}};
}

}  // namespace cyclamenmount::standins
