#include "upstream_cost/upstream_cost.h"

#include "types/overloaded.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace cyclamenmount {

namespace {

//! Samples' worth of the assumption that an upstream is as fast as its pool.
constexpr double prior_weight = 1;
//! Weight of the time to the first event, which varies more than the mean time between events.
constexpr double ratio_weight = 0.3;
//! Known upstreams' samples are moved to within this distance (a factor of 3) of what is known, so
//! that a single outlier doesn't decide.
constexpr double max_surprise_log = 1.1;
//! Weight from which an estimate bounds further samples.
constexpr double min_known_weight = 3;
constexpr double min_ms = 0.25;
constexpr double max_ms = 60'000;
//! Part of the weight of the earlier samples of a pool that remains after each new one.
constexpr double reading_memory = 0.995;
constexpr double prior_reading_samples = 8;
constexpr double prior_tokens = 2000;
constexpr double min_ms_per_token = 0.002;
constexpr double max_ms_per_token = 0.5;
constexpr double length_weight = 0.05;  //!< weight of one response in a route's smoothed length
constexpr int min_events = 3;           //!< fewer don't show the time between events
constexpr double default_events = 8;
constexpr milliseconds forget_after{10 * evidence_half_life};
//! A log factor is kept to within this distance (a factor of 20) of 0.
constexpr double max_log_factor = 3;

double log_of(double value) {
    return std::log(std::clamp(value, min_ms, max_ms));
}

double mean_of(const log_evidence& evidence) {
    return evidence.weight > 0 ? evidence.log_sum / evidence.weight : 0;
}

//! Both kinds of evidence of one upstream, of all instances.
speed_evidence joined(const cost_state& state, upstream_key upstream, instant now) {
    speed_evidence sum;
    const auto add = [&](const speed_evidence& part) {
        const log_evidence gaps = decayed(part.gaps, now);
        const log_evidence ratios = decayed(part.ratios, now);
        sum.gaps.weight += gaps.weight;
        sum.gaps.log_sum += gaps.log_sum;
        sum.ratios.weight += ratios.weight;
        sum.ratios.log_sum += ratios.log_sum;
    };
    if (const auto own = state.own.find(upstream); own != state.own.end()) {
        add(own->second);
    }
    if (const auto shared = state.shared.find(upstream); shared != state.shared.end()) {
        add(shared->second.speed);
    }
    return sum;
}

void observe(cost_state& state, const first_event_observed& seen, instant now) {
    const auto ms = static_cast<double>(seen.took.count());
    if (seen.took < milliseconds(0) || !(seen.unread_tokens >= 0) || !(seen.factor > 0)) {
        return;
    }
    const reading_estimate expected = estimate_reading(state, seen.pool);
    const double expected_ms = expected.fixed_ms + expected.ms_per_token * seen.unread_tokens;
    add_sample(state.own[seen.upstream].ratios, log_of(ms) - log_of(expected_ms), 1, now);
    const double normalised =
        std::clamp(ms / seen.factor, expected_ms / 4, expected_ms * 4 + min_ms);
    reading_samples& samples = state.pools[seen.pool].reading;
    samples.count = samples.count * reading_memory + 1;
    samples.tokens = samples.tokens * reading_memory + seen.unread_tokens;
    samples.ms = samples.ms * reading_memory + normalised;
    samples.tokens_squared =
        samples.tokens_squared * reading_memory + seen.unread_tokens * seen.unread_tokens;
    samples.tokens_by_ms = samples.tokens_by_ms * reading_memory + seen.unread_tokens * normalised;
}

void observe(cost_state& state, const events_observed& seen, instant now) {
    if (seen.took < milliseconds(0) || seen.events < 1) {
        return;
    }
    if (seen.events >= min_events) {
        const double gap_ms = static_cast<double>(seen.took.count()) / (seen.events - 1);
        add_sample(state.own[seen.upstream].gaps, log_of(gap_ms), 1, now);
    }
    if (!seen.is_complete) {
        return;
    }
    route_costs& route = state.routes[seen.route];
    const auto events = static_cast<double>(seen.events);
    route.events =
        route.events == 0 ? events : route.events + length_weight * (events - route.events);
    if (seen.hinted_events > 0) {
        const double actual = std::log(events / seen.hinted_events);
        route.hint_correction_log += length_weight * (actual - route.hint_correction_log);
    }
}

void observe(cost_state& state, const response_observed& seen, instant now) {
    if (seen.took < milliseconds(0)) {
        return;
    }
    route_costs& route = state.routes[seen.route];
    const double sample = log_of(static_cast<double>(seen.took.count()));
    const log_evidence known = decayed(route.durations, now);
    if (known.weight >= min_known_weight) {
        add_sample(state.own[seen.upstream].ratios, sample - mean_of(known), 1, now);
    }
    add_sample(route.durations, sample, 1, now);
}

}  // namespace

