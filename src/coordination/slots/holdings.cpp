#include "coordination/slots/internal/reducer_steps.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

//! Interval of holdings requests while a member's holdings are missing.
constexpr milliseconds collect_period{250};

//! Interval of holdings requests to slot holders, which detect lost releases.
constexpr milliseconds reconcile_period{1000};

bool is_held(const holdings_reply& reply, const attempt_id& attempt) {
    return std::any_of(reply.attempts.begin(), reply.attempts.end(),
                       [&](const held_attempt& each) { return each.attempt == attempt; });
}

//! True if holdings without this slot prove that it is unused: its attempt had to start before the
//! holdings request, sent at `requested_at`.
bool is_unused(const slots_context& context, const slot& value, instant requested_at) {
    const timing_settings& timing = context.env.timing;
    const instant started_by =
        value.granted_at.value_or(requested_at - timing.longest_attempt) + timing.start_window;
    return started_by + timing.lease_margin < requested_at;
}

void cancel(slots_context& context, const upstream_state& upstream, slot& value) {
    value.cancelling = true;
    const auto holder = find_member(context.roster, value.holder);
    if (holder) {
        context.out.emplace_back(send_to_peer{
            *holder, cancel_notice{generation(context.roster), upstream.id, value.attempt}});
    }
}

//! Cancels restartable attempts, latest deadline first, until the remaining ones fit the cold
//! capacity.
void cancel_excess(slots_context& context, const upstream_state& upstream, slot_ledger& ledger) {
    if (!may_act_as_owner_of(context, upstream.id)) {
        return;
    }
    std::vector<slot*> by_deadline;
    int remaining = static_cast<int>(ledger.slots.size());
    for (auto& [attempt, value] : ledger.slots) {
        if (value.cancelling) {
            --remaining;
        } else if (value.restartable) {
            by_deadline.push_back(&value);
        }
    }
    std::stable_sort(
        by_deadline.begin(), by_deadline.end(),
        [](const slot* left, const slot* right) { return left->ends_at > right->ends_at; });
    const int capacity = cold_capacity_of(context, upstream);
    for (slot* each : by_deadline) {
        if (remaining <= capacity) {
            return;
        }
        cancel(context, upstream, *each);
        --remaining;
    }
}

holdings_reply local_holdings(const slots_context& context, const upstream_id& upstream,
                              generation_number request_generation) {
    holdings_reply reply{request_generation, upstream, {}};
    for (const auto& [attempt, value] : context.state.running) {
        if (value.upstream != upstream) {
            continue;
        }
        const auto left = std::max(milliseconds(0), value.ends_at - context.now);
        const attempt_id& name = value.slot.empty() ? attempt : value.slot;
        reply.attempts.push_back({name, left, value.restartable});
    }
    return reply;
}

void send_holdings_request(slots_context& context, const upstream_state& upstream,
                           slot_ledger& ledger, const instance_id& id) {
    const auto peer = find_member(context.roster, id);
    if (!peer) {
        return;
    }
    ledger.holdings_requested_at.emplace(id, context.now);
    context.out.emplace_back(
        send_to_peer{*peer, holdings_request{generation(context.roster), upstream.id}});
}

void apply_holdings(slots_context& context, slot_ledger& ledger, const instance_id& from,
                    const holdings_reply& reply) {
    const auto requested = ledger.holdings_requested_at.find(from);
    const bool was_requested = requested != ledger.holdings_requested_at.end();
    std::erase_if(ledger.slots, [&](const auto& entry) {
        const slot& value = entry.second;
        return was_requested && value.holder == from && !is_held(reply, value.attempt) &&
               is_unused(context, value, requested->second);
    });
    const milliseconds margin = context.env.timing.lease_margin;
    for (const held_attempt& each : reply.attempts) {
        slot& value = ledger.slots[each.attempt];
        value.attempt = each.attempt;
        value.holder = from;
        value.ends_at = context.now + each.lasts_at_most + margin;
        value.restartable = each.restartable;
    }
    ledger.holdings_requested_at.erase(from);
    ledger.not_yet_reported.erase(from);
}

