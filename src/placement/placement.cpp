#include "placement/placement.h"

#include "placement/internal/cost_choice.h"
#include "placement/internal/prompt_homes.h"
#include "placement/internal/upstream_filter.h"
#include "routing/choose.h"
#include "types/numeric.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace cyclamenmount {

using namespace detail;

namespace {

//! Backoff of an upstream after a request without a response; doubles from the initial to the
//! longest value. The platform removes an unresponsive upstream from its list after about 3.6 s, so
//! a longer backoff has no effect.
constexpr milliseconds initial_backoff{300};
constexpr milliseconds max_backoff{2400};
//! Backoff after a rejection: a full upstream has capacity again after about one mean request
//! duration.
constexpr milliseconds rejection_backoff{60};
constexpr double error_rate_weight = 0.15;  //!< weight of one outcome in the smoothed error rate
//! A model engine with more unread prompt tokens from this instance counts as busy: it takes about
//! half a second to read that many.
constexpr std::uint64_t max_unread_tokens = 20'000;

//! Upstreams that the request may be sent to; avoided ones only if there are no others.
upstream_list usable_upstreams(placement_state& state, const fleet_view& view,
                               const placement_request& wanted, instant now) {
    upstream_list preferred;
    upstream_list avoided;
    const pool_limits* const limits = limits_of(view, wanted.pool);
    const int share = connection_share(view, limits);
    for (const serving_upstream& upstream : upstreams_of(view, wanted.pool)) {
        const upstream_record& record = state.records[upstream.id];
        const bool is_allowed = !wanted.versions || wanted.versions->contains(upstream.version);
        if (!is_allowed || wanted.excluded.contains(upstream.id) || record.in_flight >= share ||
            time_to_next_request(state, view, upstream, now) > 0ms) {
            continue;
        }
        (is_avoided(state, record, now) ? avoided : preferred).push_back(upstream);
    }
    return preferred.empty() ? avoided : preferred;
}

std::optional<std::size_t> choose_without_prompt(const placement_state& state,
                                                 const upstream_list& from,
                                                 const placement_request& wanted, instant now) {
    std::vector<candidate> candidates;
    for (const serving_upstream& upstream : from) {
        candidates.push_back(make_candidate(state.records.at(upstream.id), upstream,
                                            upstream.slots * requests_per_slot, now));
    }
    choice_criteria choice;
    choice.own_zone = wanted.zone;
    choice.random = wanted.random;
    return choose_upstream(candidates, choice);
}

//! The engine with the highest weight for the prompt prefix that isn't busy; if all are busy, the
//! least loaded one with capacity.
std::optional<std::size_t> choose_engine(placement_state& state, const upstream_list& from,
                                         const placement_request& wanted, instant now) {
    const std::uint64_t key = prefix_key(wanted.prompt);
    const bool is_short = is_short_prompt(state, wanted);
    std::optional<std::size_t> best;
    std::optional<std::size_t> least_loaded;
    std::uint64_t best_weight = 0;
    double lowest_load = 1;
    for (std::size_t i = 0; i < from.size(); ++i) {
        const upstream_record& record = state.records.at(from[i].id);
        const double load = corrected_load(make_candidate(record, from[i], from[i].slots, now));
        const std::uint64_t weight = detail::prefix_weight(key, from[i].id);
        const bool is_busy = load >= busy_engine_load || record.unread_tokens > max_unread_tokens ||
                             leaves_place(record, is_short);
        if (!is_busy && (!best || weight > best_weight)) {
            best = i;
            best_weight = weight;
        }
        if (load < lowest_load) {
            least_loaded = i;
            lowest_load = load;
        }
    }
    return best ? best : least_loaded;
}

std::optional<serving_upstream> choose(placement_state& state, const upstream_list& from,
                                       const placement_request& wanted, instant now) {
    const auto index = wanted.prompt.empty() ? choose_without_prompt(state, from, wanted, now)
                                             : choose_engine(state, from, wanted, now);
    return index ? std::optional(from[*index]) : std::nullopt;
}

}  // namespace

placement_state make_placement_state(placement_settings settings) {
    placement_state state;
    state.settings = std::move(settings);
    return state;
}

