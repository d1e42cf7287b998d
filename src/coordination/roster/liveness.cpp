//! Liveness of peers: pings, pongs and the platform's instance list.
#include "coordination/roster/internal/liveness.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

constexpr milliseconds peer_expiry{60000};  // a non-member is removed this long after its last ping
// A member that was never in the instance list counts as ended after this time without being
// listed. A member that was listed before counts as ended with the first list that lacks it.
constexpr milliseconds absence_timeout{10000};
constexpr std::size_t max_pings_in_flight = 64;  // the oldest is dropped first

known_versions own_versions(const roster_state& state) {
    known_versions versions;
    versions.generation = state.newest.generation;
    versions.settled = state.newest.settled;
    return versions;
}

bool is_older(const known_versions& theirs, const roster& ours) {
    if (theirs.generation != ours.generation) {
        return theirs.generation < ours.generation;
    }
    return ours.settled && !theirs.settled;
}

//! Sends the newest roster to a peer that reported an older one.
void send_roster_if_older(const roster_state& state, const member& peer,
                          const known_versions& theirs, effects& out) {
    if (!peer.address.empty() && is_older(theirs, state.newest)) {
        out.emplace_back(send_to_peer{peer, roster_notice{state.newest, state.newest_version}});
    }
}

void add_peer(std::vector<member>& peers, const roster_state& state, const member& peer) {
    const bool known = std::ranges::any_of(
        peers, [&](const member& entry) { return entry.address == peer.address; });
    if (!peer.address.empty() && peer.address != state.self.address && !known) {
        peers.push_back(peer);
    }
}

//! True if another process answers at the address of `peer`, by pings sent after the newest roster
//! was received.
bool is_replaced(const roster_state& state, const environment& env, const member& peer,
                 instant now) {
    return std::ranges::any_of(state.peers, [&](const auto& entry) {
        const peer_record& other = entry.second;
        return other.identity.address == peer.address && entry.first != peer.id &&
               other.has_answered && other.last_answered_ping_at > state.adopted_at &&
               now - other.last_answered_ping_at < env.timing.suspect_after;
    });
}

bool is_absent_from_list(const roster_state& state, const instance_id& id) {
    const auto found = state.listings.find(id);
    if (found == state.listings.end() || !found->second.absent_since) {
        return false;
    }
    const listing& entry = found->second;
    return entry.was_listed || entry.checked_at - *entry.absent_since >= absence_timeout;
}

void update_listing(roster_state& state, const member& peer, bool is_listed, instant now) {
    listing& entry = state.listings[peer.id];
    entry.checked_at = now;
    if (is_listed) {
        entry.was_listed = true;
        entry.absent_since.reset();
    } else if (!entry.absent_since) {
        entry.absent_since = now;
    }
}

bool lists_member(std::span<const listed_instance> list, const member& peer) {
    return std::ranges::any_of(list, [&](const listed_instance& entry) {
        return entry.id == peer.id.value || entry.address == peer.address;
    });
}

}  // namespace

bool has_ended(const roster_state& state, const environment& env, const member& peer, instant now) {
    if (peer.id == state.self.id) {
        return false;
    }
    if (peer.address == state.self.address) {
        return true;
    }
    if (detail::is_responsive(state, peer.id, env.timing.suspect_after, now)) {
        return false;
    }
    return is_replaced(state, env, peer, now) || is_absent_from_list(state, peer.id);
}

