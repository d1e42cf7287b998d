#include "placement/internal/pool_index.h"

#include "placement/internal/upstream_filter.h"
#include "types/numeric.h"

#include <cmath>

#include <xxhash.h>

namespace cyclamenmount::detail {

namespace {

//! Learned factors change over seconds, and sums of other instances come every 400 ms. A refresh
//! takes about 0.5 us for each upstream, so that of a large pool is made less often.
constexpr milliseconds min_refresh_period{100};
constexpr double refresh_ms_per_upstream = 0.2;

milliseconds refresh_period(std::size_t upstreams) {
    return std::max(min_refresh_period,
                    to_milliseconds(refresh_ms_per_upstream * static_cast<double>(upstreams)));
}

//! Step of the logarithm of the factor, by a quarter, and how far beyond the middle between two
//! steps it has to be before the homes of prefixes change.
constexpr double step_log = 0.25;
constexpr double step_hysteresis = 0.8;
//! Homes go to upstreams with this power of their speed: of two whose factors are 0.6 and 1.0, the
//! faster one is home to 20 times as many prefixes.
constexpr double home_power = 6;
//! The time that work takes changes every few 100 ms.
constexpr double work_time_lifetime_ms = 300;
//! Entries of upstreams beyond this number are searched for old ones, which remain after restarts.
constexpr std::size_t max_kept_upstreams = 6000;
constexpr double min_work_ratio = 0.25;
constexpr double max_work_ratio = 8;

void update_step(int& step, double log_value) {
    if (std::abs(log_value - step * step_log) > step_hysteresis * step_log) {
        step = round_to<int>(log_value / step_log);
    }
}

void rebuild(placement_state& state, const std::vector<serving_upstream>& upstreams,
             pool_index& index) {
    index.upstreams.clear();
    index.upstreams.reserve(upstreams.size());
    for (const serving_upstream& upstream : upstreams) {
        indexed_upstream added;
        added.record = &state.records[upstream.id];
        added.key = make_upstream_key(upstream.id, upstream.started_at_ms);
        added.id_hash = XXH3_64bits(upstream.id.value.data(), upstream.id.value.size());
        index.upstreams.push_back(added);
    }
}

void refresh(const placement_state& state, pool_index& index, instant now) {
    std::vector<upstream_key> keys;
    keys.reserve(index.upstreams.size());
    for (const indexed_upstream& upstream : index.upstreams) {
        keys.push_back(upstream.key);
    }
    const pool_speed speed = measure_pool(state.costs, keys, now);
    index.gap_ms = speed.has_gaps ? std::exp(speed.mean_gap_log) : 0;
    for (indexed_upstream& upstream : index.upstreams) {
        const double log_value =
            log_factor(state.costs, speed, upstream.key, now, &upstream.evidence);
        update_step(upstream.record->speed_step, log_value);
        upstream.factor = std::exp(log_value);
        upstream.weight = std::exp(-home_power * step_log * upstream.record->speed_step);
        upstream.others =
            work_of_others(state.costs, upstream.key, now).value_or(outstanding_work{});
        upstream.reported_at = {};
        if (upstream.record->report) {
            upstream.report = *upstream.record->report;
            upstream.reported_at = upstream.record->reported_at;
        }
        const auto shared = state.costs.shared.find(upstream.key);
        if (shared != state.costs.shared.end() && shared->second.report &&
            shared->second.reported_at > upstream.reported_at) {
            upstream.report = *shared->second.report;
            upstream.reported_at = shared->second.reported_at;
        }
    }
    index.refreshed_at = now;
}

}  // namespace

pool_index* update_index(placement_state& state, const fleet_view& view, const pool_name& pool,
                         instant now) {
    const auto found = view.pools.find(pool);
    if (found == view.pools.end()) {
        return nullptr;
    }
    pool_index& index = state.indexes[pool];
    const bool is_current = index.owner == &state && view.number != 0 &&
                            index.view_number == view.number &&
                            index.upstreams.size() == found->second.size();
    if (!is_current) {
        rebuild(state, found->second, index);
        index.owner = &state;
        index.view_number = view.number;
    }
    if (!is_current || now - index.refreshed_at >= refresh_period(index.upstreams.size())) {
        refresh(state, index, now);
        if (state.costs.own.size() + state.costs.shared.size() > max_kept_upstreams) {
            remove_old(state.costs, now);
        }
    }
    return &index;
}

double current_factor(const indexed_upstream& upstream, instant now) {
    const upstream_record& record = *upstream.record;
    const bool is_own_newer = record.report && record.reported_at >= upstream.reported_at;
    const load_report& report = is_own_newer ? *record.report : upstream.report;
    const instant reported_at = is_own_newer ? record.reported_at : upstream.reported_at;
    if (reported_at == instant{} || !report.work_time_percent) {
        return upstream.factor;
    }
    const double age_ms = std::max(0.0, static_cast<double>((now - reported_at).count()));
    const double ratio = std::clamp(static_cast<double>(*report.work_time_percent) / 100,
                                    min_work_ratio, max_work_ratio);
    return upstream.factor * (1 + (ratio - 1) * std::exp(-age_ms / work_time_lifetime_ms));
}

}  // namespace cyclamenmount::detail
