//! Changes of the roster: reading it, bootstrapping, proposing and settling generations.
#include "coordination/roster/internal/membership.h"

#include "coordination/roster/internal/liveness.h"
#include "coordination/roster/internal/roster_object.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

constexpr milliseconds read_period{2000};  // minimum time between reads of the roster object
constexpr std::size_t max_members = 32;    // maximum number of members in a generation

void log(effects& out, severity level, std::string text) {
    out.emplace_back(log_line{level, component::roster, std::move(text)});
}

store_ticket start_call(roster_state& state, roster_call kind, const roster& value, instant now) {
    const store_ticket number{component::roster, state.next_ticket++};
    state.call_in_flight = pending_store_call{number, kind, now, value};
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

//! Sends the roster to all peers immediately, without waiting for the next ping.
void announce(const roster_state& state, const environment& env, instant now, effects& out) {
    for (const auto& peer : known_peers(state, env, now)) {
        out.emplace_back(send_to_peer{peer, roster_notice{state.newest, state.newest_version}});
    }
}

//! Position of this instance among the candidates for the same change. The first candidate makes
//! the change at once; each later one makes it after a longer delay if it is still missing.
std::size_t rank_among(const roster_state& state, std::span<const member> others,
                       std::string_view key) {
    const auto own = rendezvous_weight(state.self.id, key);
    const auto before = std::ranges::count_if(others, [&](const member& entry) {
        return entry.id != state.self.id && rendezvous_weight(entry.id, key) > own;
    });
    return static_cast<std::size_t>(before);
}

//! Responsive members other than this instance that aren't leaving.
std::vector<member> staying_members(const roster_state& state, const environment& env,
                                    instant now) {
    std::vector<member> staying;
    for (const auto& entry : state.newest.members) {
        const auto found = state.peers.find(entry.id);
        if (found != state.peers.end() && !found->second.leaving &&
            is_responsive(state, entry.id, env.timing.suspect_after, now)) {
            staying.push_back(entry);
        }
    }
    return staying;
}

//! Non-members that may be added: listed, responsive and not leaving.
std::vector<member> joining_peers(const roster_state& state, const environment& env, instant now) {
    std::vector<member> joining;
    for (const auto& [id, peer] : state.peers) {
        if (!peer.leaving && !peer.identity.address.empty() &&
            is_responsive(state, id, env.timing.owner_lease, now) &&
            is_listed(state, peer.identity) && !contains(state.newest.members, id)) {
            joining.push_back(peer.identity);
        }
    }
    return joining;
}

//! True if the member belongs in the next generation: neither leaving nor ended nor suspected.
bool should_stay(const roster_state& state, const environment& env, const member& peer,
                 instant now) {
    if (peer.id == state.self.id) {
        return !state.leaving;
    }
    const auto found = state.peers.find(peer.id);
    const bool leaving = found != state.peers.end() && found->second.leaving;
    return !leaving && !has_ended(state, env, peer, now) && !is_suspected(state, env, peer.id, now);
}

//! The members that the next generation should have, according to this instance's view.
std::vector<member> target_members(const roster_state& state, const environment& env, instant now) {
    std::vector<member> target;
    for (const auto& entry : state.newest.members) {
        if (should_stay(state, env, entry, now)) {
            target.push_back(entry);
        }
    }
    auto joining = joining_peers(state, env, now);
    if (!state.leaving && !contains(state.newest.members, state.self.id)) {
        joining.push_back(state.self);
    }
    for (const auto& entry : joining) {
        if (target.size() < max_members) {
            target.push_back(entry);
        }
    }
    std::ranges::sort(target, {}, &member::id);
    return target;
}

//! True if a majority of the current members either is responsive, and so can acknowledge a
//! proposal, or counts as ended.
bool can_reach_majority(const roster_state& state, const environment& env, instant now) {
    const auto count = std::ranges::count_if(state.newest.members, [&](const member& entry) {
        return is_responsive(state, entry.id, env.timing.owner_lease, now) ||
               has_ended(state, env, entry, now);
    });
    return is_majority(static_cast<std::size_t>(count), state.newest.members);
}

//! Delay before this instance may make a change, by its rank among the candidates; empty if it
//! isn't a candidate, because other members can make the change.
std::optional<milliseconds> turn_delay(const roster_state& state, const environment& env,
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

//! Proposes the next generation, by writing it to the store, if the members should change and this
//! instance's delay is over.
void propose(roster_state& state, const environment& env, instant now, effects& out) {
    roster next;
    next.generation = state.newest.generation + 1;
    next.members = target_members(state, env, now);
    if (next.members.empty() || next.members == state.newest.members) {
        state.change_pending_since.reset();
        return;
    }
    if (!state.change_pending_since) {
        state.change_pending_since = now;
    }
    const auto delay = turn_delay(state, env, "propose/", now);
    // The wait of one heartbeat lets instances that start together share one generation.
    if (!delay || now < *state.change_pending_since + env.timing.heartbeat + *delay ||
        now < state.next_write || !can_reach_majority(state, env, now)) {
        return;
    }
    log(out, severity::info,
        "Proposing generation " + std::to_string(next.generation) + " with " +
            std::to_string(next.members.size()) + " members");
    start_write(state, env, roster_call::propose, next, state.newest.members, now, out);
}

//! True for the local instance, and for a peer whose last pong reported the newest generation or a
//! later one.
bool has_acknowledged(const roster_state& state, const instance_id& id) {
    const auto found = state.peers.find(id);
    return id == state.self.id || (found != state.peers.end() && found->second.has_answered &&
                                   found->second.versions.generation >= state.newest.generation);
}

//! True if every member of the previous generation has reported the newest one. Then no owner of
//! the previous generation can still act without having received the newest, and the wait for the
//! owner leases can be skipped. A member that only counts as ended isn't enough, since a wrong
//! instance list must not give a key two owners.
bool have_all_acknowledged(const roster_state& state) {
    return std::ranges::all_of(state.previous.members, [&](const member& entry) {
        return has_acknowledged(state, entry.id);
    });
}

//! Records the time from which a majority of the previous generation's members has acknowledged the
//! newest generation or counts as ended.
void count_acknowledgements(roster_state& state, const environment& env, instant now) {
    const auto count = std::ranges::count_if(state.previous.members, [&](const member& entry) {
        return has_acknowledged(state, entry.id) || has_ended(state, env, entry, now);
    });
    if (!is_majority(static_cast<std::size_t>(count), state.previous.members)) {
        state.majority_acknowledged_at.reset();
    } else if (!state.majority_acknowledged_at) {
        state.majority_acknowledged_at = now;
    }
}

//! Settles (activates) the newest generation once owners of the previous one can no longer act.
void settle(roster_state& state, const environment& env, instant now, effects& out) {
    if (!has_previous(state)) {
        return;
    }
    count_acknowledgements(state, env, now);
    const auto delay = turn_delay(state, env, "settle/", now);
    if (!state.majority_acknowledged_at || !delay || now < state.next_write) {
        return;
    }
    const bool must_wait = state.rules.wait_for_lease && !have_all_acknowledged(state);
    const milliseconds lease_wait =
        must_wait ? env.timing.owner_lease + env.timing.lease_margin : 0ms;
    if (now < *state.majority_acknowledged_at + lease_wait + *delay) {
        return;
    }
    roster settled = state.newest;
    settled.settled = true;
    start_write(state, env, roster_call::settle, settled, state.previous.members, now, out);
}

//! Writes the first generation. It is settled from the start, since there are no earlier owners.
void bootstrap(roster_state& state, const environment& env, instant now, effects& out) {
    if (!state.has_instance_list || state.leaving) {
        return;
    }
    roster first;
    first.generation = 1;
    first.settled = true;
    first.members = target_members(state, env, now);
    const auto rank = rank_among(state, first.members, "bootstrap");
    const auto delay = env.timing.heartbeat * static_cast<int>(2 + rank);
    if (now < state.started_at + delay || now < state.next_write) {
        return;
    }
    log(out, severity::info,
        "Bootstrapping the roster with " + std::to_string(first.members.size()) + " members");
    start_write(state, env, roster_call::propose, first, {}, now, out);
}

//! True while the store may hold a newer roster than the peers have reported.
bool needs_read(const roster_state& state, const environment& env, instant now) {
    if (state.newest.generation == 0 || state.leaving) {
        return true;
    }
    if (!state.newest.settled) {
        const bool is_overdue =
            now - state.adopted_at > 2 * (env.timing.owner_lease + env.timing.lease_margin);
        return is_overdue || !has_previous(state);
    }
    return !contains(state.newest.members, state.self.id) ||
           !has_quorum(state, env.timing.owner_lease, now);
}

//! Takes over the roster object that was read, or records that it is missing.
void on_read(roster_state& state, const environment& env, const store_replied& reply, instant now,
             effects& out) {
    if (reply.status != store_status::ok && reply.status != store_status::missing) {
        return;
    }
    state.read_requested = false;
    if (reply.status == store_status::missing) {
        state.object_missing = true;
        return;
    }
    state.object_missing = false;
    const auto object = parse_roster(reply.object.value);
    if (!object) {
        log(out, severity::error,
            "Can't read the malformed roster object: " + object.error().message);
        return;
    }
    const roster& value = object.value().value;
    adopt(state, env, value, reply.object.version, now, out);
    if (value.generation == state.newest.generation && !has_previous(state)) {
        state.previous = {value.generation - 1, true, object.value().previous, {}};
    }
}

//! Adopts and announces the roster after a successful write. Requests a read of the roster object
//! after a conflict or an unknown result.
void on_written(roster_state& state, const environment& env, const pending_store_call& call,
                const store_replied& reply, instant now, effects& out) {
    if (reply.status == store_status::ok) {
        adopt(state, env, call.value, reply.object.version, now, out);
        announce(state, env, now, out);
        return;
    }
    if (reply.status != store_status::refused) {
        // The write conflicted or its reply was lost. Reading the object shows which generation is
        // in the store.
        state.read_requested = true;
        state.next_read = now;
    }
}

//! Records the start of a store outage. Only calls with an unknown result count as failures.
void update_store_health(roster_state& state, store_status status, instant now) {
    if (status != store_status::unknown) {
        state.store_failing_since.reset();
    } else if (!state.store_failing_since) {
        state.store_failing_since = now;
    }
}

//! Gives up a store call without a reply, and requests a read, since a write may have taken effect.
void abandon_overdue_call(roster_state& state, const environment& env, instant now) {
    if (state.call_in_flight &&
        now - state.call_in_flight->started_at > 2 * env.timing.store_timeout) {
        update_store_health(state, store_status::unknown, now);
        state.call_in_flight.reset();
        state.read_requested = true;
        state.next_read = now;
    }
}

//! Bootstraps, settles or proposes a generation, whichever is due.
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
    const bool may_propose = state.newest.settled || !state.rules.settle_before_proposing;
    if (may_propose && !state.call_in_flight) {
        propose(state, env, now, out);
    }
}

}  // namespace

