#include "placement/placement.h"

#include "coordination/roster/roster.h"
#include "routing/choose.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace cyclamenmount {

namespace {

//! First pause of an upstream that failed to answer; doubles up to the longest. The platform drops
//! a silent upstream from its list after about 3.6 s, so longer pauses add nothing.
constexpr milliseconds first_backoff{300};
constexpr milliseconds longest_backoff{2400};
//! An upstream at its place limit refuses; it may have room again after a mean request.
constexpr milliseconds full_backoff{60};
constexpr double newest_weight = 0.15;  //!< of one answer in the smoothed error rate
//! An upstream is avoided if it fails this much more often than all together.
constexpr double excess_error_rate = 0.25;
//! Plain upstreams queue a little: so many requests for each place.
constexpr int plain_queue_factor = 2;
//! A model engine above this part of its places only gets prompts that no other can take.
constexpr double busy_engine = 0.85;
//! Unread prompt tokens of this instance at one engine before the next in rank is taken: about
//! half a second of reading.
constexpr std::uint64_t most_unread_tokens = 20'000;
constexpr milliseconds cold_window{1000};
//! An older report says nothing of the present load: most requests have ended since.
constexpr milliseconds report_age{1500};

using upstream_list = std::vector<serving_upstream>;

const upstream_list& upstreams_of(const fleet_view& view, const pool_name& pool) {
    static const upstream_list none;
    const auto found = view.pools.find(pool);
    return found == view.pools.end() ? none : found->second;
}

const pool_limits* limits_of(const fleet_view& view, const pool_name& pool) {
    if (!view.lists) {
        return nullptr;
    }
    const auto found = view.lists->pools.find(pool);
    return found == view.lists->pools.end() ? nullptr : &found->second;
}

//! How many members rank before this instance for the upstream.
int rank_for(const placement_state& state, const fleet_view& view, const upstream_id& upstream) {
    const auto own = rendezvous_weight({state.settings.address}, upstream.value);
    return static_cast<int>(std::ranges::count_if(view.members, [&](const member& one) {
        return rendezvous_weight({one.address}, upstream.value) > own;
    }));
}

//! Requests a second that this instance may send to one cold upstream: its part of what all
//! instances may send together. What doesn't divide goes to those that rank first, so that a fleet
//! larger than the rate still uses cold upstreams.
int cold_allowance(const placement_state& state, const fleet_view& view, const pool_limits& pool,
                   const upstream_id& upstream) {
    const int instances = static_cast<int>(std::max<std::size_t>(1, view.members.size()));
    const int all = static_cast<int>(std::floor(
        pool.cold_per_second * state.settings.cold_overshoot + state.settings.cold_extra));
    const bool has_rest = rank_for(state, view, upstream) < all % instances;
    return all / instances + (has_rest ? 1 : 0);
}

bool is_cold(const serving_upstream& upstream, instant now) {
    return now < upstream.cold_until;
}

bool may_start_cold(placement_state& state, const fleet_view& view, const pool_limits& pool,
                    const serving_upstream& upstream, instant now) {
    auto& starts = state.records[upstream.id].cold_starts;
    while (!starts.empty() && now - starts.front() > cold_window) {
        starts.pop_front();
    }
    return static_cast<int>(starts.size()) < cold_allowance(state, view, pool, upstream.id);
}

bool is_avoided(const placement_state& state, const upstream_record& record, instant now) {
    return now < record.suspect_until || record.error_rate > state.error_rate + excess_error_rate;
}

//! This instance's part of the connections that one upstream accepts.
int connection_share(const fleet_view& view, const pool_limits* pool) {
    if (pool == nullptr || pool->max_connections <= 0) {
        return std::numeric_limits<int>::max();
    }
    const int instances = static_cast<int>(std::max<std::size_t>(1, view.members.size()));
    return std::max(2, pool->max_connections / instances);
}

candidate to_candidate(const upstream_record& record, const serving_upstream& upstream,
                       int capacity, instant now) {
    candidate one;
    one.id = upstream.id;
    one.zone = upstream.zone;
    one.capacity = capacity;
    one.own_in_flight = record.in_flight;
    if (record.report && now - record.reported_at < report_age) {
        one.reported_in_flight = record.report->running + record.report->waiting;
        one.own_at_report = record.in_flight_at_report;
    }
    return one;
}

//! Upstreams that may be tried, with those avoided only if there is no other.
upstream_list usable(placement_state& state, const fleet_view& view, const placement_wanted& wanted,
                     instant now) {
    upstream_list good;
    upstream_list avoided;
    const pool_limits* const limits = limits_of(view, wanted.pool);
    const int share = connection_share(view, limits);
    for (const serving_upstream& one : upstreams_of(view, wanted.pool)) {
        const upstream_record& record = state.records[one.id];
        if (wanted.excluded.contains(one.id) || record.in_flight >= share) {
            continue;
        }
        (is_avoided(state, record, now) ? avoided : good).push_back(one);
    }
    return good.empty() ? avoided : good;
}

std::uint64_t prefix_key(std::span<const prompt_part> prompt) {
    // The last part belongs to the request alone.
    const prompt_part& shared = prompt[prompt.size() >= 2 ? prompt.size() - 2 : 0];
    return XXH3_64bits(shared.id.data(), shared.id.size());
}

std::optional<std::size_t> choose_plain(const placement_state& state, const upstream_list& from,
                                        const placement_wanted& wanted, instant now) {
    std::vector<candidate> candidates;
    for (const serving_upstream& one : from) {
        candidates.push_back(
            to_candidate(state.records.at(one.id), one, one.slots * plain_queue_factor, now));
    }
    choice_wanted choice;
    choice.own_zone = wanted.zone;
    choice.random = wanted.random;
    return choose_upstream(candidates, choice);
}

//! The highest ranked engine for the prompt that isn't busy; else the least loaded with room.
std::optional<std::size_t> choose_engine(const placement_state& state, const upstream_list& from,
                                         const placement_wanted& wanted, instant now) {
    const std::uint64_t key = prefix_key(wanted.prompt);
    std::optional<std::size_t> ranked;
    std::optional<std::size_t> least;
    std::uint64_t best_weight = 0;
    double least_load = 1;
    for (std::size_t i = 0; i < from.size(); ++i) {
        const upstream_record& record = state.records.at(from[i].id);
        const double load = corrected_load(to_candidate(record, from[i], from[i].slots, now));
        const std::uint64_t weight = detail::prefix_weight(key, from[i].id);
        const bool is_busy = load >= busy_engine || record.unread_tokens > most_unread_tokens;
        if (!is_busy && (!ranked || weight > best_weight)) {
            ranked = i;
            best_weight = weight;
        }
        if (load < least_load) {
            least = i;
            least_load = load;
        }
    }
    return ranked ? ranked : least;
}

std::optional<serving_upstream> choose(const placement_state& state, const upstream_list& from,
                                       const placement_wanted& wanted, instant now) {
    const auto index = wanted.prompt.empty() ? choose_plain(state, from, wanted, now)
                                             : choose_engine(state, from, wanted, now);
    return index ? std::optional(from[*index]) : std::nullopt;
}

}  // namespace