upstream_key make_upstream_key(const upstream_id& id, std::uint64_t started_at_ms) {
    constexpr std::uint64_t key_bits = 48;
    return XXH3_64bits_withSeed(id.value.data(), id.value.size(), started_at_ms) >> (64 - key_bits);
}

void reduce(cost_state& state, const cost_event& happened, instant now) {
    std::visit([&](const auto& seen) { observe(state, seen, now); }, happened);
}

log_evidence decayed(const log_evidence& evidence, instant now) {
    if (now <= evidence.updated_at || evidence.weight == 0) {
        return evidence;
    }
    const double half_lives = static_cast<double>((now - evidence.updated_at).count()) /
                              static_cast<double>(evidence_half_life.count());
    const double kept = std::exp2(-half_lives);
    return {evidence.weight * kept, evidence.log_sum * kept, now};
}

void add_sample(log_evidence& evidence, double log_value, double weight, instant now) {
    if (!std::isfinite(log_value)) {
        return;
    }
    evidence = decayed(evidence, now);
    if (evidence.weight >= min_known_weight) {
        const double known = mean_of(evidence);
        log_value = std::clamp(log_value, known - max_surprise_log, known + max_surprise_log);
    }
    evidence.weight += weight;
    evidence.log_sum += weight * log_value;
    evidence.updated_at = now;
}

reading_estimate estimate_reading(const cost_state& state, const pool_name& pool) {
    const reading_estimate prior;
    const auto found = state.pools.find(pool);
    if (found == state.pools.end()) {
        return prior;
    }
    // The prior counts as a few samples on its own line: half of them without tokens to read.
    constexpr double half = prior_reading_samples / 2;
    const double prior_end_ms = prior.fixed_ms + prior.ms_per_token * prior_tokens;
    const reading_samples& seen = found->second.reading;
    const double count = seen.count + prior_reading_samples;
    const double mean_tokens = (seen.tokens + half * prior_tokens) / count;
    const double mean_ms = (seen.ms + half * prior.fixed_ms + half * prior_end_ms) / count;
    const double spread = (seen.tokens_squared + half * prior_tokens * prior_tokens) / count -
                          mean_tokens * mean_tokens;
    const double joint =
        (seen.tokens_by_ms + half * prior_tokens * prior_end_ms) / count - mean_tokens * mean_ms;
    reading_estimate line;
    line.ms_per_token = spread > 1 ? joint / spread : prior.ms_per_token;
    line.ms_per_token = std::clamp(line.ms_per_token, min_ms_per_token, max_ms_per_token);
    line.fixed_ms = std::clamp(mean_ms - line.ms_per_token * mean_tokens, 1.0, max_ms);
    return line;
}

pool_speed measure_pool(const cost_state& state, std::span<const upstream_key> upstreams,
                        instant now) {
    double sum = 0;
    double weight = 0;
    for (const upstream_key upstream : upstreams) {
        const log_evidence gaps = joined(state, upstream, now).gaps;
        if (gaps.weight > 0) {
            // Each upstream counts alike once it is known, however few requests it gets.
            const double part = gaps.weight / (gaps.weight + prior_weight);
            sum += part * mean_of(gaps);
            weight += part;
        }
    }
    return weight > 0 ? pool_speed{sum / weight, true} : pool_speed{};
}

double log_factor(const cost_state& state, const pool_speed& pool, upstream_key upstream,
                  instant now, double* weight) {
    const speed_evidence seen = joined(state, upstream, now);
    double sum = ratio_weight * seen.ratios.log_sum;
    double total = ratio_weight * seen.ratios.weight;
    if (pool.has_gaps) {
        sum += seen.gaps.log_sum - seen.gaps.weight * pool.mean_gap_log;
        total += seen.gaps.weight;
    }
    if (weight != nullptr) {
        *weight = total;
    }
    return std::clamp(sum / (total + prior_weight), -max_log_factor, max_log_factor);
}

double expected_events(const cost_state& state, const std::string& route, double hinted) {
    const auto found = state.routes.find(route);
    const double mean = found == state.routes.end() || found->second.events == 0
                            ? default_events
                            : found->second.events;
    if (!(hinted > 0)) {
        return mean;
    }
    const double corrected =
        found == state.routes.end() ? hinted : hinted * std::exp(found->second.hint_correction_log);
    // Hints are often far off, so the geometric mean with the route's length bounds their effect.
    return std::sqrt(corrected * mean);
}

void remove_old(cost_state& state, instant now) {
    std::erase_if(state.own, [&](const auto& entry) {
        return now - std::max(entry.second.gaps.updated_at, entry.second.ratios.updated_at) >
               forget_after;
    });
    std::erase_if(state.shared,
                  [&](const auto& entry) { return now - entry.second.as_of > forget_after; });
}

}  // namespace cyclamenmount
