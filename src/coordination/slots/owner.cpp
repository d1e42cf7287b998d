#include "coordination/slots/internal/reducer_steps.h"

#include <algorithm>
#include <map>

namespace cyclamenmount::detail {

namespace {

//! A poll that isn't answered within this time counts as unanswered.
constexpr milliseconds poll_timeout{1500};

//! Unanswered polls in a row after which a warm upstream is marked cold.
constexpr int unanswered_polls_until_cold = 2;

//! Queue limit for the slot requests of one upstream.
constexpr std::size_t max_queued_requests = 64;

void reply(slots_context& context, const instance_id& to, const slot_request& request,
           bool granted) {
    const auto peer = find_member(context.roster, to);
    if (peer) {
        context.out.emplace_back(
            send_to_peer{*peer, slot_reply{generation(context.roster), request.upstream,
                                           request.attempt, granted}});
    }
}

instant earliest_grant(const slots_context& context, const slot_ledger& ledger) {
    const timing_settings& timing = context.env.timing;
    return ledger.ownership.since + timing.owner_lease + timing.lease_margin + timing.start_window;
}

bool can_grant(const slots_context& context, const upstream_state& upstream,
               const slot_ledger& ledger) {
    if (ledger.declared != declared_condition::cold ||
        context.now < earliest_grant(context, ledger)) {
        return false;
    }
    const int slots_in_use = static_cast<int>(ledger.slots.size()) + ledger.unaccounted;
    return slots_in_use < cold_capacity_of(context, upstream) &&
           are_holdings_known(context, ledger) && may_act_as_owner_of(context, upstream.id);
}

void grant(slots_context& context, slot_ledger& ledger, const instance_id& to,
           const slot_request& request) {
    const instant ends_at = context.now + request.lasts_at_most + context.env.timing.lease_margin;
    ledger.slots[request.attempt] = slot{request.attempt, to, ends_at, context.now, false, false};
    reply(context, to, request, true);
}

void refuse_all_requests(slots_context& context, slot_ledger& ledger) {
    for (const waiting_slot_request& each : ledger.waiting) {
        reply(context, each.from, each.request, false);
    }
    ledger.waiting.clear();
}

//! Refuses the requests whose wait limit has passed.
void refuse_expired_requests(slots_context& context, slot_ledger& ledger) {
    std::erase_if(ledger.waiting, [&](const waiting_slot_request& each) {
        const bool has_expired = context.now - each.received_at >= each.request.waits_at_most;
        if (has_expired) {
            reply(context, each.from, each.request, false);
        }
        return has_expired;
    });
}

//! Drops expired slots. Their attempts count as unaccounted until the next poll returns the
//! upstream's own count, since an attempt may outlive its slot.
void drop_expired(slots_context& context, slot_ledger& ledger) {
    const auto expired = std::erase_if(
        ledger.slots, [&](const auto& entry) { return context.now >= entry.second.ends_at; });
    if (expired > 0) {
        ledger.unaccounted += static_cast<int>(expired);
        ledger.next_poll = context.now;
    }
    while (!ledger.recent_releases.empty() &&
           context.now - ledger.recent_releases.front() > report_lag) {
        ledger.recent_releases.pop_front();
    }
}

void poll_if_due(slots_context& context, const upstream_state& upstream, slot_ledger& ledger) {
    if (ledger.poll_in_flight && context.now - ledger.poll_sent_at > poll_timeout) {
        handle_poll(context, upstream_polled{upstream.id, false, {}});
    }
    if (ledger.poll_in_flight || context.now < ledger.next_poll) {
        return;
    }
    ledger.poll_in_flight = true;
    ledger.poll_sent_at = context.now;
    ledger.next_poll = context.now + context.env.timing.poll_period;
    context.out.emplace_back(poll_upstream{upstream.id, upstream.address});
}

//! Drops slots whose attempts, if they started, must have started in the previous incarnation.
void drop_slots_of_past_incarnations(slots_context& context, slot_ledger& ledger) {
    if (!ledger.answered_poll_sent_at) {
        return;
    }
    const timing_settings& timing = context.env.timing;
    const instant started_by =
        *ledger.answered_poll_sent_at - timing.start_window - timing.lease_margin;
    std::erase_if(ledger.slots, [&](const auto& entry) {
        const slot& each = entry.second;
        return each.granted_at && *each.granted_at < started_by;
    });
}

void declare_warm(slots_context& context, upstream_state& upstream, slot_ledger& ledger) {
    const bool is_newly_warm = ledger.declared != declared_condition::warm;
    ledger.declared = declared_condition::warm;
    mark_warm(upstream, ledger.poll_sent_at, context.now);
    if (is_newly_warm) {
        refuse_all_requests(context, ledger);
        context.state.next_notice = context.now;
    }
}

void apply_poll(slots_context& context, upstream_state& upstream, slot_ledger& ledger,
                const upstream_report& report) {
    const bool is_new = report.incarnation != upstream.report.incarnation;
    if (!update_incarnation(upstream, report.incarnation)) {
        return;
    }
    if (is_new) {
        drop_slots_of_past_incarnations(context, ledger);
    }
    upstream.report = report;
    upstream.report.upstream = upstream.id;
    upstream.running_at_report = upstream.running;
    ledger.answered_poll_sent_at = ledger.poll_sent_at;
    const bool is_current = ledger.poll_sent_at >= ledger.cold_indicated_at;
    const bool out = is_out_of_service(context.documents, upstream.zone, upstream.id);
    if (report.condition == upstream_condition::warm && is_current && !out &&
        may_act_as_owner_of(context, upstream.id)) {
        declare_warm(context, upstream, ledger);
    }
    if (report.condition == upstream_condition::cold) {
        upstream.warm = false;
        if (ledger.declared != declared_condition::cold) {
            collect_holdings(context, upstream, ledger);
        }
        update_unaccounted(ledger, report.in_flight);
        serve_waiting(context, upstream, ledger);
    }
}

void record_unanswered_poll(slots_context& context, upstream_state& upstream, slot_ledger& ledger) {
    ++ledger.polls_unanswered;
    if (ledger.polls_unanswered == unanswered_polls_until_cold &&
        ledger.declared == declared_condition::warm) {
        mark_cold(context, upstream, "died", true);
    }
}

upstream_report declared_report(const upstream_state& upstream, const slot_ledger& ledger) {
    upstream_report report = upstream.report;
    report.upstream = upstream.id;
    if (report.condition == upstream_condition::leaving) {
        return report;
    }
    if (ledger.declared == declared_condition::warm) {
        report.condition = upstream_condition::warm;
        return report;
    }
    report.condition = upstream_condition::cold;
    report.in_flight =
        static_cast<int>(ledger.slots.size() + ledger.waiting.size()) + ledger.unaccounted;
    return report;
}

}  // namespace

int cold_capacity_of(const slots_context& context, const upstream_state& upstream) {
    const auto found = context.env.pools.pools.find(upstream.pool);
    return found == context.env.pools.pools.end() ? 0 : found->second.cold_capacity;
}

void invalidate_warm(slots_context& context, slot_ledger& ledger) {
    ledger.declared = declared_condition::unknown;
    ledger.cold_indicated_at = context.now;
    ledger.next_poll = context.now;
    context.state.next_notice = context.now;
}

void handle_poll(slots_context& context, const upstream_polled& polled) {
    upstream_state* upstream = find_upstream(context.state, polled.upstream);
    slot_ledger* ledger = upstream == nullptr ? nullptr : refresh_ledger(context, *upstream);
    if (ledger == nullptr || !ledger->poll_in_flight) {
        return;
    }
    ledger->poll_in_flight = false;
    if (!polled.answered) {
        record_unanswered_poll(context, *upstream, *ledger);
        return;
    }
    ledger->polls_unanswered = 0;
    apply_poll(context, *upstream, *ledger, polled.report);
}

void maintain_upstream(slots_context& context, upstream_state& upstream) {
    slot_ledger* ledger = refresh_ledger(context, upstream);
    if (ledger == nullptr) {
        return;
    }
    if (is_out_of_service(context.documents, upstream.zone, upstream.id)) {
        ledger->cold_indicated_at = context.now;
        ledger->declared = ledger->declared == declared_condition::warm
                               ? declared_condition::unknown
                               : ledger->declared;
    }
    poll_if_due(context, upstream, *ledger);
    drop_expired(context, *ledger);
    refuse_expired_requests(context, *ledger);
    if (ledger->declared == declared_condition::cold) {
        request_holdings(context, upstream, *ledger);
        serve_waiting(context, upstream, *ledger);
    }
}

void publish_declared_conditions(slots_context& context) {
    if (context.now < context.state.next_notice) {
        return;
    }
    context.state.next_notice = context.now + context.env.timing.poll_period;
    report_notice notice;
    notice.generation = generation(context.roster);
    for (const auto& [id, ledger] : context.state.ledgers) {
        const upstream_state* upstream = find_upstream(context.state, id);
        const bool fresh =
            ledger.answered_poll_sent_at &&
            context.now - *ledger.answered_poll_sent_at <= context.env.timing.max_staleness;
        if (upstream != nullptr && fresh && may_act_as_owner_of(context, id)) {
            notice.reports.push_back(declared_report(*upstream, ledger));
        }
    }
    if (notice.reports.empty()) {
        return;
    }
    for (const member& each : members(context.roster)) {
        if (each.id != context.env.self.id) {
            context.out.emplace_back(send_to_peer{each, notice});
        }
    }
}

void handle_slot_request(slots_context& context, const instance_id& from,
                         const slot_request& request) {
    upstream_state* upstream = find_upstream(context.state, request.upstream);
    slot_ledger* ledger = upstream == nullptr ? nullptr : refresh_ledger(context, *upstream);
    if (ledger == nullptr || ledger->declared == declared_condition::warm ||
        !may_act_as_owner_of(context, request.upstream)) {
        reply(context, from, request, false);
        return;
    }
    if (ledger->slots.contains(request.attempt)) {
        reply(context, from, request, true);
        return;
    }
    if (ledger->waiting.size() >= max_queued_requests) {
        reply(context, from, request, false);
        return;
    }
    ledger->waiting.push_back({from, request, context.now});
    serve_waiting(context, *upstream, *ledger);
    refuse_expired_requests(context, *ledger);
}

void handle_slot_release(slots_context& context, const slot_release& release) {
    upstream_state* upstream = find_upstream(context.state, release.upstream);
    slot_ledger* ledger = upstream == nullptr ? nullptr : refresh_ledger(context, *upstream);
    if (ledger == nullptr) {
        return;
    }
    std::erase_if(ledger->waiting, [&](const waiting_slot_request& each) {
        return each.request.attempt == release.attempt;
    });
    if (ledger->slots.erase(release.attempt) > 0) {
        ledger->recent_releases.push_back(context.now);
    }
    serve_waiting(context, *upstream, *ledger);
}

void serve_waiting(slots_context& context, upstream_state& upstream, slot_ledger& ledger) {
    drop_expired(context, ledger);
    while (!ledger.waiting.empty() && can_grant(context, upstream, ledger)) {
        const waiting_slot_request first = ledger.waiting.front();
        ledger.waiting.pop_front();
        grant(context, ledger, first.from, first.request);
    }
}

}  // namespace cyclamenmount::detail
