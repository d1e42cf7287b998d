#include "store_sync/read_timing.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

//! Time from a lost call to a view with the missed changes: back-off, new connection, read.
constexpr milliseconds recovery_time{500};
//! Time from out-of-date data of a peer to a view with the missed changes: one tick and a read.
constexpr milliseconds takeover_time{600};
//! Shortest wait and period, which bound the calls of an instance to the store.
constexpr milliseconds min_watch_wait{200};
constexpr milliseconds min_probe_period{400};
//! Upper limits where the bounds leave more time, as callers are served by what is known.
constexpr milliseconds max_watch_wait{4000};
constexpr milliseconds max_coalescing_pause{400};
constexpr milliseconds max_stale_after{1400};  // data of a healthy peer is at most 0.5 s old
constexpr milliseconds max_probe_period{2000};
//! Part of the time until a change has to be in force that may be spent on waiting for others.
constexpr int coalescing_divisor = 5;

}  // namespace

read_timing derive_read_timing(const sync_bounds& bounds, milliseconds apply) {
    // A change that a lost watch missed was stored after the watch began, and the connection was
    // lost after that, so both bounds count from the beginning of the watch or later.
    const milliseconds latest = std::max(bounds.contact, apply);
    const milliseconds wait = latest - response_grace - recovery_time;
    return {std::clamp(wait, min_watch_wait, max_watch_wait),
            std::min(max_coalescing_pause, apply / coalescing_divisor), latest};
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
