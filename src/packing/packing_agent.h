//! Packing agent of one instance: submits stage jobs to the packers of their pools and hosts the
//! packers of the pools assigned to this instance.
//!
//! The packer instance of a pool is the live member whose address has the highest rendezvous
//! weight. Weights use the address, so a restarted process keeps its pools. Members with less than
//! half of the processor capacity of the largest member aren't eligible. Instances may have
//! different views of which members are live, so a pool may have two packers for a while; pieces
//! may then be computed twice, and an upstream rejects calls that exceed its capacity. Jobs at a
//! packer instance that becomes unresponsive are submitted again to the next one.
#pragma once

#include "packing/packer.h"
#include "serving/types/fleet_view.h"
#include "types/effects.h"

#include <deque>

namespace cyclamenmount {

// --- events -------------------------------------------------------------------------------------

//! The fleet view changed.
struct view_changed {
    fleet_view_ptr view;
};

//! This instance requests a job. The caller sets the job's id to the local instance id and an
//! unused number.
struct job_requested {
    pool_name pool;
    stage_job job;
};

//! The local job with this number is no longer needed.
struct job_abandoned {
    std::uint64_t number{0};
};

//! Results of a pool that are no longer needed.
struct results_unneeded {
    pool_name pool;
    std::vector<std::string> results;
};

//! A message from the packing agent of a peer arrived.
struct packing_message_received {
    instance_id from;
    peer_message message;
};

//! An upstream responded to a call of a local packer.
struct stage_call_answered {
    pool_name pool;
    call_answered value;
};

//! A call of a local packer failed.
struct stage_call_failed {
    pool_name pool;
    call_failed value;
};

//! An upstream of a local packer responded with directives.
struct stage_directives_received {
    pool_name pool;
    directives_received value;
};

//! This instance is stopping. Its jobs are submitted to other packer instances, if there are any;
//! the instances that submit jobs to it are told to do the same.
struct packing_agent_stopping {};

//! Periodic check of peers, calls and deadlines.
struct packing_agent_tick {};

using packing_agent_event =
    std::variant<view_changed, job_requested, job_abandoned, results_unneeded,
                 packing_message_received, stage_call_answered, stage_call_failed,
                 stage_directives_received, packing_agent_stopping, packing_agent_tick>;

// --- effects ------------------------------------------------------------------------------------

//! Sends a call of a local packer to an upstream.
struct call_stage {
    pool_name pool;
    make_call call;
};

//! The local job with this number has ended with this reply.
struct job_ended {
    std::uint64_t number{0};
    pieces_reply reply;
};

enum class peer_status {
    unresponsive,  //!< gets no jobs until it replies to a ping
    not_ready,     //!< has no list of upstreams yet; gets no jobs for a short time
    stopping,      //!< completes its jobs but gets no new ones
    responsive,    //!< gets jobs again
};

//! The status of a peer in this instance's view changed; for the log.
struct peer_status_changed {
    std::string address;
    peer_status status{peer_status::responsive};
    //! Time since the first unanswered ping; 0 unless unresponsive.
    milliseconds unanswered_for{0};
};

using packing_agent_effect =
    std::variant<call_stage, release_results, job_ended, send_to_peer, peer_status_changed>;

// --- state --------------------------------------------------------------------------------------

//! Health of the peer at one address. The record outlives a restart of the peer, as a restarted
//! process keeps its pools.
struct peer_health {
    instant last_reply_at{};     //!< last reply to a ping or a job
    instant unanswered_since{};  //!< time of the first unanswered ping; zero if there is none
    instant last_ping_at{};
    bool is_unresponsive{false};
    instant not_ready_until{};        //!< gets no jobs until then: it had no list of upstreams
    milliseconds not_ready_pause{0};  //!< last time without jobs for that; zero once it ended a job
    //! Process at the address that is stopping; empty once another process is known there.
    instance_id stopping_process;
    std::deque<std::uint64_t> ping_sequences;  //!< sequence numbers of recent pings
    //! Process that sent the last reply to a ping; a new process at the address has no jobs.
    instance_id last_responder;
};

//! A job of this instance that hasn't ended.
struct outstanding_job {
    pool_name pool;
    stage_job job;
    //! Address of the packer instance that has the job; may be the local address.
    std::string assigned_address;
    instant submitted_at{};
    bool is_withdrawn{false};  //!< asked back from the assigned packer instance
};

//! A release that was sent to a packer instance, which may end before it carries it out.
struct sent_release {
    instant sent_at{};
    std::string address;  //!< packer instance that got it
    pool_name pool;
    std::vector<std::string> results;
};

//! Queueing times of a pool as last reported by its packer.
struct wait_report {
    queueing_times waits;
    instant received_at{};
};

//! State of the packing agent of one instance.
struct packing_agent {
    member self;  //!< the local member
    bool is_stopping{false};
    fleet_view_ptr view;
    std::map<std::string, peer_health> peers;  //!< by address
    std::uint64_t last_sequence{0};            //!< sequence number of the last ping to any peer
    //! Members that requested jobs, for the addresses of their replies.
    std::map<instance_id, member> requesters;
    std::map<pool_name, packer> packers;                   //!< packers hosted by this instance
    std::map<std::uint64_t, outstanding_job> outstanding;  //!< jobs of this instance, by number
    std::map<pool_name, wait_report> reported_waits;
    std::deque<sent_release> recent_releases;  //!< oldest first
};

//! True if the pool's packer reported lately that a new job of the workspace would be beyond its
//! share. Never true of an empty workspace.
bool is_reported_beyond_share(const packing_agent& state, const pool_name& pool,
                              const workspace_name& workspace, instant now);

//! Queueing time of a new job of the workspace with this priority and this size of all its results,
//! as last reported by the pool's packer; 0 if the report is too old.
milliseconds reported_wait(const packing_agent& state, const pool_name& pool,
                           const workspace_name& workspace, int priority, std::uint64_t bytes,
                           instant now);

//! Time until the pool's queue is expected to be empty for jobs of the workspace, as last reported
//! by its packer; 0 if the report is too old.
milliseconds reported_drain_time(const packing_agent& state, const pool_name& pool,
                                 const workspace_name& workspace, instant now);

//! Applies one event and returns the effects to carry out.
std::vector<packing_agent_effect> reduce(packing_agent& state, const packing_agent_event& incoming,
                                         instant now);

//! Address of the packer instance of `pool` in this instance's view; the local address if no member
//! is eligible.
std::string packer_address(const packing_agent& state, const pool_name& pool, instant now);

}  // namespace cyclamenmount
