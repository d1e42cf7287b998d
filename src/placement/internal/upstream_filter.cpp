#include "placement/internal/upstream_filter.h"

#include "coordination/roster/roster.h"
#include "types/numeric.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace cyclamenmount::detail {

namespace {

//! An upstream is avoided if its error rate exceeds the common rate of all upstreams by more.
constexpr double max_excess_error_rate = 0.25;
constexpr milliseconds cold_rate_window{1000};
constexpr double prompt_tokens_weight = 0.02;  //!< weight of one prompt in their smoothed mean

//! Applies the members of the view and removes those that left a while ago.
void update_sharing(sharing_members& sharing, const fleet_view& view, instant now) {
    const bool is_applied = view.number != 0 && sharing.view_number == view.number;
    if (is_applied && now < sharing.next_removal) {
        return;
    }
    sharing.view_number = view.number;
    const bool was_known = std::exchange(sharing.is_known, view.members_known);
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
    if (is_extended || removed != 0 || was_known != sharing.is_known) {
        ++sharing.version;
    }
}

//! True if the others count this instance.
bool has_part(const placement_state& state) {
    return !state.sharing.is_known || state.sharing.last_seen.contains(state.settings.address);
}

//! Position of this instance among the sharing members for the upstream, by rendezvous weight. The
//! others don't count an instance that isn't listed, so that it comes behind them all and gets no
//! part.
instance_rank rank_for(const placement_state& state, const upstream_id& upstream) {
    const int instances = std::max(1, static_cast<int>(state.sharing.last_seen.size()));
    if (!has_part(state)) {
        return {instances, instances};
    }
    const auto own_weight = rendezvous_weight({state.settings.address}, upstream.value);
    instance_rank rank{0, instances};
    for (const auto& [address, seen_at] : state.sharing.last_seen) {
        rank.before += rendezvous_weight({address}, upstream.value) > own_weight ? 1 : 0;
    }
    return rank;
}

}  // namespace

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

int sharing_instances(placement_state& state, const fleet_view& view, instant now) {
    update_sharing(state.sharing, view, now);
    return has_part(state) ? std::max(1, static_cast<int>(state.sharing.last_seen.size())) : 0;
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

namespace {

//! Requests per second that this instance may send to one cold upstream: its part of the limit for
//! all instances.
int cold_allowance(placement_state& state, const fleet_view& view, const pool_limits& pool,
                   const upstream_id& upstream, instant now) {
    const int limit = truncate_to<int>(std::floor(
        pool.cold_per_second * state.settings.cold_overshoot + state.settings.cold_extra_rate));
    return share_of(limit, cached_rank(state, view, upstream, now));
}

}  // namespace

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

std::uint64_t prefix_key(std::span<const prompt_part> prompt) {
    // The last part is specific to the request, so the part before it identifies the shared prefix.
    const prompt_part& shared = prompt[prompt.size() >= 2 ? prompt.size() - 2 : 0];
    return XXH3_64bits(shared.id.data(), shared.id.size());
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

}  // namespace cyclamenmount::detail
