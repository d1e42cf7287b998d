#include "control/control.h"

#include "types/overloaded.h"

#include <deque>

namespace cyclamenmount {

namespace {

//! Runs every part on one event, in the order in which they read each other. The roster hears of a
//! stop only once nothing runs and every outcome of a call is confirmed.
effects reduce_parts(control_state& state, const event& happened, instant now) {
    effects out;
    const auto& env = state.env;
    if (!std::holds_alternative<stop_wanted>(happened)) {
        reduce_roster(state.roster, env, happened, now, out);
    }
    reduce_documents(state.documents, env, state.roster, happened, now, out);
    reduce_slots(state.slots, env, state.roster, state.documents, happened, now, out);
    reduce_shares(state.shares, env, state.roster, state.documents, happened, now, out);
    reduce_quarantine(state.quarantine, env, state.roster, happened, now, out);
    reduce_once(state.once, env, state.roster, happened, now, out);
    reduce_registry(state.registry, env, state.roster, happened, now, out);
    reduce_dispatch(state.dispatch, env, state.roster, state.documents, state.slots,
                    state.quarantine, happened, now, out);
    reduce_admission(state.admission, env, state.roster, state.documents, state.shares,
                     state.quarantine, state.dispatch, happened, now, out);
    if (wants_to_leave(state.admission) && is_settled(state.once)) {
        reduce_roster(state.roster, env, stop_wanted{}, now, out);
    }
    return out;
}

//! Fills in the versions that the roster part doesn't know.
void complete_versions(effect& wanted, const known_versions& versions) {
    auto* const outgoing = std::get_if<send_to_peer>(&wanted);
    if (outgoing == nullptr) {
        return;
    }
    const auto complete = [&versions](known_versions& target) {
        const auto generation = target.generation;
        const auto settled = target.settled;
        target = versions;
        target.generation = generation;
        target.settled = settled;
    };
    if (auto* const question = std::get_if<ping>(&outgoing->message)) {
        complete(question->versions);
    } else if (auto* const answer = std::get_if<pong>(&outgoing->message)) {
        complete(answer->versions);
    }
}

bool is_to_self(const effect& wanted, const member& self) {
    const auto* const outgoing = std::get_if<send_to_peer>(&wanted);
    return outgoing != nullptr && outgoing->to.id == self.id;
}

}  // namespace

control_state make_control(environment env, instant now) {
    control_state state;
    state.env = std::move(env);
    state.roster = make_roster(state.env, now);
    state.documents = make_documents(state.env, now);
    state.slots = make_slots();
    state.shares = make_shares();
    state.quarantine = make_quarantine();
    state.once = make_once();
    state.registry = make_registry();
    state.dispatch = make_dispatch(state.env);
    state.admission = make_admission();
    return state;
}

effects reduce(control_state& state, const event& happened, instant now) {
    effects out;
    std::deque<event> waiting{happened};
    while (!waiting.empty()) {
        const event next = std::move(waiting.front());
        waiting.pop_front();
        for (auto& wanted : reduce_parts(state, next, now)) {
            if (is_to_self(wanted, state.env.self)) {
                auto& message = std::get<send_to_peer>(wanted).message;
                waiting.emplace_back(peer_message_received{state.env.self.id, std::move(message)});
            } else {
                out.push_back(std::move(wanted));
            }
        }
    }
    const auto versions = versions_of(state);
    for (auto& wanted : out) {
        complete_versions(wanted, versions);
    }
    return out;
}

known_versions versions_of(const control_state& state) {
    known_versions versions;
    versions.generation = state.roster.newest.generation;
    versions.settled = state.roster.newest.settled;
    versions.plans = version_of(state.documents, document_names::plans);
    versions.allowances = version_of(state.documents, document_names::allowances);
    versions.availability = version_of(state.documents, document_names::availability);
    versions.emergency_digest = emergency_digest(state.documents);
    versions.quarantine_digest = quarantine_digest(state.quarantine);
    return versions;
}

}  // namespace cyclamenmount
