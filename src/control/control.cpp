#include "control/control.h"

#include "types/overloaded.h"

#include <deque>

namespace cyclamenmount {

namespace {

//! Runs every component on one event, each after the components whose state it reads. The roster
//! reducer gets the stop event only when no request runs and the outcome of every at-most-once call
//! is confirmed.
effects reduce_components(control_state& state, const event& happened, instant now) {
    effects out;
    const auto& env = state.env;
    if (!std::holds_alternative<stop_wanted>(happened)) {
        reduce_roster(state.roster, env, happened, now, out);
    }
    reduce_documents(state.documents, env, state.roster, happened, now, out);
    reduce_slots(state.slots, env, state.roster, state.documents, happened, now, out);
    reduce_shares(state.shares, env, state.roster, state.documents, happened, now, out);
    reduce_quarantine(state.quarantine, env, state.roster, happened, now, out);
    reduce_at_most_once(state.at_most_once, env, state.roster, happened, now, out);
    reduce_registry(state.registry, env, state.roster, happened, now, out);
    reduce_dispatch(state.dispatch, env, state.roster, state.documents, state.slots,
                    state.quarantine, happened, now, out);
    reduce_admission(state.admission, env, state.roster, state.documents, state.shares,
                     state.quarantine, state.dispatch, happened, now, out);
    if (is_ready_to_leave(state.admission) && all_notices_confirmed(state.at_most_once)) {
        reduce_roster(state.roster, env, stop_wanted{}, now, out);
    }
    return out;
}

//! Sets the versions in outgoing pings and pongs. The roster reducer, which creates these messages,
//! sets only the generation and its settled flag.
void complete_versions(effect& emitted, const known_versions& versions) {
    auto* const outgoing = std::get_if<send_to_peer>(&emitted);
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
    if (auto* const request = std::get_if<ping>(&outgoing->message)) {
        complete(request->versions);
    } else if (auto* const reply = std::get_if<pong>(&outgoing->message)) {
        complete(reply->versions);
    }
}

bool is_local_message(const effect& emitted, const member& self) {
    const auto* const outgoing = std::get_if<send_to_peer>(&emitted);
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
    state.at_most_once = make_at_most_once();
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
        for (auto& emitted : reduce_components(state, next, now)) {
            if (is_local_message(emitted, state.env.self)) {
                auto& message = std::get<send_to_peer>(emitted).message;
                waiting.emplace_back(peer_message_received{state.env.self.id, std::move(message)});
            } else {
                out.push_back(std::move(emitted));
            }
        }
    }
    const auto versions = versions_of(state);
    for (auto& emitted : out) {
        complete_versions(emitted, versions);
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
