#include "coordination/slots/slots.h"

#include "coordination/slots/internal/reducer_steps.h"
#include "routing/choose.h"
#include "types/overloaded.h"

#include <algorithm>

namespace cyclamenmount {

namespace detail {

namespace {

//! An attempt whose end wasn't reported is dropped this long after its deadline.
constexpr milliseconds forget_after{5000};

void apply_listing(slots_context& context, const listed_instance& listed) {
    const upstream_id id{listed.id};
    upstream_state& known = context.state.upstreams[id];
    const bool has_moved = !known.address.empty() && known.address != listed.address;
    if (has_moved) {
        mark_cold(context, known, "report", false);
    }
    known.id = id;
    known.pool = pool_name{listed.role};
    known.address = listed.address;
    known.zone = listed.zone;
    known.subset_weight = subset_weight(context.env.self.id.value, id);
    known.listed_leaving = listed.leaving;
}

int running_at(const slots_state& state, const upstream_id& id) {
    return static_cast<int>(
        std::count_if(state.running.begin(), state.running.end(),
                      [&](const auto& entry) { return entry.second.upstream == id; }));
}

void handle_list(slots_context& context, const instances_listed& list) {
    if (list.status != store_status::ok) {
        return;
    }
    std::set<upstream_id> present;
    for (const listed_instance& each : list.instances) {
        if (context.env.pools.pools.contains(pool_name{each.role})) {
            present.insert(upstream_id{each.id});
            apply_listing(context, each);
        }
    }
    const auto is_gone = [&](const auto& entry) { return !present.contains(entry.first); };
    std::erase_if(context.state.upstreams, is_gone);
    std::erase_if(context.state.ledgers, is_gone);
    for (auto& [id, known] : context.state.upstreams) {
        known.running = running_at(context.state, id);
    }
}

void forget_lost_attempts(slots_context& context) {
    std::vector<attempt_id> lost;
    for (const auto& [attempt, value] : context.state.running) {
        if (context.now > value.ends_at + forget_after) {
            lost.push_back(attempt);
        }
    }
    for (const attempt_id& attempt : lost) {
        attempt_ended ended;
        ended.attempt = attempt;
        ended.outcome = attempt_outcome::timed_out;
        handle_attempt_end(context, ended);
    }
}

void handle_tick(slots_context& context) {
    forget_lost_attempts(context);
    for (auto& [id, known] : context.state.upstreams) {
        if (is_out_of_service(context.documents, known.zone, id)) {
            known.warm = false;
        }
        maintain_upstream(context, known);
    }
    publish_declared_conditions(context);
}

void handle_message(slots_context& context, const peer_message_received& received) {
    const instance_id& from = received.from;
    std::visit(
        overloaded{
            [&](const cold_notice& message) { handle_cold_notice(context, message); },
            [&](const report_notice& message) { handle_report_notice(context, from, message); },
            [&](const slot_request& message) { handle_slot_request(context, from, message); },
            [&](const slot_release& message) { handle_slot_release(context, message); },
            [&](const holdings_request& message) {
                handle_holdings_request(context, from, message);
            },
            [&](const holdings_reply& message) { handle_holdings_reply(context, from, message); },
            [&](const cancel_notice& message) { handle_cancel(context, message); },
            [](const auto&) {},
        },
        received.message);
}

}  // namespace

upstream_state* find_upstream(slots_state& state, const upstream_id& id) {
    const auto found = state.upstreams.find(id);
    return found == state.upstreams.end() ? nullptr : &found->second;
}

const std::optional<member>& owner_of_upstream(const roster_state& roster,
                                               upstream_state& upstream) {
    const generation_number newest = generation(roster);
    if (!upstream.owner || upstream.owner_generation != newest) {
        upstream.owner = owner_of(roster, ownership_key(upstream.id));
        upstream.owner_generation = newest;
    }
    return upstream.owner;
}

slot_ledger* refresh_ledger(slots_context& context, upstream_state& upstream) {
    const auto& owner = owner_of_upstream(context.roster, upstream);
    if (!owner || owner->id != context.env.self.id) {
        context.state.ledgers.erase(upstream.id);
        return nullptr;
    }
    slot_ledger& ledger = context.state.ledgers[upstream.id];
    const instant since = ledger.ownership.since;
    const bool was_owner = ledger.ownership.last_generation != 0;
    renew_tenure(ledger.ownership, context.roster, ownership_key(upstream.id), context.now);
    if (was_owner && ledger.ownership.since != since) {
        const tenure renewed = ledger.ownership;
        ledger = slot_ledger{};
        ledger.ownership = renewed;
    }
    return &ledger;
}

bool may_act_as_owner_of(const slots_context& context, const upstream_id& upstream) {
    return may_act_as_owner(context.roster, context.env, ownership_key(upstream), context.now);
}

}  // namespace detail

slots_state make_slots() {
    return {};
}

void reduce_slots(slots_state& state, const environment& env, const roster_state& roster,
                  const documents_state& documents, const event& happened, instant now,
                  effects& out) {
    detail::slots_context context{state, env, roster, documents, now, out};
    std::visit(overloaded{
                   [&](const tick&) { detail::handle_tick(context); },
                   [&](const instances_listed& list) { detail::handle_list(context, list); },
                   [&](const upstream_polled& polled) { detail::handle_poll(context, polled); },
                   [&](const attempt_ended& ended) { detail::handle_attempt_end(context, ended); },
                   [&](const peer_message_received& received) {
                       detail::handle_message(context, received);
                   },
                   [](const auto&) {},
               },
               happened);
}

bool needs_slot(const upstream_state& upstream, const environment& env, instant now) {
    if (!upstream.warm) {
        return true;
    }
    const milliseconds max_staleness = env.timing.max_staleness;
    if (now - upstream.warm_declared_at <= max_staleness) {
        return false;
    }
    const bool declared_recently =
        now - upstream.warm_declared_at <= detail::warm_staleness_factor * max_staleness;
    return !(declared_recently && now - upstream.warm_response_at <= max_staleness);
}

bool request_slot(const slots_state& state, const environment& /*env*/, const roster_state& roster,
                  slot_request request, effects& out) {
    if (!state.upstreams.contains(request.upstream)) {
        return false;
    }
    const auto owner = owner_of(roster, ownership_key(request.upstream));
    if (!owner) {
        return false;
    }
    out.emplace_back(send_to_peer{*owner, std::move(request)});
    return true;
}

void release_slot(const slots_state& /*state*/, const roster_state& roster,
                  const upstream_id& upstream, const attempt_id& slot, effects& out) {
    const auto owner = owner_of(roster, ownership_key(upstream));
    if (owner) {
        out.emplace_back(send_to_peer{*owner, slot_release{upstream, slot}});
    }
}

bool is_leaving(const upstream_state& upstream) {
    return upstream.listed_leaving || upstream.report.condition == upstream_condition::leaving;
}

void record_attempt(slots_state& state, attempt_id attempt, running_attempt value) {
    upstream_state* known = detail::find_upstream(state, value.upstream);
    if (known != nullptr) {
        value.incarnation = known->report.incarnation;
        ++known->running;
    }
    state.running[std::move(attempt)] = std::move(value);
}

std::string ownership_key(const upstream_id& upstream) {
    return "upstream/" + upstream.value;
}

}  // namespace cyclamenmount
