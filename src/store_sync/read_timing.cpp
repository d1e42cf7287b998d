#include "store_sync/read_timing.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

//! Time allowed for reading the missed changes after a lost call: back-off, connection and read.
constexpr milliseconds recovery_time{500};
//! Time allowed for reading the store once the data of a peer is too old: one tick and one read.
constexpr milliseconds takeover_time{600};
//! Shortest wait and period, which bound the calls of an instance to the store.
constexpr milliseconds min_watch_wait{200};
constexpr milliseconds min_probe_period{400};
//! Upper limits, for deployments with long bounds: requests are better served by recent data.
constexpr milliseconds max_watch_wait{4000};
constexpr milliseconds max_coalescing_pause{400};
constexpr milliseconds max_stale_after{1400};  // data of a healthy peer is at most 0.5 s old
constexpr milliseconds max_probe_period{2000};
//! Wait and delay if peers rely on this instance's reading.
constexpr milliseconds shared_watch_wait{400};
constexpr milliseconds shared_coalescing_pause{100};
//! Wait of a watch that is answered at once.
constexpr milliseconds shortest_wait{1};
//! Part of a topic's greatest age that is left for the response to a watch.
constexpr int response_divisor = 4;
//! Part of the time until a change has to be in force that may be spent on waiting for others.
constexpr int coalescing_divisor = 5;

}  // namespace

read_timing derive_read_timing(const sync_bounds& bounds, milliseconds apply) {
    // A lost watch began before the changes that it missed and before its connection failed. Both
    // bounds start no earlier than the watch, so it may last as long as the longer one.
    const milliseconds latest = std::max(bounds.contact, apply);
    const milliseconds wait = latest - response_grace - recovery_time;
    return {std::clamp(wait, min_watch_wait, max_watch_wait),
            std::min(max_coalescing_pause, apply / coalescing_divisor), latest};
}

read_timing derive_shared_timing(const read_timing& own) {
    return {std::min(shared_watch_wait, own.watch_wait), shared_coalescing_pause,
            std::min(source_stale_after, own.max_age)};
}

milliseconds derive_next_wait(const read_timing& timing, milliseconds age) {
    const milliseconds left = timing.max_age - timing.max_age / response_divisor - age;
    return std::clamp(left, shortest_wait, timing.watch_wait);
}

milliseconds derive_next_pause(const read_timing& timing, milliseconds age) {
    const milliseconds left = timing.max_age - timing.max_age / response_divisor - age;
    return std::clamp(left / 2, 0ms, timing.coalescing_pause);
}

milliseconds derive_stale_after(const sync_bounds& bounds) {
    // A peer may fail without any disturbance of this instance, so all bounds count.
    const milliseconds tightest =
        std::min({bounds.contact, bounds.configuration, bounds.draining, bounds.evacuation});
    return std::clamp(tightest - takeover_time, min_watch_wait, max_stale_after);
}

milliseconds derive_slow_probe_period(const sync_bounds& bounds) {
    return std::clamp(bounds.contact - response_grace - recovery_time, min_probe_period,
                      max_probe_period);
}

}  // namespace cyclamenmount