bool has_previous(const roster_state& state) {
    return state.previous.generation != 0 &&
           state.previous.generation + 1 == state.newest.generation;
}

void adopt(roster_state& state, const environment& env, const roster& value, object_version version,
           instant now, effects& out) {
    if (value.generation < state.newest.generation) {
        return;
    }
    if (value.generation > state.newest.generation) {
        const bool is_successor = value.generation == state.newest.generation + 1;
        state.previous = is_successor ? state.newest : roster{};
        state.newest = value;
        state.newest_version = version;
        state.adopted_at = now;
        state.majority_acknowledged_at.reset();
        state.change_pending_since.reset();
        state.next_heartbeat = std::min(state.next_heartbeat, now + env.timing.tick);
        log(out, severity::info,
            "Generation " + std::to_string(value.generation) + " is now the newest known");
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
    const pending_store_call call = *state.call_in_flight;
    state.call_in_flight.reset();
    update_store_health(state, reply.status, now);
    if (call.kind == roster_call::read) {
        on_read(state, env, reply, now, out);
    } else {
        on_written(state, env, call, reply, now, out);
    }
}

void advance_membership(roster_state& state, const environment& env, instant now, effects& out) {
    abandon_overdue_call(state, env, now);
    if (!state.call_in_flight) {
        advance_generation(state, env, now, out);
    }
    const bool is_read_due = state.read_requested || needs_read(state, env, now);
    if (!state.call_in_flight && now >= state.next_read && is_read_due) {
        start_read(state, env, now, out);
    }
}

}  // namespace cyclamenmount::detail
