//! Part of the version rollouts that applies orders and upstreams as read from the store.
#include "version_rollout/internal/orders.h"

#include "coordination/roster/roster.h"
#include "version_rollout/version_rollout.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cyclamenmount::detail {

namespace {

//! Time in which a configuration that was written with the order is read.
constexpr milliseconds configuration_grace{2000};

//! Phase that is stored for this very order.
std::optional<rollout_phase> stored_phase(const rollout_order& order) {
    const bool is_own = order.status_key.empty() || order.status_key == key_of(order);
    return is_own ? order.phase : std::nullopt;
}

bool is_final(const rollout_order& order) {
    const auto phase = stored_phase(order);
    return phase && *phase != rollout_phase::running;
}

void note_versions(rollout_state& state, instant now) {
    std::map<pool_name, std::map<software_version, instant>> seen;
    for (const auto& [pool, upstreams] : state.view->pools) {
        const auto& known = state.first_seen[pool];
        for (const serving_upstream& upstream : upstreams) {
            const auto found = known.find(upstream.version);
            seen[pool].emplace(upstream.version, found == known.end() ? now : found->second);
        }
    }
    state.first_seen = std::move(seen);
}

//! Keeps the target of an order that ended without a verdict from new requests.
void retire(rollout_state& state, const order_progress& progress, const std::string& why,
            instant now, std::vector<rollout_effect>& out) {
    const instant deadline = progress.started_at + progress.order.duration;
    if (progress.step != rollout_step::completed && deadline > now) {
        auto& banned = state.banned[progress.order.pool];
        std::erase_if(banned, [&](const banned_version& one) {
            return one.until <= now || one.version == progress.order.target;
        });
        banned.push_back({progress.order.target, deadline});
    }
    out.push_back(make_decision("ended", progress, why, now));
}

//! Upstreams of the target that get nothing while versions are compared. The others then run at
//! about the load of the old ones.
std::set<upstream_id> outside_subset(const rollout_state& state, const order_progress& progress) {
    std::vector<std::pair<std::uint64_t, upstream_id>> targets;
    std::size_t others = 0;
    const auto found = state.view->pools.find(progress.order.pool);
    if (found == state.view->pools.end()) {
        return {};
    }
    for (const serving_upstream& upstream : found->second) {
        if (upstream.version == progress.order.target) {
            targets.emplace_back(rendezvous_weight({upstream.id.value}, progress.key), upstream.id);
        } else {
            ++others;
        }
    }
    const double share = used_share * state.settings.canary_share;
    const auto wanted = static_cast<std::size_t>(
        std::max(1.0, std::round(static_cast<double>(others) * share / (1 - share))));
    std::ranges::sort(targets, std::greater<>());
    std::set<upstream_id> outside;
    for (std::size_t index = wanted; index < targets.size(); ++index) {
        outside.insert(targets[index].second);
    }
    return outside;
}

//! Adopts the stored phase, which is final once it is stored.
void adopt_stored(order_progress& progress, instant now, std::vector<rollout_effect>& out) {
    if (!is_final(progress.order)) {
        return;
    }
    const rollout_step stored = stored_phase(progress.order) == rollout_phase::completed
                                    ? rollout_step::completed
                                    : rollout_step::rolled_back;
    if (progress.step != stored) {
        progress.step = stored;
        progress.step_since = now;
        out.push_back(make_decision("adopted", progress, "stored", now));
    }
}

bool is_stage_pool(const fleet_view& view, const pool_name& pool) {
    if (!view.config) {
        return false;
    }
    const auto found = view.config->pools.find(pool);
    return found != view.config->pools.end() && found->second.stage;
}

void begin(rollout_state& state, const rollout_order& order, instant now,
           std::vector<rollout_effect>& out) {
    order_progress progress;
    progress.order = order;
    progress.key = key_of(order);
    progress.seen_at = now;
    progress.started_at = now;
    progress.step_since = now;
    progress.next_report_at = now;
    if (state.confirmed_at == instant{}) {
        progress.listed_age = std::clamp(order.started_ago, 0ms, order.duration);
    }
    if (is_stage_pool(*state.view, order.pool)) {
        // Packed calls aren't counted by version, so that a bad version couldn't be found out.
        enter_step(progress, rollout_step::rolled_back, "rollouts of stage pools aren't supported",
                   now);
    }
    out.push_back(make_decision("began", progress, "stored", now));
    const auto known = state.orders.find(order.pool);
    if (known != state.orders.end()) {
        retire(state, known->second, "replaced", now, out);
    }
    std::erase_if(state.banned[order.pool],
                  [&](const banned_version& one) { return one.version == order.target; });
    state.orders.insert_or_assign(order.pool, std::move(progress));
}

//! True if `one` decides on the pool rather than `other`.
bool has_precedence(const rollout_order& one, const rollout_order& other) {
    const auto rank = [](const rollout_order& order) {
        return std::tuple(!is_final(order), order.created.size(), order.created, order.name);
    };
    return rank(one) > rank(other);
}

//! The faulty orders and, by pool, the one that counts of the others.
struct sorted_orders {
    std::vector<rollout_order> faulty;
    std::map<pool_name, const rollout_order*> valid;
};

sorted_orders sort_orders(const fleet_view& view) {
    sorted_orders sorted;
    for (const auto& [name, order] : view.rollouts) {
        const bool is_known_pool = !view.config || view.config->pools.contains(order.pool);
        if (!order.fault.empty() || !is_known_pool) {
            sorted.faulty.push_back(order);
            if (order.fault.empty()) {
                sorted.faulty.back().fault = "the configuration has no such pool";
            }
            continue;
        }
        const rollout_order*& counts = sorted.valid[order.pool];
        if (counts == nullptr || has_precedence(order, *counts)) {
            counts = &order;
        }
    }
    return sorted;
}

}  // namespace

