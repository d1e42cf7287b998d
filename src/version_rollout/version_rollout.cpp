#include "version_rollout/version_rollout.h"

#include "coordination/roster/roster.h"
#include "types/overloaded.h"
#include "version_rollout/internal/orders.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

//! The order that a message is about; null if this process knows no such order.
order_progress* find_order(rollout_state& state, const pool_name& pool, const std::string& key) {
    const auto found = state.orders.find(pool);
    return found == state.orders.end() || found->second.key != key ? nullptr : &found->second;
}

//! Takes over an age that another process knows.
void note_age(order_progress& progress, milliseconds age, instant now) {
    // All processes of a fleet that starts anew know about the same age, which is too low.
    constexpr milliseconds equal_ages{500};
    const milliseconds plausible = std::min(age, progress.order.duration);
    progress.is_heard_of = progress.is_heard_of || plausible > now - progress.seen_at + equal_ages;
    progress.started_at = std::min(progress.started_at, now - plausible);
}

//! Takes over a step from a member.
void adopt_step(order_progress& progress, rollout_step step, const std::string& reason,
                const member& from, instant now, std::vector<rollout_effect>& out) {
    if (detail::enter_step(progress, step, reason, now)) {
        out.push_back(detail::make_decision("adopted", progress, "told by " + from.address, now));
    }
}

void on_report(rollout_state& state, const rollout_report& report, instant now,
               std::vector<rollout_effect>& out) {
    order_progress* const progress = find_order(state, report.pool, report.order);
    if (progress == nullptr || report.age < 0ms) {
        return;
    }
    note_age(*progress, report.age, now);
    progress->reports[report.from.id] = {report, now};
    adopt_step(*progress, report.step, report.reason, report.from, now, out);
    if (progress->step == report.step) {
        return;
    }
    out.push_back(send_to_peer{report.from, rollout_notice{state.settings.self, report.pool,
                                                           report.order, order_age(*progress, now),
                                                           progress->step, progress->reason}});
}

void on_notice(rollout_state& state, const rollout_notice& notice, instant now,
               std::vector<rollout_effect>& out) {
    order_progress* const progress = find_order(state, notice.pool, notice.order);
    if (progress == nullptr || notice.age < 0ms) {
        return;
    }
    note_age(*progress, notice.age, now);
    adopt_step(*progress, notice.step, notice.reason, notice.from, now, out);
    if (!state.view) {
        return;
    }
    for (const member& decider : deciders_of(*state.view, notice.pool)) {
        if (decider.address == state.settings.self.address) {
            break;
        }
        if (decider.address == notice.from.address) {
            progress->decider_heard_at = now;
        }
    }
}

}  // namespace

rollout_state make_rollout_state(rollout_settings settings) {
    rollout_state state;
    state.settings = std::move(settings);
    return state;
}

std::vector<rollout_effect> reduce(rollout_state& state, const rollout_event& happened,
                                   instant now) {
    std::vector<rollout_effect> out;
    if (!state.settings.is_enabled) {
        return out;
    }
    std::visit(overloaded{
                   [&](const rollout_view_changed& changed) {
                       detail::apply_view(state, changed.view, now, out);
                   },
                   [&](const orders_confirmed& confirmed) {
                       state.confirmed_at = std::max(state.confirmed_at, confirmed.at);
                   },
                   [&](const rollout_report_received& received) {
                       on_report(state, received.report, now, out);
                   },
                   [&](const rollout_notice_received& received) {
                       on_notice(state, received.notice, now, out);
                   },
                   [&](const rollout_tick& /*tick*/) {
                       detail::answer_faulty_orders(state, now, out);
                       for (auto& [pool, progress] : state.orders) {
                           detail::advance_order(state, progress, now, out);
                       }
                   },
               },
               happened);
    return out;
}

std::vector<member> deciders_of(const fleet_view& view, const pool_name& pool) {
    // By address, so that a restarted process keeps its rank.
    std::vector<std::pair<std::uint64_t, const member*>> ranked;
    for (const member& one : view.members) {
        ranked.emplace_back(rendezvous_weight({one.address}, pool.value), &one);
    }
    const std::size_t count = std::min(ranked.size(), decider_count);
    std::ranges::partial_sort(
        ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count), std::greater<>(),
        [](const auto& one) { return std::pair(one.first, one.second->address); });
    std::vector<member> deciders;
    for (std::size_t rank = 0; rank < count; ++rank) {
        deciders.push_back(*ranked[rank].second);
    }
    return deciders;
}

milliseconds order_age(const order_progress& progress, instant now) {
    return now - progress.started_at;
}

std::string_view enum_name(rollout_step value) {
    switch (value) {
    case rollout_step::comparing:
        return "comparing";
    case rollout_step::moving:
        return "moving";
    case rollout_step::closing:
        return "closing";
    case rollout_step::completed:
        return "completed";
    case rollout_step::rolled_back:
        return "rolled_back";
    }
    return "unknown";
}

}  // namespace cyclamenmount
