#include "placement/placement.h"

#include "coordination/roster/roster.h"
#include "routing/choose.h"
#include "types/numeric.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace cyclamenmount {

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
//! An upstream is avoided if its error rate exceeds the common rate of all upstreams by more.
constexpr double max_excess_error_rate = 0.25;
//! Limit of running and queued requests per slot for requests without a prompt.
constexpr int requests_per_slot = 2;
//! A model engine with at least this load only gets prompts if all other engines are busy too.
constexpr double busy_engine_load = 0.85;
//! A model engine with more unread prompt tokens from this instance counts as busy: it takes about
//! half a second to read that many.
constexpr std::uint64_t max_unread_tokens = 20'000;
constexpr milliseconds cold_rate_window{1000};
constexpr double prompt_tokens_weight = 0.02;  //!< weight of one prompt in their smoothed mean
//! Load reports of this age are ignored: most of the reported requests have ended since.
constexpr milliseconds max_report_age{1500};

using upstream_list = std::vector<serving_upstream>;

const upstream_list& upstreams_of(const fleet_view& view, const pool_name& pool) {
    static const upstream_list none;
    const auto found = view.pools.find(pool);
    return found == view.pools.end() ? none : found->second;
}

const pool_limits* limits_of(const fleet_view& view, const pool_name& pool) {
    if (!view.config) {
        return nullptr;
    }
    const auto found = view.config->pools.find(pool);
    return found == view.config->pools.end() ? nullptr : &found->second;
}

//! Applies the members of the view and removes those that left a while ago.
void update_sharing(sharing_members& sharing, const fleet_view& view, instant now) {
    const bool is_applied = view.number != 0 && sharing.view_number == view.number;
    if (is_applied && now < sharing.next_removal) {
        return;
    }
    sharing.view_number = view.number;
    const auto known = sharing.last_seen.size();
    for (const member& present : view.members) {
        sharing.last_seen[present.address] = now;
    }
    const bool is_extended = sharing.last_seen.size() != known;
    const auto removed = std::erase_if(sharing.last_seen, [&](const auto& entry) {
        return now - entry.second > sustained_window;
    });
    sharing.next_removal = instant::max();
    for (const auto& [address, seen_at] : sharing.last_seen) {
        if (seen_at != now) {
            sharing.next_removal =
                std::min(sharing.next_removal, seen_at + sustained_window + milliseconds(1));
        }
    }
    if (is_extended || removed != 0) {
        ++sharing.version;
    }
}

//! Position of this instance among the sharing members for the upstream, by rendezvous weight.
instance_rank rank_for(const placement_state& state, const upstream_id& upstream) {
    const auto own_weight = rendezvous_weight({state.settings.address}, upstream.value);
    instance_rank rank{0, std::max(1, static_cast<int>(state.sharing.last_seen.size()))};
    for (const auto& [address, seen_at] : state.sharing.last_seen) {
        rank.before += rendezvous_weight({address}, upstream.value) > own_weight ? 1 : 0;
    }
    return rank;
}

const instance_rank& cached_rank(placement_state& state, const fleet_view& view,
                                 const upstream_id& upstream, instant now) {
    update_sharing(state.sharing, view, now);
    upstream_record& record = state.records[upstream];
    if (record.ranked_among != state.sharing.version) {
        record.rank = rank_for(state, upstream);
        record.ranked_among = state.sharing.version;
    }
    return record.rank;
}

//! Requests per second that this instance may send to one cold upstream: its part of the limit for
//! all instances.
int cold_allowance(placement_state& state, const fleet_view& view, const pool_limits& pool,
                   const upstream_id& upstream, instant now) {
    const int limit = truncate_to<int>(std::floor(
        pool.cold_per_second * state.settings.cold_overshoot + state.settings.cold_extra_rate));
    return share_of(limit, cached_rank(state, view, upstream, now));
}

bool is_cold(const serving_upstream& upstream, instant now) {
    return now < upstream.cold_until;
}

bool may_send_cold(placement_state& state, const fleet_view& view, const pool_limits& pool,
                   const serving_upstream& upstream, instant now) {
    const directive_state& sent = state.records[upstream.id].directives;
    return requests_within(sent, cold_rate_window, now) <
           cold_allowance(state, view, pool, upstream.id, now);
}

//! Time until the upstream's directives allow a request of this instance.
milliseconds time_to_next_request(placement_state& state, const fleet_view& view,
                                  const serving_upstream& upstream, instant now) {
    directive_state& directives = state.records[upstream.id].directives;
    set_incarnation(directives, upstream.started_at_ms);
    const instance_rank rank =
        directives.max_per_second ? cached_rank(state, view, upstream.id, now) : instance_rank{};
    return cyclamenmount::time_to_next_request(directives, rank, now);
}

bool is_avoided(const placement_state& state, const upstream_record& record, instant now) {
    return now < record.backoff_until ||
           record.error_rate > state.error_rate + max_excess_error_rate;
}

//! This instance's share of the connections that one upstream accepts.
int connection_share(const fleet_view& view, const pool_limits* pool) {
    if (pool == nullptr || pool->max_connections <= 0) {
        return std::numeric_limits<int>::max();
    }
    const int instances = static_cast<int>(std::max<std::size_t>(1, view.members.size()));
    return std::max(2, pool->max_connections / instances);
}

candidate make_candidate(const upstream_record& record, const serving_upstream& upstream,
                         int capacity, instant now) {
    candidate result;
    result.id = upstream.id;
    result.zone = upstream.zone;
    result.capacity = capacity;
    result.own_in_flight = record.in_flight;
    if (record.report && now - record.reported_at < max_report_age) {
        result.reported_in_flight = record.report->running + record.report->waiting;
        result.own_at_report = record.in_flight_at_report;
    }
    return result;
}

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

std::uint64_t prefix_key(std::span<const prompt_part> prompt) {
    // The last part is specific to the request, so the part before it identifies the shared prefix.
    const prompt_part& shared = prompt[prompt.size() >= 2 ? prompt.size() - 2 : 0];
    return XXH3_64bits(shared.id.data(), shared.id.size());
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

std::uint64_t prompt_tokens(std::span<const prompt_part> prompt) {
    std::uint64_t tokens = 0;
    for (const prompt_part& part : prompt) {
        tokens += part.tokens;
    }
    return tokens;
}

//! Returns true if the prompt is shorter than most of its pool, and updates their mean.
bool is_short_prompt(placement_state& state, const placement_request& wanted) {
    const auto tokens = static_cast<double>(prompt_tokens(wanted.prompt));
    double& mean = state.mean_prompt_tokens.try_emplace(wanted.pool, tokens).first->second;
    mean += prompt_tokens_weight * (tokens - mean);
    return tokens < mean;
}

//! A limit counts requests, whatever their size, so short prompts leave the places at limited
//! engines to long ones if another engine isn't busy.
bool leaves_place(const upstream_record& record, bool is_short) {
    return is_short && record.directives.max_per_second.has_value();
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

zone_name preferred_zone(const placement_state& state, const fleet_view& view,
                         const placement_request& wanted, instant now) {
    if (wanted.prompt.empty()) {
        return {};
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
