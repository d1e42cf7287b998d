//! What upstreams ask of their callers in responses, and whether another request may be sent.
//!
//! Pure functions over plain data. An upstream may name the request rate that it takes from all
//! instances together, ask for no requests for a time, or say that it leaves. A rate is divided
//! over the instances: each gets a number of requests in a sliding window, and the parts add up to
//! no more than the whole. Cold upstreams are limited in the same way.
#pragma once

#include "types/time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace cyclamenmount {

//! Directives of one response. An upstream repeats those that last in all its responses.
struct upstream_directives {
    std::optional<double> max_per_second;  //!< requests that it takes from all instances together
    std::optional<milliseconds>
        no_requests_for;     //!< it wants no request of this instance meanwhile
    bool is_leaving{false};  //!< it wants no new requests at all

    bool operator==(const upstream_directives&) const = default;
};

//! Position of an instance among those that share an upstream.
struct instance_rank {
    //! Instances that rank higher for this upstream; all of them if this one isn't counted.
    int before{0};
    int instances{1};  //!< all instances, including this one
};

//! Requests allowed in a sliding window.
struct window_limit {
    int requests{0};
    milliseconds window{0};
};

//! Part of a rate that one instance may use.
struct rate_share {
    window_limit sustained;    //!< keeps the rate
    window_limit burst;        //!< bounds the requests that follow a time without any
    milliseconds first_in{0};  //!< delay of the first request after the limit became known
};

//! What is known of one upstream's directives, and the requests sent to it.
struct directive_state {
    std::optional<double> max_per_second;
    instant limit_known_since{};  //!< requests from before don't count against the limit
    instant no_requests_until{};
    bool is_leaving{false};
    std::uint64_t incarnation{0};  //!< start time of the upstream that the directives come from
    std::deque<instant> sent;      //!< recent requests of this instance, oldest first
};

//! Windows in which the requests to a limited upstream are counted. In the longer one the fleet
//! keeps the rate; a longer window wastes less of it where an instance's part is a request or two.
//! In the shorter one it sends at most `burst_requests` beyond the rate.
inline constexpr milliseconds sustained_window{8000};
inline constexpr milliseconds burst_window{4000};
inline constexpr double burst_requests = 4;

//! Equal part of `total` for an instance; the remainder goes to the first-ranked ones, one each.
int share_of(int total, const instance_rank& rank);

//! Part of a rate in requests per second. If the windows allow fewer requests than there are
//! instances, only the first-ranked ones send. The others send one request in a long while, so that
//! they notice the end of a limit even if no other instance tells them.
rate_share divide_rate(double per_second, const instance_rank& rank);

//! Forgets the directives of an earlier incarnation.
void set_incarnation(directive_state& state, std::uint64_t incarnation);

//! Applies the directives of a response to a request sent at `sent_at`. Returns true if the limit
//! changed. A response to a request from before the limit was known doesn't end it.
bool apply_directives(directive_state& state, const upstream_directives& directives,
                      instant sent_at, instant now);

//! Applies a limit that another instance knows of; none: the limit has ended.
void apply_known_limit(directive_state& state, std::optional<double> max_per_second, instant now);

void record_request(directive_state& state, instant now);

//! Number of requests sent within the window before `now`.
int requests_within(const directive_state& state, milliseconds window, instant now);

//! True if the directives keep some or all requests from the upstream now.
bool is_restricted(const directive_state& state, instant now);

//! Number of requests that the directives allow at a time `at`, if none is sent until then; none if
//! it isn't limited.
std::optional<int> room_at(const directive_state& state, const instance_rank& rank, instant at);

//! Time until the upstream's directives allow another request; 0 if they do now,
//! `milliseconds::max()` if the upstream leaves.
milliseconds time_to_next_request(const directive_state& state, const instance_rank& rank,
                                  instant now);

}  // namespace cyclamenmount