std::optional<serving_upstream> place(placement_state& state, const fleet_view& view,
                                      const placement_request& wanted, instant now) {
    if (state.settings.chooses_by_cost && has_load_control(state, wanted.pool)) {
        return detail::place_by_cost(state, view, wanted, now);
    }
    upstream_list warm = usable_upstreams(state, view, wanted, now);
    upstream_list cold;
    std::erase_if(warm, [&](const serving_upstream& upstream) {
        if (!is_cold(upstream, now)) {
            return false;
        }
        cold.push_back(upstream);
        return true;
    });
    if (auto chosen = choose(state, warm, wanted, now)) {
        return chosen;
    }
    const pool_limits* const limits = limits_of(view, wanted.pool);
    if (limits == nullptr) {
        return std::nullopt;
    }
    std::erase_if(cold, [&](const serving_upstream& upstream) {
        return !may_send_cold(state, view, *limits, upstream, now);
    });
    return choose(state, cold, wanted, now);
}

int share_divisor(placement_state& state, const fleet_view& view, instant now) {
    return sharing_instances(state, view, now);
}

milliseconds time_to_room(placement_state& state, const fleet_view& view, const pool_name& pool,
                          instant now) {
    milliseconds earliest = milliseconds::max();
    for (const serving_upstream& upstream : upstreams_of(view, pool)) {
        earliest = std::min(earliest, time_to_next_request(state, view, upstream, now));
        if (earliest == 0ms) {
            break;
        }
    }
    return earliest;
}

std::optional<int> pool_room_at(placement_state& state, const fleet_view& view,
                                const pool_name& pool, instant at, instant now) {
    const upstream_list& upstreams = upstreams_of(view, pool);
    const bool has_restricted =
        std::ranges::any_of(upstreams, [&](const serving_upstream& upstream) {
            return is_restricted(state.records[upstream.id].directives, now);
        });
    if (!has_restricted) {
        return std::nullopt;
    }
    const pool_limits* const limits = limits_of(view, pool);
    const bool has_engines = limits != nullptr && limits->engine;
    int room = 0;
    for (const serving_upstream& upstream : upstreams) {
        const upstream_record& record = state.records[upstream.id];
        const auto own = room_at(record.directives, cached_rank(state, view, upstream.id, now), at);
        if (own) {
            room += *own;
            continue;
        }
        const int capacity = upstream.slots * (has_engines ? 1 : requests_per_slot);
        if (corrected_load(make_candidate(record, upstream, capacity, now)) < 1) {
            return std::nullopt;
        }
    }
    return room;
}

zone_name preferred_zone(placement_state& state, const fleet_view& view,
                         const placement_request& wanted, instant now) {
    if (wanted.prompt.empty()) {
        return {};
    }
    if (state.settings.chooses_by_cost && has_load_control(state, wanted.pool)) {
        return home_zone(state, view, wanted, now);
    }
    const std::uint64_t key = prefix_key(wanted.prompt);
    zone_name zone;
    std::uint64_t best_weight = 0;
    for (const serving_upstream& upstream : upstreams_of(view, wanted.pool)) {
        const auto record = state.records.find(upstream.id);
        const bool avoided =
            record != state.records.end() &&
            (is_avoided(state, record->second, now) || record->second.directives.is_leaving ||
             now < record->second.directives.no_requests_until);
        const std::uint64_t weight = detail::prefix_weight(key, upstream.id);
        if (!avoided && !is_cold(upstream, now) && (zone.empty() || weight > best_weight)) {
            zone = upstream.zone;
            best_weight = weight;
        }
    }
    return zone;
}

void record_sent(placement_state& state, const serving_upstream& to, std::uint64_t prompt_tokens,
                 instant now) {
    upstream_record& record = state.records[to.id];
    ++record.in_flight;
    record.unread_tokens += prompt_tokens;
    record_request(record.directives, now);
}

request_load record_sent(placement_state& state, const serving_upstream& to,
                         const sent_request& sent, instant now) {
    upstream_record& record = state.records[to.id];
    request_load load;
    const pool_limits* const limits = sent.limits;
    const std::uint64_t cache_tokens =
        limits != nullptr && limits->engine ? limits->engine->cache_tokens : 0;
    const std::uint64_t unread = record_prompt(record, sent.prompt, cache_tokens, now);
    load.unread_tokens = unread;
    load.tokens_to_first_event = static_cast<double>(unread + record.unread_tokens);
    if (state.last_decision && state.last_decision->chosen == to.id) {
        // Other instances may have sent the shared parts before.
        load.unread_tokens = round_to<std::uint64_t>(state.last_decision->own_unread_tokens);
        load.tokens_to_first_event = state.last_decision->tokens_to_first_event;
        load.factor = state.last_decision->factor;
    }
    load.kv_tokens = sent.prompt.empty()
                         ? 0
                         : load.unread_tokens + round_to<std::uint64_t>(sent.expected_events);
    record.kv_tokens += load.kv_tokens;
    record_sent(state, to, load.unread_tokens, now);
    return load;
}

