//! Changes of the roster: reading, bootstrapping, proposing and settling generations.
#include "coordination/roster/internal/membership.h"

#include "coordination/roster/internal/liveness.h"
#include "coordination/roster/internal/roster_object.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

constexpr milliseconds read_period{2000};  // between reads while something is unclear
constexpr std::size_t max_members = 32;

void log(effects& out, severity level, std::string text) {
    out.emplace_back(log_line{level, part::roster, std::move(text)});
}

store_ticket start_call(roster_state& state, roster_call kind, const roster& value, instant now) {
    const store_ticket number{part::roster, state.next_ticket++};
    state.call_in_flight = pending_call{number, kind, now, value};
    return number;
}

void start_read(roster_state& state, const environment& env, instant now, effects& out) {
    const auto number = start_call(state, roster_call::read, {}, now);
    state.next_read = now + read_period;
    out.emplace_back(store_read{number, roster_key(env.cell)});
}

void start_write(roster_state& state, const environment& env, roster_call kind, roster value,
                 std::span<const member> previous, instant now, effects& out) {
    value.proposal = state.self.id.value + "-" + std::to_string(state.next_ticket);
    std::string text = write_roster(value, previous);
    const auto number = start_call(state, kind, value, now);
    state.next_write = now + env.timing.heartbeat;
    out.emplace_back(
        store_write{number, roster_key(env.cell), std::move(text), state.newest_version});
}

//! Tells everyone at once, so that nobody has to find out by its next ping.
void announce(const roster_state& state, const environment& env, instant now, effects& out) {
    for (const auto& peer : known_peers(state, env, now)) {
        out.emplace_back(send_to_peer{peer, roster_notice{state.newest, state.newest_version}});
    }
}

//! Position of this instance among those that could make the change as well. The first does it at
//! once, the others only if it hasn't.
std::size_t rank_among(const roster_state& state, std::span<const member> others,
                       std::string_view key) {
    const auto own = rendezvous_weight(state.self.id, key);
    const auto before = std::ranges::count_if(others, [&](const member& one) {
        return one.id != state.self.id && rendezvous_weight(one.id, key) > own;
    });
    return static_cast<std::size_t>(before);
}

//! Members that are there and stay, other than this instance.
std::vector<member> staying_members(const roster_state& state, const environment& env,
                                    instant now) {
    std::vector<member> staying;
    for (const auto& one : state.newest.members) {
        const auto found = state.heard.find(one.id);
        if (found != state.heard.end() && !found->second.leaving &&
            is_heard(state, one.id, env.timing.suspect_after, now)) {
            staying.push_back(one);
        }
    }
    return staying;
}

//! Peers that may be added: listed, answering and not leaving.
std::vector<member> joining_peers(const roster_state& state, const environment& env, instant now) {
    std::vector<member> joining;
    for (const auto& [id, peer] : state.heard) {
        if (!peer.leaving && !peer.who.address.empty() &&
            is_heard(state, id, env.timing.fence, now) && is_listed(state, peer.who) &&
            !contains(state.newest.members, id)) {
            joining.push_back(peer.who);
        }
    }
    return joining;
}

bool stays(const roster_state& state, const environment& env, const member& who, instant now) {
    if (who.id == state.self.id) {
        return !state.leaving;
    }
    const auto found = state.heard.find(who.id);
    const bool leaving = found != state.heard.end() && found->second.leaving;
    return !leaving && !has_ended(state, env, who, now) && !is_silent(state, env, who.id, now);
}

//! The members that the next generation should have, as this instance sees it.
std::vector<member> wanted_members(const roster_state& state, const environment& env, instant now) {
    std::vector<member> wanted;
    for (const auto& one : state.newest.members) {
        if (stays(state, env, one, now)) {
            wanted.push_back(one);
        }
    }
    auto joining = joining_peers(state, env, now);
    if (!state.leaving && !contains(state.newest.members, state.self.id)) {
        joining.push_back(state.self);
    }
    for (const auto& one : joining) {
        if (wanted.size() < max_members) {
            wanted.push_back(one);
        }
    }
    std::ranges::sort(wanted, {}, &member::id);
    return wanted;
}

//! True if a majority of the present members is there to acknowledge, or has ended.
bool can_reach_majority(const roster_state& state, const environment& env, instant now) {
    const auto count = std::ranges::count_if(state.newest.members, [&](const member& one) {
        return is_heard(state, one.id, env.timing.fence, now) || has_ended(state, env, one, now);
    });
    return is_majority(static_cast<std::size_t>(count), state.newest.members);
}

