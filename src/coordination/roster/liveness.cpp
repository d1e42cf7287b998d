//! Who is there: pings, answers and the platform's list.
#include "coordination/roster/internal/liveness.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

constexpr milliseconds forget_after{60000};  // without a sign of a peer
constexpr milliseconds absent_after{10000};  // a member that no read showed for so long has ended
constexpr std::size_t max_pings_in_flight = 64;

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

//! Tells a peer the newest roster if it named an older one.
void inform_if_older(const roster_state& state, const member& peer, const known_versions& theirs,
                     effects& out) {
    if (!peer.address.empty() && is_older(theirs, state.newest)) {
        out.emplace_back(send_to_peer{peer, roster_notice{state.newest, state.newest_version}});
    }
}

void add_peer(std::vector<member>& peers, const roster_state& state, const member& who) {
    const bool known =
        std::ranges::any_of(peers, [&](const member& one) { return one.address == who.address; });
    if (!who.address.empty() && who.address != state.self.address && !known) {
        peers.push_back(who);
    }
}

//! True if another process answered at the address of `who` after `who` had been a member.
bool is_replaced(const roster_state& state, const environment& env, const member& who,
                 instant now) {
    return std::ranges::any_of(state.heard, [&](const auto& entry) {
        const heard_peer& other = entry.second;
        return other.who.address == who.address && entry.first != who.id && other.answered &&
               other.asked_at > state.adopted_at && now - other.asked_at < env.timing.suspect_after;
    });
}

bool is_dropped(const roster_state& state, const instance_id& id) {
    const auto found = state.listings.find(id);
    if (found == state.listings.end() || !found->second.absent_since) {
        return false;
    }
    const listing& seen = found->second;
    return seen.shown || seen.checked_at - *seen.absent_since >= absent_after;
}

void update_listing(roster_state& state, const member& who, bool shown, instant now) {
    listing& entry = state.listings[who.id];
    entry.checked_at = now;
    if (shown) {
        entry.shown = true;
        entry.absent_since.reset();
    } else if (!entry.absent_since) {
        entry.absent_since = now;
    }
}

bool shows(std::span<const listed_instance> list, const member& who) {
    return std::ranges::any_of(list, [&](const listed_instance& one) {
        return one.id == who.id.value || one.address == who.address;
    });
}

}  // namespace

bool has_ended(const roster_state& state, const environment& env, const member& who, instant now) {
    if (who.id == state.self.id) {
        return false;
    }
    if (who.address == state.self.address) {
        return true;
    }
    if (detail::is_heard(state, who.id, env.timing.suspect_after, now)) {
        return false;
    }
    return is_replaced(state, env, who, now) || is_dropped(state, who.id);
}

namespace detail {

bool is_heard(const roster_state& state, const instance_id& id, milliseconds within, instant now) {
    if (id == state.self.id) {
        return true;
    }
    const auto found = state.heard.find(id);
    return found != state.heard.end() && found->second.answered &&
           now - found->second.asked_at < within;
}

bool is_silent(const roster_state& state, const environment& env, const instance_id& id,
               instant now) {
    instant since = std::max(state.adopted_at, state.awake_since);
    const auto found = state.heard.find(id);
    if (found != state.heard.end() && found->second.answered) {
        since = std::max(state.awake_since, found->second.asked_at);
    }
    return id != state.self.id && now - since >= env.timing.suspect_after;
}

bool contains(std::span<const member> members, const instance_id& id) {
    return std::ranges::any_of(members, [&](const member& one) { return one.id == id; });
}

bool is_majority(std::size_t count, std::span<const member> members) {
    return count * 2 > members.size();
}

bool is_listed(const roster_state& state, const member& who) {
    return std::ranges::any_of(state.listed, [&](const listed_instance& one) {
        return !one.leaving && (one.id == who.id.value || one.address == who.address);
    });
}

std::vector<member> known_peers(const roster_state& state, const environment& env, instant now) {
    std::vector<member> peers;
    for (const auto& one : state.newest.members) {
        add_peer(peers, state, one);
    }
    if (!state.newest.settled) {
        for (const auto& one : state.previous.members) {
            add_peer(peers, state, one);
        }
    }
    for (const auto& [id, peer] : state.heard) {
        if (now - peer.pinged_at < env.timing.suspect_after) {
            add_peer(peers, state, peer.who);
        }
    }
    for (const auto& one : state.listed) {
        add_peer(peers, state, {{}, one.address, one.zone});
    }
    // Whoever listens at the address of a silent peer may be another process by now.
    for (auto& one : peers) {
        if (!is_heard(state, one.id, env.timing.suspect_after, now)) {
            one.id = {};
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
    heard_peer& peer = state.heard[from];
    peer.who = message.from;
    peer.pinged_at = now;
    peer.leaving = message.leaving;
    out.emplace_back(send_to_peer{message.from, pong{message.sequence, own_versions(state)}});
    inform_if_older(state, message.from, message.versions, out);
}

void on_pong(roster_state& state, const instance_id& from, const pong& message, instant now,
             effects& out) {
    const auto asked =
        std::ranges::find(state.pings_in_flight, message.sequence, &sent_ping::sequence);
    if (asked == state.pings_in_flight.end() || from == state.self.id) {
        return;
    }
    heard_peer& peer = state.heard[from];
    if (peer.who.id.empty()) {
        peer.who = find_member(state, from).value_or(member{from, {}, {}});
        peer.pinged_at = now;
    }
    const instant asked_at = state.rules.date_by_sending ? asked->at : now;
    if (!peer.answered || asked_at > peer.asked_at) {
        peer.asked_at = asked_at;
    }
    if (!peer.answered || message.versions.generation >= peer.versions.generation) {
        peer.versions = message.versions;
    }
    peer.answered = true;
    inform_if_older(state, peer.who, message.versions, out);
}

void on_listed(roster_state& state, const instances_listed& list, instant now) {
    state.list_in_flight.reset();
    if (list.status != store_status::ok) {
        return;
    }
    state.listed_once = true;
    state.listed.clear();
    std::ranges::copy_if(list.instances, std::back_inserter(state.listed),
                         [](const listed_instance& one) { return one.role == "entry"; });
    for (const auto& one : state.newest.members) {
        update_listing(state, one, shows(state.listed, one), now);
    }
    for (const auto& one : state.previous.members) {
        update_listing(state, one, shows(state.listed, one), now);
    }
}

void prune(roster_state& state, const environment& env, instant now) {
    std::erase_if(state.pings_in_flight, [&](const sent_ping& one) {
        return now - one.at > env.timing.suspect_after + env.timing.fence;
    });
    if (state.pings_in_flight.size() > max_pings_in_flight) {
        state.pings_in_flight.erase(state.pings_in_flight.begin());
    }
    std::erase_if(state.heard, [&](const auto& entry) {
        return now - entry.second.pinged_at > forget_after &&
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