void record_released(placement_state& state, const upstream_id& from, const request_load& load) {
    upstream_record& record = state.records[from];
    record.kv_tokens -= std::min(record.kv_tokens, load.kv_tokens);
}

void record_first_event(placement_state& state, const upstream_id& from,
                        std::uint64_t prompt_tokens) {
    upstream_record& record = state.records[from];
    record.unread_tokens -= std::min(record.unread_tokens, prompt_tokens);
}

bool record_directives(placement_state& state, const serving_upstream& from,
                       const upstream_directives& directives, instant sent_at, instant now) {
    directive_state& known = state.records[from.id].directives;
    set_incarnation(known, from.started_at_ms);
    return apply_directives(known, directives, sent_at, now);
}

void record_known_limit(placement_state& state, const serving_upstream& from,
                        std::optional<double> max_per_second, instant now) {
    directive_state& known = state.records[from.id].directives;
    set_incarnation(known, from.started_at_ms);
    apply_known_limit(known, max_per_second, now);
}

bool has_load_control(const placement_state& state, const pool_name& pool) {
    return state.settings.under_pressure || state.pools_with_work_time.contains(pool);
}

bool has_load_control(const placement_state& state) {
    return state.settings.under_pressure || !state.pools_with_work_time.empty();
}

std::vector<shared_observation> own_observations(const placement_state& state, instant now) {
    std::vector<std::pair<instant, shared_observation>> known;
    for (const auto& [pool, index] : state.indexes) {
        for (const indexed_upstream& upstream : index.upstreams) {
            const upstream_record& record = *upstream.record;
            const auto seen = state.costs.own.find(upstream.key);
            if (seen == state.costs.own.end() && record.in_flight == 0) {
                continue;
            }
            shared_observation one;
            one.upstream = upstream.key;
            one.work = {record.in_flight, record.unread_tokens, record.kv_tokens};
            instant used_at = record.in_flight > 0 ? now : instant{};
            if (seen != state.costs.own.end()) {
                const speed_evidence& speed = seen->second;
                one.speed = {decayed(speed.gaps, now), decayed(speed.ratios, now)};
                used_at = std::max({used_at, speed.gaps.updated_at, speed.ratios.updated_at});
            }
            if (record.report && now - record.reported_at < max_work_age) {
                one.report = record.report;
                one.report_age = now - record.reported_at;
            }
            known.emplace_back(used_at, one);
        }
    }
    const std::size_t count = std::min(known.size(), max_reported_upstreams);
    const auto end = known.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(known, end, std::greater<>(),
                              [](const auto& entry) { return entry.first; });
    std::vector<shared_observation> observations;
    for (const auto& entry : std::span(known).first(count)) {
        observations.push_back(entry.second);
    }
    return observations;
}

void record_load(placement_state& state, const pool_name& pool, const upstream_id& from,
                 const load_report& report, instant now) {
    if (report.work_time_percent) {
        state.pools_with_work_time.insert(pool);
    }
    record_load(state, from, report, now);
}

void record_load(placement_state& state, const upstream_id& from, const load_report& report,
                 instant now) {
    upstream_record& record = state.records[from];
    record.report = report;
    record.reported_at = now;
    record.in_flight_at_report = record.in_flight;
}

void record_send_outcome(placement_state& state, const upstream_id& from, send_outcome end,
                         instant now) {
    upstream_record& record = state.records[from];
    record.in_flight = std::max(0, record.in_flight - 1);
    if (end == send_outcome::abandoned) {
        return;
    }
    const double failed = end == send_outcome::error ? 1 : 0;
    record.error_rate += error_rate_weight * (failed - record.error_rate);
    state.error_rate += error_rate_weight / 4 * (failed - state.error_rate);
    switch (end) {
    case send_outcome::answered:
    case send_outcome::error:
        record.backoff = 0ms;
        record.backoff_until = {};
        break;
    case send_outcome::refused:
        record.backoff_until = now + rejection_backoff;
        break;
    default:
        record.backoff = std::clamp(2 * record.backoff, initial_backoff, max_backoff);
        record.backoff_until = now + record.backoff;
        break;
    }
}

}  // namespace cyclamenmount
