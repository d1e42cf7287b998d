#include "serving/shutdown_sequence.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

//! Time until the load balancer stops sending new callers: it checks readiness once per second and
//! removes an instance after two failures.
constexpr milliseconds balancer_removal_time{2600};
//! Fraction of the grace time in which new requests are admitted. Streams last up to 4 s after
//! their stages; a refused caller can retry at another instance immediately.
constexpr double admission_fraction = 0.35;
//! Shortest time of refusals before the exit: requests that were sent before a caller noticed the
//! stop arrive within a network round trip.
constexpr milliseconds min_refusing_time{100};
// Times before the end of the grace time at which the last phases start. Refusals are written
// within milliseconds, on a slow machine within about 0.1 s; the rest is for the process exit.
constexpr milliseconds expiring_reserve{900};
constexpr milliseconds aborting_reserve{750};
constexpr milliseconds exit_reserve{600};

//! Phase that the time alone requires.
shutdown_phase phase_by_time(const shutdown_sequence& sequence, instant now) {
    const milliseconds elapsed = now - sequence.started_at;
    const milliseconds left = sequence.grace - elapsed;
    if (left <= exit_reserve) {
        return shutdown_phase::completed;
    }
    if (left <= aborting_reserve) {
        return shutdown_phase::aborting;
    }
    if (left <= expiring_reserve) {
        return shutdown_phase::expiring;
    }
    if (elapsed < balancer_removal_time) {
        return shutdown_phase::serving;
    }
    const auto admission_time =
        std::chrono::duration_cast<milliseconds>(sequence.grace * admission_fraction);
    return elapsed < admission_time ? shutdown_phase::draining : shutdown_phase::refusing;
}

}  // namespace

std::string_view enum_name(shutdown_phase phase) {
    switch (phase) {
    case shutdown_phase::serving:
        return "serving";
    case shutdown_phase::draining:
        return "draining";
    case shutdown_phase::refusing:
        return "refusing";
    case shutdown_phase::expiring:
        return "expiring";
    case shutdown_phase::aborting:
        return "aborting";
    case shutdown_phase::completed:
        return "completed";
    }
    return "unknown";
}

shutdown_sequence start_shutdown(milliseconds grace, instant now) {
    return {now, grace, shutdown_phase::serving, {}};
}

instant attempts_end(const shutdown_sequence& sequence) {
    return sequence.started_at + sequence.grace - aborting_reserve;
}

shutdown_phase advance(shutdown_sequence& sequence, std::size_t open_requests, instant now) {
    const shutdown_phase before = sequence.phase;
    sequence.phase = std::max(before, phase_by_time(sequence, now));
    if (sequence.phase == shutdown_phase::draining && open_requests == 0) {
        sequence.phase = shutdown_phase::refusing;
    }
    if (before < shutdown_phase::refusing && sequence.phase >= shutdown_phase::refusing) {
        sequence.refusing_since = now;
    }
    const bool has_refused_long_enough = sequence.phase >= shutdown_phase::refusing &&
                                         now - sequence.refusing_since >= min_refusing_time;
    if (open_requests == 0 && has_refused_long_enough) {
        sequence.phase = shutdown_phase::completed;
    }
    return sequence.phase;
}

}  // namespace cyclamenmount