//! Delay of this instance's turn to change the roster; none if it is not its business.
std::optional<milliseconds> turn(const roster_state& state, const environment& env,
                                 std::string_view purpose, instant now) {
    const auto others = staying_members(state, env, now);
    const bool member_stays = !state.leaving && contains(state.newest.members, state.self.id);
    if (!member_stays && !others.empty()) {
        return std::nullopt;
    }
    const std::string key = std::string(purpose) + std::to_string(state.newest.generation);
    const auto rank =
        rank_among(state, member_stays ? others : joining_peers(state, env, now), key);
    return env.timing.heartbeat * static_cast<int>(rank);
}

void propose(roster_state& state, const environment& env, instant now, effects& out) {
    roster next;
    next.generation = state.newest.generation + 1;
    next.members = wanted_members(state, env, now);
    if (next.members.empty() || next.members == state.newest.members) {
        state.change_wanted_at.reset();
        return;
    }
    if (!state.change_wanted_at) {
        state.change_wanted_at = now;
    }
    const auto delay = turn(state, env, "propose/", now);
    // Waiting for a heartbeat lets several starts share one generation.
    if (!delay || now < *state.change_wanted_at + env.timing.heartbeat + *delay ||
        now < state.next_write || !can_reach_majority(state, env, now)) {
        return;
    }
    log(out, severity::info,
        "Proposing generation " + std::to_string(next.generation) + " of " +
            std::to_string(next.members.size()) + " members");
    start_write(state, env, roster_call::propose, next, state.newest.members, now, out);
}

//! True if the member itself has named the newest generation.
bool has_acknowledged(const roster_state& state, const instance_id& id) {
    const auto found = state.heard.find(id);
    return id == state.self.id || (found != state.heard.end() && found->second.answered &&
                                   found->second.versions.generation >= state.newest.generation);
}

//! True if every former member has named the newest generation: no home of the previous one is
//! left that doesn't know it, and nothing has to be waited out. One that only counts as ended is
//! waited for, since a wrong list must not be enough to give a key two homes.
bool have_all_acknowledged(const roster_state& state) {
    return std::ranges::all_of(state.previous.members,
                               [&](const member& one) { return has_acknowledged(state, one.id); });
}

void count_acknowledgements(roster_state& state, const environment& env, instant now) {
    const auto count = std::ranges::count_if(state.previous.members, [&](const member& one) {
        return has_acknowledged(state, one.id) || has_ended(state, env, one, now);
    });
    if (!is_majority(static_cast<std::size_t>(count), state.previous.members)) {
        state.majority_acknowledged_at.reset();
    } else if (!state.majority_acknowledged_at) {
        state.majority_acknowledged_at = now;
    }
}

//! Settles the newest generation once homes of the previous one can't act any more.
void settle(roster_state& state, const environment& env, instant now, effects& out) {
    if (!knows_previous(state)) {
        return;
    }
    count_acknowledgements(state, env, now);
    const auto delay = turn(state, env, "settle/", now);
    if (!state.majority_acknowledged_at || !delay || now < state.next_write) {
        return;
    }
    const bool waits = state.rules.wait_for_fence && !have_all_acknowledged(state);
    const milliseconds fence = waits ? env.timing.fence + env.timing.fence_margin : 0ms;
    if (now < *state.majority_acknowledged_at + fence + *delay) {
        return;
    }
    roster settled = state.newest;
    settled.settled = true;
    start_write(state, env, roster_call::settle, settled, state.previous.members, now, out);
}

//! Writes the first generation, which is settled at once: there is no earlier home.
void bootstrap(roster_state& state, const environment& env, instant now, effects& out) {
    if (!state.listed_once || state.leaving) {
        return;
    }
    roster first;
    first.generation = 1;
    first.settled = true;
    first.members = wanted_members(state, env, now);
    const auto rank = rank_among(state, first.members, "bootstrap");
    const auto delay = env.timing.heartbeat * static_cast<int>(2 + rank);
    if (now < state.started_at + delay || now < state.next_write) {
        return;
    }
    log(out, severity::info,
        "Starting the roster with " + std::to_string(first.members.size()) + " members");
    start_write(state, env, roster_call::propose, first, {}, now, out);
}