bool is_fresh(const rollout_state& state, instant now) {
    return state.confirmed_at != instant{} && now - state.confirmed_at <= state.settings.max_age;
}

bool is_in_force(const order_progress& progress, instant now) {
    return progress.step != rollout_step::completed ||
           now < progress.started_at + progress.order.duration;
}

rollout_decision make_decision(std::string what, const order_progress& progress, std::string why,
                               instant now) {
    rollout_decision decision;
    decision.what = std::move(what);
    decision.pool = progress.order.pool;
    decision.target = progress.order.target;
    decision.age = order_age(progress, now);
    decision.why = std::move(why);
    decision.figures = "step " + std::string(enum_name(progress.step));
    if (!progress.reason.empty()) {
        decision.figures += ": " + progress.reason;
    }
    return decision;
}

bool enter_step(order_progress& progress, rollout_step step, std::string reason, instant now) {
    const bool is_over =
        progress.step == rollout_step::completed || progress.step == rollout_step::rolled_back;
    if (is_over || step <= progress.step) {
        return false;
    }
    progress.step = step;
    progress.step_since = now;
    progress.reason = std::move(reason);
    return true;
}

void apply_view(rollout_state& state, const fleet_view_ptr& view, instant now,
                std::vector<rollout_effect>& out) {
    state.view = view;
    note_versions(state, now);
    const sorted_orders sorted = sort_orders(*view);
    std::erase_if(state.orders, [&](const auto& known) {
        const auto found = sorted.valid.find(known.first);
        // Results of an order that is replaced are dropped in `begin`.
        const bool is_removed = found == sorted.valid.end();
        if (is_removed) {
            retire(state, known.second, "removed", now, out);
        }
        return is_removed;
    });
    for (const auto& [pool, order] : sorted.valid) {
        const auto known = state.orders.find(pool);
        if (known == state.orders.end() || known->second.key != key_of(*order)) {
            begin(state, *order, now, out);
        }
        order_progress& progress = state.orders.at(pool);
        progress.order = *order;
        adopt_stored(progress, now, out);
        progress.outside_subset = outside_subset(state, progress);
    }
    std::map<std::string, instant> faulty;
    for (const rollout_order& order : sorted.faulty) {
        const auto known = state.faulty_orders.find(key_of(order));
        faulty.emplace(key_of(order), known == state.faulty_orders.end() ? now + configuration_grace
                                                                         : known->second);
    }
    state.faulty_orders = std::move(faulty);
}

void answer_faulty_orders(rollout_state& state, instant now, std::vector<rollout_effect>& out) {
    if (state.faulty_orders.empty()) {
        return;
    }
    for (const rollout_order& order : sort_orders(*state.view).faulty) {
        const auto found = state.faulty_orders.find(key_of(order));
        if (found == state.faulty_orders.end() || now < found->second) {
            continue;
        }
        const bool is_first_time = found->second != instant::max() && !is_final(order);
        found->second = instant::max();
        if (!is_first_time) {
            continue;
        }
        order_progress refused;
        refused.order = order;
        refused.started_at = now;
        refused.step = rollout_step::rolled_back;
        out.push_back(make_decision("refused", refused, order.fault, now));
        const auto deciders = deciders_of(*state.view, {order.name});
        const auto self =
            std::ranges::find(deciders, state.settings.self.address, &member::address);
        if (self != deciders.end() && !order.target.empty()) {
            out.push_back(write_rollout_status{order.name, key_of(order), order.target,
                                               rollout_phase::rolled_back, 0ms, order.fault});
        }
    }
}

}  // namespace cyclamenmount::detail
