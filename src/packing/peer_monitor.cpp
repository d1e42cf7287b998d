//! Monitor of the peers that run packers for this instance.
#include "packing/internal/agent.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

//! A packer instance with outstanding jobs is pinged after this long without a reply: slightly
//! longer than a stage call.
constexpr milliseconds ping_after{300};
//! Period of pings to a packer instance with outstanding jobs; short enough that one lost and one
//! late ping don't make it unresponsive.
constexpr milliseconds ping_period{150};
//! A packer instance counts as unresponsive after this long without a reply to pings; soon enough
//! to serve the request through the next packer instance.
constexpr milliseconds unresponsive_after{450};
//! Period of pings to an unresponsive peer. Pings are cheap; a job sent to test the peer would be
//! delayed until the peer counts as unresponsive again.
constexpr milliseconds unresponsive_ping_period{1000};
//! Number of recent pings whose replies are accepted, at any delay. Fewer are sent before a peer
//! counts as unresponsive.
constexpr std::size_t max_tracked_pings = 8;

void send_ping(packing_agent& state, const std::string& address, instant now,
               packing_agent_effects& out) {
    peer_health& health = state.peers[address];
    ping message;
    message.from = state.self;
    message.sequence = ++state.last_sequence;
    health.ping_sequences.push_back(message.sequence);
    if (health.ping_sequences.size() > max_tracked_pings) {
        health.ping_sequences.pop_front();
    }
    health.last_ping_at = now;
    out.push_back(make_message_to(address, message));
}

//! Addresses of packer instances that have outstanding jobs and haven't replied recently.
std::set<std::string> addresses_to_ping(packing_agent& state, instant now) {
    std::set<std::string> found;
    for (const auto& [number, outstanding] : state.outstanding) {
        const instant since = std::max(outstanding.submitted_at,
                                       state.peers[outstanding.assigned_address].last_reply_at);
        if (!is_self(state, outstanding.assigned_address) && now - since >= ping_after) {
            found.insert(outstanding.assigned_address);
        }
    }
    return found;
}

void ping_packer_instances(packing_agent& state, instant now, packing_agent_effects& out) {
    for (const std::string& address : addresses_to_ping(state, now)) {
        peer_health& health = state.peers[address];
        if (health.unanswered_since != instant{} &&
            now - health.unanswered_since >= unresponsive_after) {
            out.push_back(peer_status_changed{address, peer_status::unresponsive,
                                              now - health.unanswered_since});
            health.is_unresponsive = true;
            health.unanswered_since = {};
            resend_releases(state, address, now, out);
            continue;
        }
        if (now - health.last_ping_at >= ping_period) {
            send_ping(state, address, now, out);
            if (health.unanswered_since == instant{}) {
                health.unanswered_since = now;
            }
        }
    }
}

//! Pings unresponsive peers that are members, and removes the records of the others.
void ping_unresponsive_peers(packing_agent& state, instant now, packing_agent_effects& out) {
    for (auto peer = state.peers.begin(); peer != state.peers.end();) {
        const auto& [address, health] = *peer;
        if (health.is_unresponsive && !is_member(state, address)) {
            peer = state.peers.erase(peer);
            continue;
        }
        if (health.is_unresponsive && now - health.last_ping_at >= unresponsive_ping_period) {
            send_ping(state, address, now, out);
        }
        ++peer;
    }
}

//! Drops the jobs and results of all known requesters at an address.
void remove_requesters_at(packing_agent& state, const std::string& address, instant now,
                          packing_agent_effects& out) {
    std::vector<instance_id> ended;
    for (const auto& [id, requester] : state.requesters) {
        if (requester.address == address) {
            ended.push_back(id);
        }
    }
    for (const instance_id& id : ended) {
        state.requesters.erase(id);
        for (const auto& [pool, unused] : state.packers) {
            run_packer(state, pool, requester_ended{id}, now, out);
        }
    }
}

}  // namespace

void monitor_peers(packing_agent& state, instant now, packing_agent_effects& out) {
    ping_packer_instances(state, now, out);
    ping_unresponsive_peers(state, now, out);
}

// Sequence numbers are unique over all peers, so the number identifies the pinged address.
void on_pong(packing_agent& state, const instance_id& from, std::uint64_t sequence, instant now,
             packing_agent_effects& out) {
    const auto found = std::ranges::find_if(state.peers, [&](const auto& entry) {
        const auto& sequences = entry.second.ping_sequences;
        return std::find(sequences.begin(), sequences.end(), sequence) != sequences.end();
    });
    if (found == state.peers.end()) {
        return;
    }
    const std::string address = found->first;
    peer_health& health = found->second;
    health.last_reply_at = now;
    health.unanswered_since = {};
    if (health.is_unresponsive) {
        health.is_unresponsive = false;
        out.push_back(peer_status_changed{address, peer_status::responsive, 0ms});
    }
    if (health.last_responder != from) {
        health.last_responder = from;
        if (health.stopping_process != from) {
            health.stopping_process = {};
        }
        resubmit_jobs(state, address, now, out);
        resend_releases(state, address, now, out);
    }
}

void note_process(packing_agent& state, const member& process, instant now,
                  packing_agent_effects& out) {
    if (const auto peer = state.peers.find(process.address);
        peer != state.peers.end() && peer->second.stopping_process != process.id) {
        peer->second.stopping_process = {};
    }
    if (!state.requesters.contains(process.id)) {
        remove_requesters_at(state, process.address, now, out);
        state.requesters[process.id] = {process.id, process.address, {}};
    }
}

}  // namespace cyclamenmount::detail