//! True if the processes of all members without reported holdings have ended, so that none of them
//! can start an attempt because of a stale warm condition.
bool have_unreported_members_ended(const slots_context& context, const slot_ledger& ledger) {
    return std::all_of(
        ledger.not_yet_reported.begin(), ledger.not_yet_reported.end(), [&](const instance_id& id) {
            const auto peer = find_member(context.roster, id);
            return peer && has_ended(context.roster, context.env, *peer, context.now);
        });
}

}  // namespace

void collect_holdings(slots_context& context, upstream_state& upstream, slot_ledger& ledger) {
    ledger.declared = declared_condition::cold;
    ledger.cold_since = context.now;
    ledger.next_holdings_request = context.now;
    context.state.next_notice = context.now;
    for (const auto* generation : {&context.roster.newest, &context.roster.previous}) {
        for (const member& each : generation->members) {
            ledger.not_yet_reported.insert(each.id);
        }
    }
    request_holdings(context, upstream, ledger);
}

void request_holdings(slots_context& context, upstream_state& upstream, slot_ledger& ledger) {
    if (context.now < ledger.next_holdings_request || !may_act_as_owner_of(context, upstream.id)) {
        return;
    }
    std::set<instance_id> recipients = ledger.not_yet_reported;
    for (auto& [attempt, value] : ledger.slots) {
        recipients.insert(value.holder);
        value.cancelling = false;
    }
    ledger.next_holdings_request =
        context.now + (ledger.not_yet_reported.empty() ? reconcile_period : collect_period);
    for (const instance_id& id : recipients) {
        send_holdings_request(context, upstream, ledger, id);
    }
}

void handle_holdings_request(slots_context& context, const instance_id& from,
                             const holdings_request& request) {
    if (request.generation < generation(context.roster)) {
        return;
    }
    upstream_state* upstream = find_upstream(context.state, request.upstream);
    if (upstream != nullptr) {
        if (request.generation < upstream->owner_message_generation) {
            return;
        }
        upstream->owner_message_generation = request.generation;
        mark_cold(context, *upstream, "report", false);
    }
    const auto owner = find_member(context.roster, from);
    if (owner) {
        context.out.emplace_back(
            send_to_peer{*owner, local_holdings(context, request.upstream, request.generation)});
    }
}

void handle_holdings_reply(slots_context& context, const instance_id& from,
                           const holdings_reply& reply) {
    upstream_state* upstream = find_upstream(context.state, reply.upstream);
    slot_ledger* ledger = upstream == nullptr ? nullptr : refresh_ledger(context, *upstream);
    if (ledger == nullptr || ledger->declared != declared_condition::cold ||
        reply.generation != generation(context.roster)) {
        return;
    }
    apply_holdings(context, *ledger, from, reply);
    cancel_excess(context, *upstream, *ledger);
    serve_waiting(context, *upstream, *ledger);
}

void handle_cancel(slots_context& context, const cancel_notice& notice) {
    if (notice.generation < generation(context.roster)) {
        return;
    }
    for (const auto& [attempt, value] : context.state.running) {
        const attempt_id& name = value.slot.empty() ? attempt : value.slot;
        if (value.upstream == notice.upstream && name == notice.attempt && value.restartable) {
            context.out.emplace_back(attempt_cancelled{attempt});
            return;
        }
    }
}

void update_unaccounted(slot_ledger& ledger, int in_flight) {
    int accounted = static_cast<int>(ledger.slots.size());
    if (ledger.not_yet_reported.empty()) {
        accounted += static_cast<int>(ledger.recent_releases.size());
    }
    ledger.unaccounted = std::max(0, in_flight - accounted);
}

bool are_holdings_known(const slots_context& context, const slot_ledger& ledger) {
    if (ledger.not_yet_reported.empty()) {
        return true;
    }
    const timing_settings& timing = context.env.timing;
    const instant since = std::max(ledger.cold_since, ledger.ownership.since);
    if (context.now - since > timing.longest_attempt + timing.start_window) {
        return true;
    }
    const milliseconds last_start = have_unreported_members_ended(context, ledger)
                                        ? milliseconds(0)
                                        : warm_staleness_factor * timing.max_staleness;
    const milliseconds time_until_counted = last_start + timing.start_window + report_lag;
    return ledger.answered_poll_sent_at &&
           *ledger.answered_poll_sent_at >= since + time_until_counted;
}

}  // namespace cyclamenmount::detail
