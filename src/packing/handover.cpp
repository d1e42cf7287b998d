//! Handover of jobs and results when the packer instance of a pool changes.
#include "packing/internal/agent.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

//! Time without jobs for a peer that isn't ready. It doubles while the peer stays so: a starting
//! process often is ready soon after, and a job sent too early costs one round trip.
constexpr milliseconds first_not_ready_pause{200};
constexpr milliseconds max_not_ready_pause{2500};
//! Age up to which a release is sent again: longer than the time in which the loss of a packer
//! instance is detected.
constexpr milliseconds release_memory{1500};

//! True if the jobs at the address must be submitted elsewhere at once.
bool is_lost(const packing_agent& state, const std::string& address, instant now) {
    const auto found = state.peers.find(address);
    const bool is_stopping = found != state.peers.end() && !found->second.stopping_process.empty();
    if (!is_member(state, address) && !is_stopping) {
        return true;
    }
    return found != state.peers.end() &&
           (found->second.is_unresponsive || now < found->second.not_ready_until);
}

//! False if the process is known to be at another address: it replied to a job that was submitted
//! elsewhere since.
bool may_be_at(const packing_agent& state, const instance_id& process, const std::string& address) {
    if (is_self(state, address)) {
        return false;
    }
    if (!state.view) {
        return true;
    }
    const auto known = std::ranges::find(state.view->members, process, &member::id);
    return known == state.view->members.end() || known->address == address;
}

}  // namespace

void reassign_lost_jobs(packing_agent& state, instant now, packing_agent_effects& out) {
    std::map<std::string_view, bool> lost;
    std::vector<std::uint64_t> reassigned;
    for (const auto& [number, outstanding] : state.outstanding) {
        if (is_self(state, outstanding.assigned_address)) {
            continue;
        }
        const auto [entry, is_new] = lost.try_emplace(outstanding.assigned_address);
        if (is_new) {
            entry->second = is_lost(state, outstanding.assigned_address, now);
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

void withdraw_misplaced_jobs(packing_agent& state, instant now, packing_agent_effects& out) {
    std::map<pool_name, std::string> addresses;
    std::vector<std::uint64_t> misplaced;
    for (auto& [number, outstanding] : state.outstanding) {
        const auto [entry, is_new] = addresses.try_emplace(outstanding.pool);
        if (is_new) {
            entry->second = packer_address(state, outstanding.pool, now);
        }
        if (!outstanding.is_withdrawn && outstanding.assigned_address != entry->second) {
            outstanding.is_withdrawn = true;
            misplaced.push_back(number);
        }
    }
    for (const std::uint64_t number : misplaced) {
        const outstanding_job& outstanding = state.outstanding.at(number);
        if (is_self(state, outstanding.assigned_address)) {
            const pool_name pool = outstanding.pool;
            run_packer(state, pool, job_withdrawn{outstanding.job.id}, now, out);
        } else {
            out.push_back(make_message_to(outstanding.assigned_address,
                                          pieces_withdraw{outstanding.pool, number}));
        }
    }
}

void resubmit_jobs(packing_agent& state, const std::string& address, instant now,
                   packing_agent_effects& out) {
    for (const auto& [number, outstanding] : state.outstanding) {
        if (outstanding.assigned_address == address) {
            out.push_back(make_message_to(address, to_request(state, outstanding, now)));
        }
    }
}

void release_results_of(packing_agent& state, const pool_name& pool,
                        const std::vector<std::string>& results, instant now,
                        packing_agent_effects& out) {
    const std::string address = packer_address(state, pool, now);
    if (is_self(state, address)) {
        run_packer(state, pool, results_released{results}, now, out);
        return;
    }
    auto& recent = state.recent_releases;
    while (!recent.empty() && now - recent.front().sent_at > release_memory) {
        recent.pop_front();
    }
    recent.push_back({now, address, pool, results});
    out.push_back(make_message_to(address, pieces_release{pool, results}));
}

void resend_releases(packing_agent& state, const std::string& address, instant now,
                     packing_agent_effects& out) {
    std::vector<sent_release> sent_there;
    std::erase_if(state.recent_releases, [&](const sent_release& release) {
        if (release.address == address && now - release.sent_at <= release_memory) {
            sent_there.push_back(release);
        }
        return release.address == address;
    });
    for (const sent_release& release : sent_there) {
        release_results_of(state, release.pool, release.results, now, out);
    }
}

void on_not_ready(packing_agent& state, const instance_id& from, std::uint64_t number, instant now,
                  packing_agent_effects& out) {
    const auto found = state.outstanding.find(number);
    if (found == state.outstanding.end() ||
        !may_be_at(state, from, found->second.assigned_address)) {
        return;
    }
    const std::string address = found->second.assigned_address;
    if (!is_skipped(state, address, now)) {
        out.push_back(peer_status_changed{address, peer_status::not_ready, 0ms});
    }
    peer_health& health = state.peers[address];
    if (now >= health.not_ready_until) {
        // Replies to several jobs sent at the same time count once.
        health.not_ready_pause =
            std::clamp(2 * health.not_ready_pause, first_not_ready_pause, max_not_ready_pause);
        health.not_ready_until = now + health.not_ready_pause;
    }
    resend_releases(state, address, now, out);
}

void on_peer_stopping(packing_agent& state, const member& process, packing_agent_effects& out) {
    peer_health& health = state.peers[process.address];
    if (health.stopping_process != process.id) {
        health.stopping_process = process.id;
        out.push_back(peer_status_changed{process.address, peer_status::stopping, 0ms});
    }
}

void announce_stop(packing_agent& state, packing_agent_effects& out) {
    for (const auto& [id, requester] : state.requesters) {
        ping message;
        message.from = state.self;
        message.sequence = ++state.last_sequence;
        message.leaving = true;
        out.push_back(make_message_to(requester.address, message));
    }
}

}  // namespace cyclamenmount::detail
