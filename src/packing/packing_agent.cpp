#include "packing/packing_agent.h"

#include "coordination/roster/roster.h"
#include "types/overloaded.h"

#include <algorithm>
#include <optional>

namespace cyclamenmount {

namespace {

using packing_agent_effects = std::vector<packing_agent_effect>;

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
//! Time without jobs for a peer that isn't ready: a starting process reads its configuration from
//! the store in less time. A job sent too early costs one round trip.
constexpr milliseconds not_ready_pause{2500};
//! A reported wait is ignored at this age: about two calls have ended since.
constexpr milliseconds max_wait_report_age{600};
//! Number of recent pings whose replies are accepted, at any delay. Fewer are sent before a peer
//! counts as unresponsive.
constexpr std::size_t max_tracked_pings = 8;

//! True if this process can run packers: it has the configuration and the list of upstreams.
bool can_run_packers(const packing_agent& state) {
    return state.view && state.view->config && state.view->upstreams_known;
}

bool is_member(const packing_agent& state, const std::string& address) {
    return state.view && std::ranges::find(state.view->members, address, &member::address) !=
                             state.view->members.end();
}

bool is_self(const packing_agent& state, const std::string& address) {
    return address == state.self.address;
}

bool is_skipped(const packing_agent& state, const std::string& address, instant now) {
    const auto found = state.peers.find(address);
    return found != state.peers.end() &&
           (found->second.is_unresponsive || now < found->second.not_ready_until);
}

//! Creates a message to whichever process listens at the address. A restarted process may take
//! over, since a packer's state may be lost at any time.
send_to_peer make_message_to(const std::string& address, peer_message message) {
    return {{{}, address, {}}, std::move(message)};
}

pieces_request to_request(const packing_agent& state, const outstanding_job& outstanding,
                          instant now) {
    const stage_job& job = outstanding.job;
    pieces_request message;
    message.number = job.id.number;
    message.pool = outstanding.pool;
    message.request = job.request;
    message.stage = job.stage;
    message.pieces = job.pieces;
    message.key = job.key;
    if (job.inputs) {
        message.inputs = *job.inputs;
    }
    message.result_bytes = job.result_bytes;
    message.aim_in = job.soft_deadline - now;
    message.needed_in = job.hard_deadline - now;
    message.priority = job.priority;
    message.depth = job.depth;
    message.zone = job.zone;
    message.bytes_to_zone = job.bytes_to_zone;
    message.address = state.self.address;
    return message;
}

stage_job to_job(const pieces_request& message, const instance_id& requester, instant now) {
    stage_job job;
    job.id = {requester, message.number};
    job.request = message.request;
    job.stage = message.stage;
    job.pieces = message.pieces;
    job.key = message.key;
    if (!message.inputs.empty()) {
        job.inputs = std::make_shared<const std::vector<std::string>>(message.inputs);
    }
    job.result_bytes = message.result_bytes;
    job.soft_deadline = now + message.aim_in;
    job.hard_deadline = now + message.needed_in;
    job.priority = message.priority;
    job.depth = message.depth;
    job.zone = message.zone;
    job.bytes_to_zone = message.bytes_to_zone;
    return job;
}

void end_job(packing_agent& state, std::uint64_t number, pieces_reply reply, instant now,
             packing_agent_effects& out) {
    const auto found = state.outstanding.find(number);
    if (found == state.outstanding.end()) {
        return;
    }
    state.reported_waits[found->second.pool] = {reply.pool_wait, now};
    peer_health& health = state.peers[found->second.assigned_address];
    health.last_reply_at = now;
    health.unanswered_since = {};
    state.outstanding.erase(found);
    reply.number = number;
    out.push_back(job_ended{number, std::move(reply)});
}

//! Sends the reply to the requester of the job: this instance or a peer.
void send_reply(packing_agent& state, const job_id& id, pieces_reply reply, instant now,
                packing_agent_effects& out) {
    if (id.requester == state.self.id) {
        end_job(state, id.number, std::move(reply), now, out);
        return;
    }
    const auto requester = state.requesters.find(id.requester);
    if (requester != state.requesters.end()) {
        reply.number = id.number;
        out.push_back(send_to_peer{requester->second, std::move(reply)});
    }
}

void run_packer(packing_agent& state, const pool_name& pool, const packer_event& incoming,
                instant now, packing_agent_effects& out) {
    packer& pool_packer = state.packers[pool];
    std::optional<milliseconds> cached_wait;  // computed at most once for all effects
    const auto pool_wait = [&] {
        if (!cached_wait) {
            cached_wait = waiting_time(pool_packer, now);
        }
        return *cached_wait;
    };
    for (packer_effect& effect : reduce(pool_packer, incoming, now)) {
        std::visit(overloaded{
                       [&](make_call& call) {
                           out.push_back(call_stage{pool, std::move(call)});
                       },
                       [&](release_results& unused) { out.push_back(std::move(unused)); },
                       [&](job_completed& completed) {
                           pieces_reply reply;
                           reply.verdict = pieces_verdict::made;
                           reply.results = std::move(completed.results);
                           reply.zone = completed.zone;
                           reply.pool_wait = pool_wait();
                           send_reply(state, completed.id, std::move(reply), now, out);
                       },
                       [&](job_rejected& rejected) {
                           pieces_reply reply;
                           reply.verdict = rejected.why;
                           reply.retry_after = rejected.retry_after;
                           reply.pool_wait = pool_wait();
                           send_reply(state, rejected.id, std::move(reply), now, out);
                       },
                   },
                   effect);
    }
}

void assign_job(packing_agent& state, std::uint64_t number, instant now,
                packing_agent_effects& out) {
    outstanding_job& outstanding = state.outstanding.at(number);
    outstanding.assigned_address = packer_address(state, outstanding.pool, now);
    outstanding.submitted_at = now;
    if (is_self(state, outstanding.assigned_address)) {
        // A copy, since the packer may end the job at once, which erases it from `outstanding`.
        const job_submitted submitted{outstanding.job};
        const pool_name pool = outstanding.pool;
        run_packer(state, pool, submitted, now, out);
        return;
    }
    out.push_back(
        make_message_to(outstanding.assigned_address, to_request(state, outstanding, now)));
}

void abandon_job(packing_agent& state, std::uint64_t number, instant now,
                 packing_agent_effects& out) {
    const auto found = state.outstanding.find(number);
    if (found == state.outstanding.end()) {
        return;
    }
    const outstanding_job outstanding = found->second;
    state.outstanding.erase(found);
    if (is_self(state, outstanding.assigned_address)) {
        run_packer(state, outstanding.pool, job_cancelled{outstanding.job.id}, now, out);
        return;
    }
    out.push_back(
        make_message_to(outstanding.assigned_address, pieces_cancel{outstanding.pool, number}));
}

void release_results_of(packing_agent& state, const results_unneeded& unused, instant now,
                        packing_agent_effects& out) {
    const std::string address = packer_address(state, unused.pool, now);
    if (is_self(state, address)) {
        run_packer(state, unused.pool, results_released{unused.results}, now, out);
        return;
    }
    out.push_back(make_message_to(address, pieces_release{unused.pool, unused.results}));
}

void apply_view(packing_agent& state, const fleet_view_ptr& view, instant now,
                packing_agent_effects& out) {
    state.view = view;
    if (!view->config) {
        return;
    }
    for (const auto& [name, limits] : view->config->pools) {
        if (!limits.stage) {
            continue;
        }
        pool_changed changed{*limits.stage, {}};
        const auto upstreams = view->pools.find(name);
        if (upstreams != view->pools.end()) {
            for (const serving_upstream& upstream : upstreams->second) {
                changed.upstreams.push_back({upstream.id, upstream.address, upstream.zone});
            }
        }
        run_packer(state, name, changed, now, out);
    }
}

//! Submits the jobs of a packer instance that is skipped or no longer a member to the next one.
void reassign_jobs(packing_agent& state, instant now, packing_agent_effects& out) {
    std::map<std::string_view, bool> unavailable;
    std::vector<std::uint64_t> reassigned;
    for (const auto& [number, outstanding] : state.outstanding) {
        if (is_self(state, outstanding.assigned_address)) {
            continue;
        }
        const auto [entry, is_new] = unavailable.try_emplace(outstanding.assigned_address);
        if (is_new) {
            entry->second = is_skipped(state, outstanding.assigned_address, now) ||
                            !is_member(state, outstanding.assigned_address);
        }
        if (entry->second) {
            reassigned.push_back(number);
        }
    }
    for (const std::uint64_t number : reassigned) {
        // Cancelled, since a packer instance that was only slow would compute pieces that no
        // request uses.
        const outstanding_job& outstanding = state.outstanding.at(number);
        out.push_back(
            make_message_to(outstanding.assigned_address, pieces_cancel{outstanding.pool, number}));
        assign_job(state, number, now, out);
    }
}

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

//! Submits all jobs at an address again after its process has changed; a packer ignores jobs that
//! it already has.
void resubmit_jobs(packing_agent& state, const std::string& address, instant now,
                   packing_agent_effects& out) {
    for (const auto& [number, outstanding] : state.outstanding) {
        if (outstanding.assigned_address == address) {
            out.push_back(make_message_to(address, to_request(state, outstanding, now)));
        }
    }
}

//! Handles the reply of process `from` to a ping. Sequence numbers are unique over all peers, so
//! the number identifies the pinged address.
void on_pong(packing_agent& state, const instance_id& from, std::uint64_t sequence, instant now,
             packing_agent_effects& out) {
    const auto found = std::ranges::find_if(state.peers, [&](const auto& entry) {
        const auto& sequences = entry.second.ping_sequences;
        return std::find(sequences.begin(), sequences.end(), sequence) != sequences.end();
    });
    if (found == state.peers.end()) {
        return;
    }
    auto& [address, health] = *found;
    health.last_reply_at = now;
    health.unanswered_since = {};
    if (health.is_unresponsive) {
        health.is_unresponsive = false;
        out.push_back(peer_status_changed{address, peer_status::responsive, 0ms});
    }
    if (health.last_responder != from) {
        health.last_responder = from;
        resubmit_jobs(state, address, now, out);
    }
}

//! Handles the reply that a packer instance isn't ready: skips the instance for a while, so that
//! its jobs are submitted to the next one.
void on_not_ready(packing_agent& state, std::uint64_t number, instant now,
                  packing_agent_effects& out) {
    const auto found = state.outstanding.find(number);
    if (found == state.outstanding.end()) {
        return;
    }
    const std::string& address = found->second.assigned_address;
    if (!is_skipped(state, address, now)) {
        out.push_back(peer_status_changed{address, peer_status::not_ready, 0ms});
    }
    state.peers[address].not_ready_until = now + not_ready_pause;
}

void on_message(packing_agent& state, const packing_message_received& received, instant now,
                packing_agent_effects& out) {
    std::visit(
        overloaded{
            [&](const ping& request) {
                state.requesters[received.from] = request.from;
                pong reply;
                reply.sequence = request.sequence;
                out.push_back(send_to_peer{request.from, reply});
            },
            [&](const pong& reply) { on_pong(state, received.from, reply.sequence, now, out); },
            [&](const pieces_request& request) {
                state.requesters[received.from] = {received.from, request.address, {}};
                if (!can_run_packers(state)) {
                    pieces_reply reply;
                    reply.verdict = pieces_verdict::not_ready;
                    send_reply(state, {received.from, request.number}, std::move(reply), now, out);
                    return;
                }
                if (request.pieces > 0) {
                    run_packer(state, request.pool,
                               job_submitted{to_job(request, received.from, now)}, now, out);
                }
            },
            [&](const pieces_cancel& cancelled) {
                run_packer(state, cancelled.pool, job_cancelled{{received.from, cancelled.number}},
                           now, out);
            },
            [&](const pieces_release& unused) {
                run_packer(state, unused.pool, results_released{unused.results}, now, out);
            },
            [&](const pieces_reply& reply) {
                if (reply.verdict == pieces_verdict::not_ready) {
                    on_not_ready(state, reply.number, now, out);
                    return;
                }
                end_job(state, reply.number, reply, now, out);
            },
            [](const auto& /*other*/) {},
        },
        received.message);
}

void on_tick(packing_agent& state, instant now, packing_agent_effects& out) {
    ping_packer_instances(state, now, out);
    ping_unresponsive_peers(state, now, out);
    std::vector<pool_name> busy;
    for (const auto& [name, pool_packer] : state.packers) {
        if (!pool_packer.jobs.empty() || !pool_packer.calls.empty()) {
            busy.push_back(name);
        }
    }
    for (const pool_name& name : busy) {
        run_packer(state, name, packer_tick{}, now, out);
    }
    std::vector<std::uint64_t> expired;
    for (const auto& [number, outstanding] : state.outstanding) {
        if (now > outstanding.job.hard_deadline && !is_self(state, outstanding.assigned_address)) {
            expired.push_back(number);
        }
    }
    for (const std::uint64_t number : expired) {
        pieces_reply reply;
        reply.verdict = pieces_verdict::overloaded;
        state.outstanding.erase(number);
        reply.number = number;
        out.push_back(job_ended{number, std::move(reply)});
    }
}

}  // namespace

milliseconds reported_wait(const packing_agent& state, const pool_name& pool, instant now) {
    const auto found = state.reported_waits.find(pool);
    const bool is_fresh = found != state.reported_waits.end() &&
                          now - found->second.received_at < max_wait_report_age;
    return is_fresh ? found->second.wait : 0ms;
}

std::string packer_address(const packing_agent& state, const pool_name& pool, instant now) {
    const member* best = nullptr;
    std::uint64_t best_weight = 0;
    if (state.view) {
        int max_millicores = 0;
        for (const member& candidate : state.view->members) {
            max_millicores = std::max(max_millicores, candidate.millicores);
        }
        for (const member& candidate : state.view->members) {
            const bool is_too_small = 2 * candidate.millicores < max_millicores;
            const bool is_stopping = state.is_stopping && is_self(state, candidate.address);
            if (is_too_small || is_stopping || is_skipped(state, candidate.address, now)) {
                continue;
            }
            const auto weight = rendezvous_weight({candidate.address}, pool.value);
            if (best == nullptr || weight > best_weight) {
                best = &candidate;
                best_weight = weight;
            }
        }
    }
    return best == nullptr ? state.self.address : best->address;
}

std::vector<packing_agent_effect> reduce(packing_agent& state, const packing_agent_event& incoming,
                                         instant now) {
    packing_agent_effects out;
    std::visit(
        overloaded{
            [&](const view_changed& changed) { apply_view(state, changed.view, now, out); },
            [&](const job_requested& requested) {
                const auto number = requested.job.id.number;
                state.outstanding[number] = {requested.pool, requested.job, {}};
                assign_job(state, number, now, out);
            },
            [&](const job_abandoned& abandoned) { abandon_job(state, abandoned.number, now, out); },
            [&](const results_unneeded& unneeded) {
                release_results_of(state, unneeded, now, out);
            },
            [&](const packing_message_received& received) {
                on_message(state, received, now, out);
            },
            [&](const stage_call_answered& answered) {
                run_packer(state, answered.pool, answered.value, now, out);
            },
            [&](const stage_call_failed& failed) {
                run_packer(state, failed.pool, failed.value, now, out);
            },
            [&](const packing_agent_stopping&) { state.is_stopping = true; },
            [&](const packing_agent_tick&) { on_tick(state, now, out); },
        },
        incoming);
    reassign_jobs(state, now, out);
    return out;
}

}  // namespace cyclamenmount
