//! Parts of the packing agent: what all of them use, the monitor of peers, and the handover of jobs
//! between packer instances.
#pragma once

#include "packing/packing_agent.h"

namespace cyclamenmount::detail {

using packing_agent_effects = std::vector<packing_agent_effect>;

// --- common -------------------------------------------------------------------------------------

bool is_member(const packing_agent& state, const std::string& address);

bool is_self(const packing_agent& state, const std::string& address);

//! True if the packer instance at the address gets no new jobs.
bool is_skipped(const packing_agent& state, const std::string& address, instant now);

//! Creates a message to whichever process listens at the address. A restarted process may take
//! over, since a packer's state may be lost at any time.
send_to_peer make_message_to(const std::string& address, peer_message message);

pieces_request to_request(const packing_agent& state, const outstanding_job& outstanding,
                          instant now);

//! Applies an event to the local packer of a pool.
void run_packer(packing_agent& state, const pool_name& pool, const packer_event& incoming,
                instant now, packing_agent_effects& out);

//! Submits an outstanding job to the packer instance of its pool.
void assign_job(packing_agent& state, std::uint64_t number, instant now,
                packing_agent_effects& out);

//! Releases results through the packer instance of their pool, which counts them.
void release_results_of(packing_agent& state, const pool_name& pool,
                        const std::vector<std::string>& results, instant now,
                        packing_agent_effects& out);

// --- peers --------------------------------------------------------------------------------------

//! Pings packer instances that owe a reply and unresponsive peers that are members.
void monitor_peers(packing_agent& state, instant now, packing_agent_effects& out);

//! Handles the reply of process `from` to a ping.
void on_pong(packing_agent& state, const instance_id& from, std::uint64_t sequence, instant now,
             packing_agent_effects& out);

//! Records that a process listens at an address. Jobs and results of an earlier process there are
//! dropped, and the address gets jobs again if that process was stopping.
void note_process(packing_agent& state, const member& process, instant now,
                  packing_agent_effects& out);

// --- handover -----------------------------------------------------------------------------------

//! Submits the jobs of packer instances that are lost to the next one.
void reassign_lost_jobs(packing_agent& state, instant now, packing_agent_effects& out);

//! Asks jobs back from packer instances that are no longer their pool's. A packer that completes
//! its queue beside the new one would halve the pieces in each call.
void withdraw_misplaced_jobs(packing_agent& state, instant now, packing_agent_effects& out);

//! Submits all jobs at an address again after its process has changed; a packer ignores jobs that
//! it already has.
void resubmit_jobs(packing_agent& state, const std::string& address, instant now,
                   packing_agent_effects& out);

//! Sends the latest releases again that the packer instance at an address may not have carried out.
//! Otherwise their results fill the upstreams' memory until they expire.
void resend_releases(packing_agent& state, const std::string& address, instant now,
                     packing_agent_effects& out);

//! Handles the reply that a packer instance isn't ready: skips the instance for a while, so that
//! its jobs are submitted to the next one.
void on_not_ready(packing_agent& state, const instance_id& from, std::uint64_t number, instant now,
                  packing_agent_effects& out);

//! Handles a ping that announces that a process is stopping: its address gets no new jobs.
void on_peer_stopping(packing_agent& state, const member& process, packing_agent_effects& out);

//! Announces to the instances that submit jobs that this instance is stopping.
void announce_stop(packing_agent& state, packing_agent_effects& out);

}  // namespace cyclamenmount::detail
