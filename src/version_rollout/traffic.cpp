//! Part of the version rollouts that requests use: versions to choose from, and counts.
#include "version_rollout/internal/orders.h"
#include "version_rollout/result_tests.h"
#include "version_rollout/version_rollout.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

//! Part of the allowed share up to which streams that the target began go on at it. Other requests
//! stay below `used_share`, so that a stream is rarely refused.
constexpr double continued_share = 0.95;
//! Part of the tolerance that the members divide among them, so that a pool with few requests gets
//! results too. The rest is for members that restart, as each process has a part of its own.
constexpr double used_tolerance = 0.25;
//! Requests beyond the next one that the share must allow before a route goes ahead of one with
//! fewer requests at the target.
constexpr double route_lead = 2;
//! Routes that are counted separately.
constexpr std::size_t max_routes = 32;

using version_set = std::set<software_version>;

//! Versions of the pool's upstreams. Those of the last view, so that a request doesn't go through
//! all upstreams.
version_set present_versions(const rollout_state& state, const pool_name& pool) {
    version_set versions;
    const auto found = state.first_seen.find(pool);
    if (found != state.first_seen.end()) {
        for (const auto& [version, since] : found->second) {
            versions.insert(version);
        }
    }
    return versions;
}

//! True if no unknown order can be for the version.
bool is_cleared(const rollout_state& state, const pool_name& pool,
                const software_version& version) {
    const auto found = state.first_seen.find(pool);
    if (found == state.first_seen.end()) {
        return false;
    }
    const auto seen = found->second.find(version);
    return seen != found->second.end() && state.confirmed_at != instant{} &&
           state.confirmed_at >= seen->second;
}

bool is_banned(const rollout_state& state, const pool_name& pool, const software_version& version,
               instant now) {
    const auto found = state.banned.find(pool);
    return found != state.banned.end() &&
           std::ranges::any_of(found->second, [&](const banned_version& banned) {
               return banned.version == version && now < banned.until;
           });
}

//! Requests that the target may still get, by the share; may be negative.
double spare_requests(const rollout_state& state, const order_progress& progress, double part) {
    const auto members = static_cast<double>(std::max<std::size_t>(1, state.view->members.size()));
    const double allowance = used_tolerance * state.settings.canary_tolerance / members;
    return part * state.settings.canary_share * static_cast<double>(progress.pool_requests) +
           allowance - static_cast<double>(progress.target_requests);
}

bool has_fewest_requests(const order_progress& progress, const std::string& route) {
    const auto own = progress.sent_by_route.find(route);
    const std::uint64_t sent = own == progress.sent_by_route.end() ? 0 : own->second;
    return std::ranges::all_of(progress.sent_by_route,
                               [&](const auto& one) { return sent <= one.second; });
}

//! True if the next request of the route may go to the target while versions are compared. A target
//! whose upstreams start late catches up at no more than twice the share.
bool is_targets_turn(const rollout_state& state, const order_progress& progress,
                     const std::string& route) {
    const double share = used_share * state.settings.canary_share;
    const double spare = spare_requests(state, progress, used_share);
    const double needed = has_fewest_requests(progress, route) ? 1 : 1 + route_lead;
    return spare >= needed && static_cast<double>(progress.since_target) * 2 * share >= 1;
}

version_choice choose_for_order(const rollout_state& state, const order_progress& progress,
                                const std::string& route, const version_set& others, instant now) {
    const version_set target{progress.order.target};
    const bool is_usable = detail::is_fresh(state, now) &&
                           is_cleared(state, progress.order.pool, progress.order.target);
    switch (progress.step) {
    case rollout_step::comparing:
        if (is_usable && is_targets_turn(state, progress, route)) {
            return {target, others, progress.outside_subset};
        }
        return {others, std::nullopt, {}};
    case rollout_step::moving:
        return is_usable ? version_choice{target, others, {}}
                         : version_choice{others, std::nullopt, {}};
    case rollout_step::closing:
        return {is_usable ? target : others, std::nullopt, {}};
    case rollout_step::completed:
        return {target, std::nullopt, {}};
    case rollout_step::rolled_back:
        break;
    }
    return {others, std::nullopt, {}};
}

}  // namespace

