#include "coordination/dispatch/internal/selection.h"

#include "routing/choose.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

//! If the chosen warm upstream has at least this load, a slot of a cold upstream with free capacity
//! is requested first.
constexpr double cold_first_load = 0.5;

//! Number of upstreams of one pool that an instance uses; those of its own availability zone are
//! preferred.
constexpr std::size_t subset_size = 32;

using upstream_list = std::vector<const upstream_state*>;

//! Upstreams of one pool by condition.
struct upstreams_by_condition {
    upstream_list warm;
    upstream_list cold;
};

bool is_excluded(const attempt_wanted& wanted, const upstream_id& id) {
    return std::find(wanted.excluded.begin(), wanted.excluded.end(), id) != wanted.excluded.end();
}

upstreams_by_condition split_by_condition(const dispatch_context& context,
                                          const attempt_wanted& wanted) {
    upstreams_by_condition found;
    for (const auto& [id, upstream] : context.slots.upstreams) {
        if (upstream.pool != wanted.pool || is_excluded(wanted, id) ||
            !is_in_service(context, upstream)) {
            continue;
        }
        const bool cold = needs_slot(upstream, context.env, context.now);
        (cold ? found.cold : found.warm).push_back(&upstream);
    }
    return found;
}

void limit_to_subset(const dispatch_context& context, upstream_list& all) {
    if (all.size() <= subset_size) {
        return;
    }
    const zone_name& own_zone = context.env.self.zone;
    const auto ranks_before = [&own_zone](const upstream_state* left, const upstream_state* right) {
        const bool left_is_local = left->zone == own_zone;
        const bool right_is_local = right->zone == own_zone;
        return left_is_local != right_is_local ? left_is_local
                                               : left->subset_weight > right->subset_weight;
    };
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(subset_size);
    std::nth_element(all.begin(), end, all.end(), ranks_before);
    all.resize(subset_size);
}

candidate make_candidate(const upstream_state& upstream, int capacity, bool cold) {
    candidate value;
    value.id = upstream.id;
    value.zone = upstream.zone;
    value.reported_in_flight = upstream.report.in_flight;
    value.own_in_flight = upstream.running;
    value.own_at_report = upstream.running_at_report;
    value.capacity = capacity;
    value.cold = cold;
    return value;
}

std::vector<candidate> warm_candidates(const upstream_list& all, const pool_settings& pool) {
    std::vector<candidate> candidates;
    for (const upstream_state* upstream : all) {
        const int reported = upstream->report.capacity;
        candidates.push_back(
            make_candidate(*upstream, reported > 0 ? reported : pool.capacity, false));
    }
    return candidates;
}

std::vector<candidate> cold_candidates(const dispatch_context& context, const upstream_list& all,
                                       const pool_settings& pool) {
    std::vector<candidate> candidates;
    for (const upstream_state* upstream : all) {
        const auto denied = context.state.slot_denied_until.find(upstream->id);
        const bool is_denied =
            denied != context.state.slot_denied_until.end() && context.now < denied->second;
        if (!is_denied) {
            candidates.push_back(make_candidate(*upstream, pool.cold_capacity, true));
        }
    }
    return candidates;
}

//! Chooses a cold upstream with free capacity. If all are full, chooses a random one, so that the
//! slot request is queued by its owner.
std::optional<std::size_t> choose_cold(const std::vector<candidate>& all,
                                       const choice_criteria& wanted) {
    const auto with_capacity = choose_upstream(all, wanted);
    if (with_capacity || all.empty()) {
        return with_capacity;
    }
    return wanted.random % all.size();
}

}  // namespace

bool is_in_service(const dispatch_context& context, const upstream_state& upstream) {
    return !is_leaving(upstream) &&
           !is_out_of_service(context.documents, upstream.zone, upstream.id);
}

std::uint64_t next_random(dispatch_state& state) {
    state.random += 0x9e3779b97f4a7c15U;
    std::uint64_t bits = state.random;
    bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9U;
    bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebU;
    return bits ^ (bits >> 31U);
}

selection select_upstream(dispatch_context& context, const attempt_wanted& wanted) {
    selection found;
    const auto settings = context.env.pools.pools.find(wanted.pool);
    if (settings == context.env.pools.pools.end()) {
        return found;
    }
    upstreams_by_condition pool = split_by_condition(context, wanted);
    found.has_upstream = !pool.warm.empty() || !pool.cold.empty();
    limit_to_subset(context, pool.warm);
    limit_to_subset(context, pool.cold);
    const auto warm = warm_candidates(pool.warm, settings->second);
    const auto cold = cold_candidates(context, pool.cold, settings->second);
    choice_criteria choice{context.env.self.zone, wanted.prefix_hash, next_random(context.state)};
    const auto warm_index = choose_upstream(warm, choice);
    choice.prefix_hash = 0;
    const auto cold_index = choose_cold(cold, choice);
    if (warm_index) {
        found.warm = warm[*warm_index].id;
    }
    if (cold_index) {
        found.cold = cold[*cold_index].id;
        const bool has_capacity = corrected_load(cold[*cold_index]) < 1;
        found.cold_first =
            has_capacity && (!warm_index || corrected_load(warm[*warm_index]) >= cold_first_load);
    }
    return found;
}

}  // namespace cyclamenmount::detail