namespace detail {

bool is_responsive(const roster_state& state, const instance_id& id, milliseconds within,
                   instant now) {
    if (id == state.self.id) {
        return true;
    }
    const auto found = state.peers.find(id);
    return found != state.peers.end() && found->second.has_answered &&
           now - found->second.last_answered_ping_at < within;
}

bool is_suspected(const roster_state& state, const environment& env, const instance_id& id,
                  instant now) {
    instant since = std::max(state.adopted_at, state.resumed_at);
    const auto found = state.peers.find(id);
    if (found != state.peers.end() && found->second.has_answered) {
        since = std::max(state.resumed_at, found->second.last_answered_ping_at);
    }
    return id != state.self.id && now - since >= env.timing.suspect_after;
}

bool contains(std::span<const member> members, const instance_id& id) {
    return std::ranges::any_of(members, [&](const member& entry) { return entry.id == id; });
}

bool is_majority(std::size_t count, std::span<const member> members) {
    return count * 2 > members.size();
}

bool is_listed(const roster_state& state, const member& peer) {
    return std::ranges::any_of(state.listed, [&](const listed_instance& entry) {
        return !entry.leaving && (entry.id == peer.id.value || entry.address == peer.address);
    });
}

std::vector<member> known_peers(const roster_state& state, const environment& env, instant now) {
    std::vector<member> peers;
    for (const auto& entry : state.newest.members) {
        add_peer(peers, state, entry);
    }
    if (!state.newest.settled) {
        for (const auto& entry : state.previous.members) {
            add_peer(peers, state, entry);
        }
    }
    for (const auto& [id, peer] : state.peers) {
        if (now - peer.last_ping_at < env.timing.suspect_after) {
            add_peer(peers, state, peer.identity);
        }
    }
    for (const auto& entry : state.listed) {
        add_peer(peers, state, {{}, entry.address, entry.zone});
    }
    // Another process may have taken over the address of an unresponsive peer, so the ping must not
    // be bound to the old instance id.
    for (auto& entry : peers) {
        if (!is_responsive(state, entry.id, env.timing.suspect_after, now)) {
            entry.id = {};
        }
    }
    return peers;
}

void send_heartbeat(roster_state& state, const environment& env, instant now, effects& out) {
    ping message;
    message.from = state.self;
    message.sequence = ++state.sequence;
    message.versions = own_versions(state);
    message.leaving = state.leaving;
    state.pings_in_flight.push_back({message.sequence, now});
    for (const auto& peer : known_peers(state, env, now)) {
        out.emplace_back(send_to_peer{peer, message});
    }
    state.next_heartbeat = now + env.timing.heartbeat;
}

void on_ping(roster_state& state, const instance_id& from, const ping& message, instant now,
             effects& out) {
    if (message.from.id != from || from == state.self.id) {
        return;
    }
    peer_record& peer = state.peers[from];
    peer.identity = message.from;
    peer.last_ping_at = now;
    peer.leaving = message.leaving;
    out.emplace_back(send_to_peer{message.from, pong{message.sequence, own_versions(state)}});
    send_roster_if_older(state, message.from, message.versions, out);
}

void on_pong(roster_state& state, const instance_id& from, const pong& message, instant now,
             effects& out) {
    const auto sent =
        std::ranges::find(state.pings_in_flight, message.sequence, &sent_ping::sequence);
    if (sent == state.pings_in_flight.end() || from == state.self.id) {
        return;
    }
    peer_record& peer = state.peers[from];
    if (peer.identity.id.empty()) {
        peer.identity = find_member(state, from).value_or(member{from, {}, {}});
        peer.last_ping_at = now;
    }
    const instant sent_at = state.rules.date_by_send_time ? sent->at : now;
    if (!peer.has_answered || sent_at > peer.last_answered_ping_at) {
        peer.last_answered_ping_at = sent_at;
    }
    if (!peer.has_answered || message.versions.generation >= peer.versions.generation) {
        peer.versions = message.versions;
    }
    peer.has_answered = true;
    send_roster_if_older(state, peer.identity, message.versions, out);
}

void on_listed(roster_state& state, const instances_listed& list, instant now) {
    state.list_requested_at.reset();
    if (list.status != store_status::ok) {
        return;
    }
    state.has_instance_list = true;
    state.listed.clear();
    std::ranges::copy_if(list.instances, std::back_inserter(state.listed),
                         [](const listed_instance& entry) { return entry.role == "entry"; });
    for (const auto& entry : state.newest.members) {
        update_listing(state, entry, lists_member(state.listed, entry), now);
    }
    for (const auto& entry : state.previous.members) {
        update_listing(state, entry, lists_member(state.listed, entry), now);
    }
}

void prune(roster_state& state, const environment& env, instant now) {
    std::erase_if(state.pings_in_flight, [&](const sent_ping& entry) {
        return now - entry.at > env.timing.suspect_after + env.timing.owner_lease;
    });
    if (state.pings_in_flight.size() > max_pings_in_flight) {
        state.pings_in_flight.erase(state.pings_in_flight.begin());
    }
    std::erase_if(state.peers, [&](const auto& entry) {
        return now - entry.second.last_ping_at > peer_expiry &&
               !contains(state.newest.members, entry.first) &&
               !contains(state.previous.members, entry.first);
    });
    std::erase_if(state.listings, [&](const auto& entry) {
        return !contains(state.newest.members, entry.first) &&
               !contains(state.previous.members, entry.first);
    });
}

}  // namespace detail

}  // namespace cyclamenmount