version_choice choose_versions(const rollout_state& state, const pool_name& pool,
                               const std::string& route, instant now) {
    if (!state.settings.is_enabled || !state.view) {
        return {};
    }
    const version_set present = present_versions(state, pool);
    if (present.size() <= 1) {
        return {};
    }
    const auto found = state.orders.find(pool);
    const order_progress* const progress = found == state.orders.end() ? nullptr : &found->second;
    version_set others;
    for (const software_version& version : present) {
        const bool is_target = progress != nullptr && version == progress->order.target;
        if (!is_target && is_cleared(state, pool, version) &&
            !is_banned(state, pool, version, now)) {
            others.insert(version);
        }
    }
    if (progress == nullptr || !detail::is_in_force(*progress, now)) {
        // The target of an order that is over is a version like others.
        if (progress != nullptr && present.contains(progress->order.target) &&
            progress->step == rollout_step::completed) {
            others.insert(progress->order.target);
        }
        return others == present ? version_choice{} : version_choice{others, std::nullopt, {}};
    }
    if (!present.contains(progress->order.target)) {
        return {others, std::nullopt, {}};
    }
    return choose_for_order(state, *progress, route, others, now);
}

bool may_continue(const rollout_state& state, const pool_name& pool,
                  const software_version& version, instant now) {
    if (!state.settings.is_enabled) {
        return true;
    }
    if (is_banned(state, pool, version, now)) {
        return false;
    }
    const auto found = state.orders.find(pool);
    if (found == state.orders.end() || found->second.order.target != version) {
        return true;
    }
    const order_progress& progress = found->second;
    if (progress.step == rollout_step::comparing) {
        return detail::is_fresh(state, now) &&
               spare_requests(state, progress, continued_share) >= 1;
    }
    return progress.step != rollout_step::rolled_back;
}

void record_sent(rollout_state& state, const sent_request& sent, instant now) {
    if (!state.settings.is_enabled) {
        return;
    }
    ++state.open[sent.pool][sent.version];
    const auto found = state.orders.find(sent.pool);
    if (found == state.orders.end()) {
        return;
    }
    order_progress& progress = found->second;
    progress.pool_requests += sent.is_repeat ? 0 : 1;
    if (progress.sent_by_route.size() < max_routes) {
        progress.sent_by_route.try_emplace(sent.route, 0);
    }
    if (sent.version != progress.order.target) {
        ++progress.since_target;
        return;
    }
    ++progress.target_requests;
    progress.since_target = 0;
    const auto route = progress.sent_by_route.find(sent.route);
    if (route != progress.sent_by_route.end()) {
        ++route->second;
    }
    if (progress.first_target_sent_at == instant{}) {
        progress.first_target_sent_at = now;
    }
}

void record_ended(rollout_state& state, const ended_request& ended) {
    if (!state.settings.is_enabled) {
        return;
    }
    const auto pool = state.open.find(ended.pool);
    if (pool != state.open.end()) {
        const auto open = pool->second.find(ended.version);
        if (open != pool->second.end() && --open->second == 0) {
            pool->second.erase(open);
        }
    }
    const auto found = state.orders.find(ended.pool);
    if (found == state.orders.end() || !ended.has_result) {
        return;
    }
    order_progress& progress = found->second;
    // The versions are compared over the same time: from the target's first request until all
    // traffic moves.
    if (progress.step != rollout_step::comparing || progress.first_target_sent_at == instant{} ||
        ended.sent_at < progress.first_target_sent_at) {
        return;
    }
    const bool is_counted_route =
        progress.results.contains(ended.route) || progress.results.size() < max_routes;
    route_results& results = progress.results[is_counted_route ? ended.route : std::string()];
    const bool is_target = ended.version == progress.order.target;
    version_results& counted = is_target ? results.target : results.others;
    ++counted.requests;
    counted.bad += ended.is_bad ? 1 : 0;
    if (ended.was_cold) {
        return;
    }
    if (ended.first_event) {
        add_time(counted.first_event, *ended.first_event);
    }
    if (ended.longest_gap) {
        add_time(counted.longest_gap, *ended.longest_gap);
    }
    if (ended.plain) {
        add_time(counted.plain, *ended.plain);
    }
}

}  // namespace cyclamenmount