//! True while the store may know more than the peers have told.
bool needs_read(const roster_state& state, const environment& env, instant now) {
    if (state.newest.generation == 0 || state.leaving) {
        return true;
    }
    if (!state.newest.settled) {
        const bool late = now - state.adopted_at > 2 * (env.timing.fence + env.timing.fence_margin);
        return late || !knows_previous(state);
    }
    return !contains(state.newest.members, state.self.id) ||
           !hears_majority(state, env.timing.fence, now);
}

void on_read(roster_state& state, const environment& env, const store_replied& reply, instant now,
             effects& out) {
    if (reply.status != store_status::ok && reply.status != store_status::missing) {
        return;
    }
    state.read_wanted = false;
    if (reply.status == store_status::missing) {
        state.object_missing = true;
        return;
    }
    state.object_missing = false;
    const auto object = parse_roster(reply.object.value);
    if (!object) {
        log(out, severity::error, "The roster object can't be read: " + object.error().message);
        return;
    }
    const roster& value = object.value().value;
    adopt(state, env, value, reply.object.version, now, out);
    if (value.generation == state.newest.generation && !knows_previous(state)) {
        state.previous = {value.generation - 1, true, object.value().previous, {}};
    }
}

void on_written(roster_state& state, const environment& env, const pending_call& call,
                const store_replied& reply, instant now, effects& out) {
    if (reply.status == store_status::ok) {
        adopt(state, env, call.value, reply.object.version, now, out);
        announce(state, env, now, out);
        return;
    }
    if (reply.status != store_status::refused) {
        // Lost the race, or the answer was lost: the object says which generation there is.
        state.read_wanted = true;
        state.next_read = now;
    }
}

void note_store(roster_state& state, store_status status, instant now) {
    if (status != store_status::unknown) {
        state.store_failing_since.reset();
    } else if (!state.store_failing_since) {
        state.store_failing_since = now;
    }
}

void give_up_overdue_call(roster_state& state, const environment& env, instant now) {
    if (state.call_in_flight && now - state.call_in_flight->since > 2 * env.timing.store_timeout) {
        note_store(state, store_status::unknown, now);
        state.call_in_flight.reset();
        state.read_wanted = true;
        state.next_read = now;
    }
}

//! Bootstraps, settles or proposes, whatever is due.
void advance_generation(roster_state& state, const environment& env, instant now, effects& out) {
    if (state.newest.generation == 0) {
        if (state.object_missing) {
            bootstrap(state, env, now, out);
        }
        return;
    }
    if (!state.newest.settled) {
        settle(state, env, now, out);
    }
    const bool may_propose = state.newest.settled || !state.rules.settle_before_next;
    if (may_propose && !state.call_in_flight) {
        propose(state, env, now, out);
    }
}

}  // namespace

bool knows_previous(const roster_state& state) {
    return state.previous.generation != 0 &&
           state.previous.generation + 1 == state.newest.generation;
}

void adopt(roster_state& state, const environment& env, const roster& value, object_version version,
           instant now, effects& out) {
    if (value.generation < state.newest.generation) {
        return;
    }
    if (value.generation > state.newest.generation) {
        const bool next = value.generation == state.newest.generation + 1;
        state.previous = next ? state.newest : roster{};
        state.newest = value;
        state.newest_version = version;
        state.adopted_at = now;
        state.majority_acknowledged_at.reset();
        state.change_wanted_at.reset();
        state.next_heartbeat = std::min(state.next_heartbeat, now + env.timing.tick);
        log(out, severity::info, "Generation " + std::to_string(value.generation) + " is known");
    }
    if (value.settled && !state.newest.settled) {
        state.newest = value;
        log(out, severity::info, "Generation " + std::to_string(value.generation) + " has settled");
    }
    state.newest_version = std::max(state.newest_version, version);
}

void on_store_replied(roster_state& state, const environment& env, const store_replied& reply,
                      instant now, effects& out) {
    if (!state.call_in_flight || state.call_in_flight->number != reply.number) {
        return;
    }
    const pending_call call = *state.call_in_flight;
    state.call_in_flight.reset();
    note_store(state, reply.status, now);
    if (call.kind == roster_call::read) {
        on_read(state, env, reply, now, out);
    } else {
        on_written(state, env, call, reply, now, out);
    }
}

void advance_membership(roster_state& state, const environment& env, instant now, effects& out) {
    give_up_overdue_call(state, env, now);
    if (!state.call_in_flight) {
        advance_generation(state, env, now, out);
    }
    const bool wanted = state.read_wanted || needs_read(state, env, now);
    if (!state.call_in_flight && now >= state.next_read && wanted) {
        start_read(state, env, now, out);
    }
}

}  // namespace cyclamenmount::detail