std::optional<serving_upstream> place(placement_state& state, const fleet_view& view,
                                      const placement_wanted& wanted, instant now) {
    upstream_list all = usable(state, view, wanted, now);
    upstream_list cold;
    std::erase_if(all, [&](const serving_upstream& one) {
        if (!is_cold(one, now)) {
            return false;
        }
        cold.push_back(one);
        return true;
    });
    if (auto warm = choose(state, all, wanted, now)) {
        return warm;
    }
    const pool_limits* const limits = limits_of(view, wanted.pool);
    if (limits == nullptr) {
        return std::nullopt;
    }
    std::erase_if(cold, [&](const serving_upstream& one) {
        return !may_start_cold(state, view, *limits, one, now);
    });
    return choose(state, cold, wanted, now);
}

zone_name preferred_zone(const placement_state& state, const fleet_view& view,
                         const placement_wanted& wanted, instant now) {
    if (wanted.prompt.empty()) {
        return {};
    }
    const std::uint64_t key = prefix_key(wanted.prompt);
    zone_name zone;
    std::uint64_t best_weight = 0;
    for (const serving_upstream& one : upstreams_of(view, wanted.pool)) {
        const auto record = state.records.find(one.id);
        const bool avoided =
            record != state.records.end() && is_avoided(state, record->second, now);
        const std::uint64_t weight = detail::prefix_weight(key, one.id);
        if (!avoided && !is_cold(one, now) && (zone.empty() || weight > best_weight)) {
            zone = one.zone;
            best_weight = weight;
        }
    }
    return zone;
}

void note_sent(placement_state& state, const serving_upstream& to, std::uint64_t prompt_tokens,
               instant now) {
    upstream_record& record = state.records[to.id];
    ++record.in_flight;
    record.unread_tokens += prompt_tokens;
    if (is_cold(to, now)) {
        record.cold_starts.push_back(now);
    }
}

void note_first_event(placement_state& state, const upstream_id& from,
                      std::uint64_t prompt_tokens) {
    upstream_record& record = state.records[from];
    record.unread_tokens -= std::min(record.unread_tokens, prompt_tokens);
}

void note_load(placement_state& state, const upstream_id& from, const load_report& report,
               instant now) {
    upstream_record& record = state.records[from];
    record.report = report;
    record.reported_at = now;
    record.in_flight_at_report = record.in_flight;
}

void note_ended(placement_state& state, const upstream_id& from, sent_end end, instant now) {
    upstream_record& record = state.records[from];
    record.in_flight = std::max(0, record.in_flight - 1);
    if (end == sent_end::abandoned) {
        return;
    }
    const double failed = end == sent_end::error ? 1 : 0;
    record.error_rate += newest_weight * (failed - record.error_rate);
    state.error_rate += newest_weight / 4 * (failed - state.error_rate);
    switch (end) {
    case sent_end::answered:
    case sent_end::error:
        record.backoff = 0ms;
        record.suspect_until = {};
        break;
    case sent_end::refused:
        record.suspect_until = now + full_backoff;
        break;
    default:
        record.backoff = std::clamp(2 * record.backoff, first_backoff, longest_backoff);
        record.suspect_until = now + record.backoff;
        break;
    }
}

}  // namespace cyclamenmount
