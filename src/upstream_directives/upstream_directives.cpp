#include "upstream_directives/upstream_directives.h"

#include "types/numeric.h"

#include <algorithm>
#include <cmath>

namespace cyclamenmount {

namespace {

constexpr double ms_per_second = 1000;
//! Part of a limit that all instances without a regular part use together.
constexpr double recheck_fraction = 0.25;
//! Longest time for which a directive delays a request.
constexpr milliseconds max_delay{3'600'000};
//! Lower rates are treated as this one.
constexpr double min_per_second = 0.001;

milliseconds period_of(double per_second) {
    return to_milliseconds(ms_per_second / std::max(per_second, min_per_second));
}

//! Requests since the limit became known that are within the window at `at`.
int counted_requests(const directive_state& state, milliseconds window, instant at) {
    const auto first = std::ranges::find_if(state.sent, [&](instant sent_at) {
        return sent_at >= state.limit_known_since && at - sent_at <= window;
    });
    return static_cast<int>(state.sent.end() - first);
}

int room_within(const directive_state& state, const window_limit& limit, instant at) {
    return std::max(0, limit.requests - counted_requests(state, limit.window, at));
}

//! Time until the window has room for another request.
milliseconds time_to_room(const directive_state& state, const window_limit& limit, instant now) {
    if (room_within(state, limit, now) > 0) {
        return 0ms;
    }
    // The request that has to leave the window before there is room for another one.
    const auto index = state.sent.size() - static_cast<std::size_t>(limit.requests);
    return state.sent[index] + limit.window + milliseconds(1) - now;
}

milliseconds delay_of_first(const directive_state& state, const rate_share& share, instant now) {
    return std::max(milliseconds(0), state.limit_known_since + share.first_in - now);
}

milliseconds time_to_share(const directive_state& state, const rate_share& share, instant now) {
    return std::max({delay_of_first(state, share, now), time_to_room(state, share.sustained, now),
                     time_to_room(state, share.burst, now)});
}

}  // namespace

int share_of(int total, const instance_rank& rank) {
    const int instances = std::max(1, rank.instances);
    if (rank.before >= instances) {
        return 0;
    }
    return total / instances + (rank.before < total % instances ? 1 : 0);
}

rate_share divide_rate(double per_second, const instance_rank& rank) {
    const auto in_window = [&](milliseconds window) {
        return per_second * static_cast<double>(window.count()) / ms_per_second;
    };
    // Below one request in the window, one instance sends one in a longer window.
    const bool is_slow = in_window(sustained_window) < 1;
    const milliseconds window = is_slow ? period_of(per_second) : sustained_window;
    const int total = is_slow ? 1 : truncate_to<int>(std::floor(in_window(sustained_window)));
    const int burst = truncate_to<int>(std::floor(in_window(burst_window) + burst_requests));
    const instance_rank sender{rank.before, std::min({rank.instances, burst, total})};
    if (sender.before < sender.instances) {
        return {{share_of(total, sender), window}, {share_of(burst, sender), burst_window}, 0ms};
    }
    // Staggered by rank, as all instances may have learned of the limit at the same time.
    const milliseconds period = period_of(per_second * recheck_fraction);
    return {{1, std::min(period * rank.instances, max_delay)},
            {1, burst_window},
            std::min(period * (rank.instances + rank.before), max_delay)};
}

void set_incarnation(directive_state& state, std::uint64_t incarnation) {
    if (state.incarnation == incarnation) {
        return;
    }
    state = {};
    state.incarnation = incarnation;
}

bool apply_directives(directive_state& state, const upstream_directives& directives,
                      instant sent_at, instant now) {
    state.is_leaving = state.is_leaving || directives.is_leaving;
    if (directives.no_requests_for) {
        state.no_requests_until = std::max(state.no_requests_until,
                                           now + std::min(*directives.no_requests_for, max_delay));
    }
    const bool ends_limit = state.max_per_second && !directives.max_per_second;
    if (directives.max_per_second == state.max_per_second ||
        (ends_limit && sent_at <= state.limit_known_since)) {
        return false;
    }
    apply_known_limit(state, directives.max_per_second, now);
    return true;
}

void apply_known_limit(directive_state& state, std::optional<double> max_per_second, instant now) {
    if (max_per_second && !state.max_per_second) {
        state.limit_known_since = now;
    }
    state.max_per_second = max_per_second;
}

void record_request(directive_state& state, instant now) {
    // The newest request is kept longer, as the windows of slow rates hold just one.
    while (state.sent.size() > 1 && now - state.sent.front() > sustained_window) {
        state.sent.pop_front();
    }
    state.sent.push_back(now);
}

int requests_within(const directive_state& state, milliseconds window, instant now) {
    const auto first =
        std::ranges::find_if(state.sent, [&](instant sent_at) { return now - sent_at <= window; });
    return static_cast<int>(state.sent.end() - first);
}

bool is_restricted(const directive_state& state, instant now) {
    return state.is_leaving || state.max_per_second || now < state.no_requests_until;
}

std::optional<int> room_at(const directive_state& state, const instance_rank& rank, instant at) {
    if (state.is_leaving || at < state.no_requests_until) {
        return 0;
    }
    if (!state.max_per_second) {
        return std::nullopt;
    }
    const rate_share share = divide_rate(*state.max_per_second, rank);
    if (delay_of_first(state, share, at) > 0ms) {
        return 0;
    }
    return std::min(room_within(state, share.sustained, at), room_within(state, share.burst, at));
}

milliseconds time_to_next_request(const directive_state& state, const instance_rank& rank,
                                  instant now) {
    if (state.is_leaving) {
        return milliseconds::max();
    }
    const milliseconds held = std::max(milliseconds(0), state.no_requests_until - now);
    if (!state.max_per_second) {
        return held;
    }
    return std::max(held, time_to_share(state, divide_rate(*state.max_per_second, rank), now));
}

}  // namespace cyclamenmount
