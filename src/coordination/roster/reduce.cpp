//! The roster reducer: dispatches events to liveness and membership.
#include "coordination/roster/internal/liveness.h"
#include "coordination/roster/internal/membership.h"
#include "types/overloaded.h"
#include "types/store_limits.h"

namespace cyclamenmount {

namespace {

void on_message(roster_state& state, const environment& env, const peer_message_received& received,
                instant now, effects& out) {
    if (const auto* request = std::get_if<ping>(&received.message)) {
        detail::on_ping(state, received.from, *request, now, out);
    } else if (const auto* reply = std::get_if<pong>(&received.message)) {
        detail::on_pong(state, received.from, *reply, now, out);
    } else if (const auto* notice = std::get_if<roster_notice>(&received.message)) {
        detail::adopt(state, env, notice->value, notice->version, now, out);
    }
}

//! Detects a pause of this process by a late tick. Peers aren't suspected for pongs that are
//! missing because of the pause.
void detect_pause(roster_state& state, const environment& env, instant now) {
    if (now - state.last_tick > 2 * env.timing.heartbeat) {
        state.resumed_at = now;
    }
    state.last_tick = now;
}

//! Requests the instance list when it is due and no earlier request is in flight.
void request_list(roster_state& state, const environment& env, instant now, effects& out) {
    const bool overdue =
        state.list_requested_at &&
        now - *state.list_requested_at > 2 * env.timing.store_timeout + longest_store_response;
    if (now < state.next_list_read || (state.list_requested_at && !overdue)) {
        return;
    }
    state.list_requested_at = now;
    state.next_list_read = now + env.timing.list_period;
    out.emplace_back(list_instances{});
}

void on_tick(roster_state& state, const environment& env, instant now, effects& out) {
    detect_pause(state, env, now);
    detail::prune(state, env, now);
    request_list(state, env, now, out);
    if (now >= state.next_heartbeat) {
        detail::send_heartbeat(state, env, now, out);
    }
    detail::advance_membership(state, env, now, out);
}

void on_stop(roster_state& state, instant now) {
    if (!state.leaving) {
        state.leaving = true;
        state.leaving_since = now;
        state.next_heartbeat = now;
    }
}

}  // namespace

void reduce_roster(roster_state& state, const environment& env, const event& happened, instant now,
                   effects& out) {
    std::visit(overloaded{
                   [&](const tick&) { on_tick(state, env, now, out); },
                   [&](const peer_message_received& received) {
                       on_message(state, env, received, now, out);
                   },
                   [&](const store_replied& reply) {
                       detail::on_store_replied(state, env, reply, now, out);
                   },
                   [&](const instances_listed& list) { detail::on_listed(state, list, now); },
                   [&](const stop_wanted&) { on_stop(state, now); },
                   [](const auto&) {},
               },
               happened);
}

}  // namespace cyclamenmount
