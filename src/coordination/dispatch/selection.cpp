#include "coordination/dispatch/internal/selection.h"

#include "routing/choose.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

//! Above this load of the chosen warm upstream, a cold one with room is asked first.
constexpr double feed_load = 0.5;

//! Upstreams of one pool that one instance uses, own zone first, unless they are all full.
constexpr std::size_t subset_size = 32;

using known_list = std::vector<const known_upstream*>;

struct split_pool {
    known_list warm;
    known_list cold;
};

bool is_excluded(const attempt_wanted& wanted, const upstream_id& id) {
    return std::find(wanted.excluded.begin(), wanted.excluded.end(), id) != wanted.excluded.end();
}

split_pool split(const dispatch_context& context, const attempt_wanted& wanted) {
    split_pool found;
    for (const auto& [id, known] : context.slots.known) {
        if (known.pool != wanted.pool || is_excluded(wanted, id) ||
            !is_in_service(context, known)) {
            continue;
        }
        const bool cold = needs_slot(known, context.env, context.now);
        (cold ? found.cold : found.warm).push_back(&known);
    }
    return found;
}

void keep_subset(const dispatch_context& context, known_list& all) {
    if (all.size() <= subset_size) {
        return;
    }
    const zone_name& own = context.env.self.zone;
    const auto before = [&own](const known_upstream* left, const known_upstream* right) {
        const bool left_near = left->zone == own;
        const bool right_near = right->zone == own;
        return left_near != right_near ? left_near : left->subset_weight > right->subset_weight;
    };
    const auto end = all.begin() + static_cast<std::ptrdiff_t>(subset_size);
    std::nth_element(all.begin(), end, all.end(), before);
    all.resize(subset_size);
}

candidate make_candidate(const known_upstream& known, int capacity, bool cold) {
    candidate value;
    value.id = known.id;
    value.zone = known.zone;
    value.reported_in_flight = known.report.in_flight;
    value.own_in_flight = known.running;
    value.own_at_report = known.running_at_report;
    value.capacity = capacity;
    value.cold = cold;
    return value;
}

std::vector<candidate> warm_candidates(const known_list& all, const pool_settings& pool) {
    std::vector<candidate> made;
    for (const known_upstream* known : all) {
        const int reported = known->report.capacity;
        made.push_back(make_candidate(*known, reported > 0 ? reported : pool.capacity, false));
    }
    return made;
}

std::vector<candidate> cold_candidates(const dispatch_context& context, const known_list& all,
                                       const pool_settings& pool) {
    std::vector<candidate> made;
    for (const known_upstream* known : all) {
        const auto denied = context.state.slot_denied_until.find(known->id);
        const bool waits =
            denied != context.state.slot_denied_until.end() && context.now < denied->second;
        if (!waits) {
            made.push_back(make_candidate(*known, pool.cold_capacity, true));
        }
    }
    return made;
}

//! Prefers one with room; else any, for its queue.
std::optional<std::size_t> choose_cold(const std::vector<candidate>& all,
                                       const choice_wanted& wanted) {
    const auto with_room = choose_upstream(all, wanted);
    if (with_room || all.empty()) {
        return with_room;
    }
    return wanted.random % all.size();
}

}  // namespace

bool is_in_service(const dispatch_context& context, const known_upstream& upstream) {
    return !is_leaving(upstream) && !is_out(context.documents, upstream.zone, upstream.id);
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
    split_pool pool = split(context, wanted);
    found.any = !pool.warm.empty() || !pool.cold.empty();
    keep_subset(context, pool.warm);
    keep_subset(context, pool.cold);
    const auto warm = warm_candidates(pool.warm, settings->second);
    const auto cold = cold_candidates(context, pool.cold, settings->second);
    choice_wanted choice{context.env.self.zone, wanted.prefix_hash, next_random(context.state)};
    const auto warm_index = choose_upstream(warm, choice);
    choice.prefix_hash = 0;
    const auto cold_index = choose_cold(cold, choice);
    if (warm_index) {
        found.warm = warm[*warm_index].id;
    }
    if (cold_index) {
        found.cold = cold[*cold_index].id;
        const bool has_room = corrected_load(cold[*cold_index]) < 1;
        found.cold_first =
            has_room && (!warm_index || corrected_load(warm[*warm_index]) >= feed_load);
    }
    return found;
}

}  // namespace cyclamenmount::detail
