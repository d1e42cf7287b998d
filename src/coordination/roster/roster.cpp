//! Ownership of keys: which member owns a key, and whether its owner lease is valid.
#include "coordination/roster/roster.h"

#include "coordination/roster/internal/liveness.h"
#include "coordination/roster/internal/membership.h"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenmount {

namespace {

constexpr milliseconds degraded_leave_timeout{4000};  // without store or successor
constexpr milliseconds leave_timeout{20000};          // limit in all cases

//! Owner of the key among `members`, which must not be empty.
const member& owner_among(std::span<const member> members, std::string_view key) {
    return *std::ranges::max_element(members, {}, [&](const member& entry) {
        return std::pair(rendezvous_weight(entry.id, key), entry.id);
    });
}

bool is_owner(const roster& generation, const instance_id& id, std::string_view key) {
    return !generation.members.empty() && owner_among(generation.members, key).id == id;
}

//! True if the instance answered a ping sent within the last `within` and its last pong reported no
//! newer generation.
bool confirms_generation(const roster_state& state, const instance_id& id, milliseconds within,
                         instant now) {
    if (!detail::is_responsive(state, id, within, now)) {
        return false;
    }
    const auto found = state.peers.find(id);
    return found == state.peers.end() ||
           found->second.versions.generation <= state.newest.generation;
}

}  // namespace

