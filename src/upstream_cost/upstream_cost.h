//! Learned speed of upstreams and cost of requests.
//!
//! A reducer over observations and pure functions over its state; no I/O, no clock. The speed of an
//! upstream is relative to its pool: factor 1 is the pool's geometric mean, 2 takes twice as long.
//! Times between events are kept as absolute logarithms, so that all instances derive the same
//! factors from the same sums, whatever mix of upstreams each of them has used. Times to the first
//! event and times of plain requests depend on the request, so they are kept as ratios to what the
//! request was expected to take.
#pragma once

#include "types/ids.h"
#include "types/time.h"
#include "upstream_cost/types/load_report.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>

namespace cyclamenmount {

//! Hash of an upstream's id and start time, so that a new incarnation begins without observations.
using upstream_key = std::uint64_t;

upstream_key make_upstream_key(const upstream_id& id, std::uint64_t started_at_ms);

//! Sum of logarithms of times or ratios, with weights that halve every `evidence_half_life`.
struct log_evidence {
    double weight{0};
    double log_sum{0};
    instant updated_at{};
};

inline constexpr milliseconds evidence_half_life{15'000};

//! What one instance, or the other instances together, have observed of an upstream's speed.
struct speed_evidence {
    log_evidence gaps;    //!< times between events, ms
    log_evidence ratios;  //!< times divided by the expected times
};

//! Time to the first event at an upstream of factor 1 by the number of unread tokens.
struct reading_estimate {
    double fixed_ms{40};
    double ms_per_token{0.02};
};

//! Sums of a least-squares line of times over unread tokens; old samples fade.
struct reading_samples {
    double count{0};
    double tokens{0};
    double ms{0};
    double tokens_squared{0};
    double tokens_by_ms{0};
};

struct pool_costs {
    reading_samples reading;
};

struct route_costs {
    log_evidence durations;         //!< of plain requests, ms
    double events{0};               //!< smoothed number of events of a response; 0 if unknown
    double hint_correction_log{0};  //!< smoothed logarithm of actual by hinted length
};

//! Requests at one upstream that have not ended.
struct outstanding_work {
    int requests{0};
    std::uint64_t unread_tokens{0};  //!< of prompts without a first event
    std::uint64_t kv_tokens{0};      //!< that the requests take in the key-value cache
};

//! What all other instances together know of one upstream.
struct shared_knowledge {
    speed_evidence speed;
    outstanding_work work;
    instant as_of{};
    std::optional<load_report> report;  //!< newest load report
    instant reported_at{};
};

struct cost_state {
    std::unordered_map<upstream_key, speed_evidence> own;  //!< seen by this instance
    std::unordered_map<upstream_key, shared_knowledge> shared;
    std::map<pool_name, pool_costs> pools;
    std::map<std::string, route_costs> routes;
};

// --- events -------------------------------------------------------------------------------------

//! The first event of a response arrived.
struct first_event_observed {
    upstream_key upstream{0};
    pool_name pool;
    //! Of the request and of those before it, as estimated when it was sent.
    double unread_tokens{0};
    milliseconds took{0};
    double factor{1};  //!< expected factor of the upstream when the request was sent
};

//! A response of `events` events ended, or a part of it.
struct events_observed {
    upstream_key upstream{0};
    std::string route;
    int events{0};
    milliseconds took{0};  //!< from the first to the last of them, without waits for the caller
    bool is_complete{false};
    double hinted_events{0};  //!< length that the caller hinted; 0 if none
};

//! A plain request was answered.
struct response_observed {
    upstream_key upstream{0};
    std::string route;
    milliseconds took{0};
};

using cost_event = std::variant<first_event_observed, events_observed, response_observed>;

//! Applies an observation; values that can't be true are ignored.
void reduce(cost_state& state, const cost_event& happened, instant now);

// --- estimates ----------------------------------------------------------------------------------

//! Sums of `evidence` as of `now`.
log_evidence decayed(const log_evidence& evidence, instant now);

void add_sample(log_evidence& evidence, double log_value, double weight, instant now);

reading_estimate estimate_reading(const cost_state& state, const pool_name& pool);

//! Factors of a pool's upstreams.
struct pool_speed {
    double mean_gap_log{0};  //!< mean logarithm of the time between events, ms
    bool has_gaps{false};
};

pool_speed measure_pool(const cost_state& state, std::span<const upstream_key> upstreams,
                        instant now);

//! Logarithm of the upstream's factor; 0 if nothing is known. `weight`, if given, receives the
//! number of samples behind it.
double log_factor(const cost_state& state, const pool_speed& pool, upstream_key upstream,
                  instant now, double* weight = nullptr);

//! Expected number of events of a response; `hinted` is the caller's estimate, 0 if there is none.
double expected_events(const cost_state& state, const std::string& route, double hinted);

//! Removes upstreams without recent observations.
void remove_old(cost_state& state, instant now);

}  // namespace cyclamenmount