std::uint64_t rendezvous_weight(const instance_id& id, std::string_view key) {
    const std::uint64_t seed = XXH3_64bits(id.value.data(), id.value.size());
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

roster_state make_roster(const environment& env, instant now) {
    roster_state state;
    state.self = env.self;
    state.adopted_at = now;
    state.next_heartbeat = now;
    state.next_list_read = now;
    state.next_read = now;
    state.next_write = now;
    state.started_at = now;
    state.last_tick = now;
    state.resumed_at = now;
    return state;
}

roster_state make_settled_roster(const environment& env, std::span<const member> members,
                                 generation_number generation, instant now) {
    roster_state state = make_roster(env, now);
    state.newest.generation = generation;
    state.newest.settled = true;
    state.newest.members.assign(members.begin(), members.end());
    std::ranges::sort(state.newest.members, {}, &member::id);
    state.newest_version = generation;
    for (const auto& entry : members) {
        if (entry.id != env.self.id) {
            peer_record peer;
            peer.identity = entry;
            peer.has_answered = true;
            peer.last_answered_ping_at = now;
            peer.last_ping_at = now;
            peer.versions.generation = generation;
            peer.versions.settled = true;
            state.peers[entry.id] = peer;
        }
    }
    return state;
}

std::span<const member> members(const roster_state& state) {
    return state.newest.members;
}

generation_number generation(const roster_state& state) {
    return state.newest.generation;
}

std::optional<member> find_member(const roster_state& state, const instance_id& id) {
    for (const roster* candidate : {&state.newest, &state.previous}) {
        const auto found = std::ranges::find(candidate->members, id, &member::id);
        if (found != candidate->members.end()) {
            return *found;
        }
    }
    const auto found = state.peers.find(id);
    if (found != state.peers.end() && !found->second.identity.address.empty()) {
        return found->second.identity;
    }
    return std::nullopt;
}

std::optional<member> owner_of(const roster_state& state, std::string_view key) {
    if (state.newest.members.empty()) {
        return std::nullopt;
    }
    return owner_among(state.newest.members, key);
}

std::optional<member> ranked_owner(const roster_state& state, std::string_view key,
                                   std::size_t rank) {
    if (rank >= state.newest.members.size()) {
        return std::nullopt;
    }
    std::vector<std::pair<std::uint64_t, const member*>> weights;
    for (const auto& entry : state.newest.members) {
        weights.emplace_back(rendezvous_weight(entry.id, key), &entry);
    }
    std::ranges::sort(weights, [](const auto& left, const auto& right) {
        return std::pair(left.first, left.second->id) > std::pair(right.first, right.second->id);
    });
    return *weights[rank].second;
}

// Why no two instances act for the same key at the same time. Let g be settled, g+1 the next
// generation, and `lease` the owner lease time.
//
// - An owner in g acts at time t only if a majority of g's members answered pings that were sent
//   after t - lease, and reported no generation above g. g+1 settles only after a majority of g's
//   members had acknowledged it by some time A, and the lease plus its margin have passed since A.
//   The two majorities share a member. It answered the owner before it acknowledged g+1, so the
//   ping was sent before A and t < A + lease. Owners in g that receive g+1 stop at once for keys
//   that move. Therefore g+1 may settle without the wait once all of g's members have acknowledged
//   it.
// - While g+1 isn't settled, an instance acts for a key only if it is the owner in both g and g+1.
//   Any other actor would be an owner in g-1 or older, whose leases had expired before g settled
//   and so before g+1 could be proposed; or in g+2 or newer, which isn't proposed before g+1 has
//   settled and settles only after a majority of g+1's members has acknowledged it. For this reason
//   the quorum is a majority of the newest generation, and a generation is proposed only after the
//   one before it has settled.
// - Each generation has exactly one set of members: all are written by conditional update to one
//   object, and an instance adopts a generation only after it is known to be in the store.
bool may_act_as_owner(const roster_state& state, const environment& env, std::string_view key,
                      instant now) {
    if (!is_owner(state.newest, state.self.id, key)) {
        return false;
    }
    if (!state.newest.settled) {
        const bool was_owner =
            detail::has_previous(state) && is_owner(state.previous, state.self.id, key);
        if (!was_owner) {
            return false;
        }
    }
    return has_quorum(state, env.timing.owner_lease, now);
}

bool has_quorum(const roster_state& state, milliseconds within, instant now) {
    const auto count = std::ranges::count_if(state.newest.members, [&](const member& entry) {
        return confirms_generation(state, entry.id, within, now);
    });
    return detail::is_majority(static_cast<std::size_t>(count), state.newest.members);
}

bool is_member(const roster_state& state) {
    const bool in_newest = detail::contains(state.newest.members, state.self.id);
    if (state.newest.settled) {
        return in_newest;
    }
    const bool in_previous =
        detail::has_previous(state) && detail::contains(state.previous.members, state.self.id);
    return in_newest && in_previous;
}

bool is_reachable(const roster_state& state, const instance_id& id, milliseconds within,
                  instant now) {
    return detail::is_responsive(state, id, within, now);
}

void renew_tenure(tenure& ownership, const roster_state& state, std::string_view key, instant now) {
    const generation_number newest = state.newest.generation;
    if (!is_owner(state.newest, state.self.id, key)) {
        ownership = {};
        return;
    }
    const bool uninterrupted =
        ownership.last_generation != 0 && ownership.last_generation + 1 >= newest;
    if (!state.newest.settled) {
        if (!uninterrupted) {
            ownership = {};
        }
        return;
    }
    if (!uninterrupted) {
        ownership.since = now;
    }
    ownership.last_generation = newest;
}

bool may_exit(const roster_state& state, const environment& env, instant now) {
    if (!state.leaving) {
        return false;
    }
    const bool in_newest = detail::contains(state.newest.members, state.self.id);
    if (!in_newest && (state.newest.settled || state.newest.generation == 0)) {
        return true;
    }
    if (now - state.leaving_since >= leave_timeout) {
        return true;
    }
    const bool has_successor = std::ranges::any_of(state.peers, [&](const auto& entry) {
        return !entry.second.leaving &&
               detail::is_responsive(state, entry.first, env.timing.suspect_after, now);
    });
    if (!has_successor) {
        return now - state.leaving_since >= degraded_leave_timeout;
    }
    return state.store_failing_since && now - state.leaving_since >= degraded_leave_timeout &&
           now - *state.store_failing_since >= degraded_leave_timeout;
}

}  // namespace cyclamenmount
