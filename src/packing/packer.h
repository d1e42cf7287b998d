//! Packer of one pool: batches the pieces of many requests into calls to the pool's stage
//! upstreams.
//!
//! A reducer without I/O. An upstream processes one call at a time, and the fixed cost of a call is
//! much higher than that of a piece, so one packer serves the jobs of all instances. Its state may
//! be lost at any time, since pieces can be processed again.
#pragma once

#include "fair_shares/fair_shares.h"
#include "packing/types/stage_job.h"
#include "upstream_directives/upstream_directives.h"

#include <limits>
#include <map>
#include <set>
#include <span>
#include <variant>

namespace cyclamenmount {

// --- events -------------------------------------------------------------------------------------

//! An instance submitted a job. A job with a known id is ignored.
struct job_submitted {
    stage_job job;
};

//! The requester no longer needs the job.
struct job_cancelled {
    job_id id;
};

//! Another packer is to complete the job. It is returned if none of its pieces has been started.
struct job_withdrawn {
    job_id id;
};

//! The process of this instance has ended: its jobs and their results are no longer needed.
struct requester_ended {
    instance_id requester;
};

//! Results that are no longer needed.
struct results_released {
    std::vector<std::string> results;
};

enum class piece_status {
    made,               //!< completed; the upstream stores the result
    deadline_exceeded,  //!< the hard deadline had passed before the upstream started the piece
    input_lost,         //!< an input was lost with the upstream that stored it
    no_memory,          //!< the upstream has no memory for the result
    failed,             //!< any other failure
};

struct piece_outcome {
    piece_status status{piece_status::failed};
    std::string result;  //!< handle of the result; empty unless the piece was completed
};

//! An upstream responded to a call; one outcome per item, in the order of the items.
struct call_answered {
    call_number call{0};
    std::vector<piece_outcome> outcomes;
};

enum class call_failure {
    refused,  //!< the upstream rejected the call and did no work
    broken,   //!< no valid response; the upstream may have failed
    crashed,  //!< no valid response, and the upstream can no longer be reached
};

//! A call ended without outcomes.
struct call_failed {
    call_number call{0};
    call_failure why{call_failure::broken};
};

//! An upstream responded to a call or a release with directives.
struct directives_received {
    upstream_id upstream;
    upstream_directives directives;
    instant sent_at{};  //!< when the call or release was sent
};

//! The limits or the upstreams of the pool changed.
struct pool_changed {
    stage_limits limits;
    std::vector<pool_upstream> upstreams;
};

//! Periodic check of timeouts and deadlines.
struct packer_tick {};

using packer_event =
    std::variant<job_submitted, job_cancelled, job_withdrawn, requester_ended, results_released,
                 call_answered, call_failed, directives_received, pool_changed, packer_tick>;

// --- effects ------------------------------------------------------------------------------------

//! One piece in a call.
struct call_item {
    std::string request;        //!< request id
    std::size_t stage{0};       //!< index of the stage in the route
    int piece{0};               //!< index of the piece, from 0
    milliseconds time_left{0};  //!< time until the job's hard deadline
    std::string key;            //!< input key of a stage without inputs
    //! Result handles of earlier stages; null for a stage without inputs.
    std::shared_ptr<const std::vector<std::string>> inputs;
    std::string crash_key;  //!< of the request
};

//! Starts a call to an upstream.
struct make_call {
    call_number number{0};  //!< identifies the call in call_answered or call_failed
    upstream_id upstream;
    std::string address;
    std::uint64_t started_at_ms{0};  //!< tells apart incarnations of the upstream
    std::vector<call_item> items;
    int waiting_pieces{0};        //!< pieces that still wait in the pool, without those of the call
    std::uint64_t held_bytes{0};  //!< results at the upstream before the call
};

//! Requests that the upstreams free these results. Some may come from calls of other packers.
struct release_results {
    std::vector<std::string> results;
};

//! All pieces of a job are completed.
struct job_completed {
    job_id id;
    std::vector<std::string> results;  //!< one result handle per piece, in piece order
    zone_name zone;                    //!< zone of the upstream that completed the last piece
};

//! A job was rejected or has failed.
struct job_rejected {
    job_id id;
    pieces_verdict why{pieces_verdict::failed};
    //! Suggested delay before a retry: the expected time until the queue is empty.
    milliseconds retry_after{0};
};

//! A withdrawn job that has not been started.
struct job_returned {
    job_id id;
};

using packer_effect =
    std::variant<make_call, release_results, job_completed, job_rejected, job_returned>;

// --- state --------------------------------------------------------------------------------------

//! Progress of one piece of an open job.
enum class piece_progress { waiting, in_call, completed };

//! A job that isn't completed yet.
struct open_job {
    stage_job job;
    instant submitted_at{};
    std::vector<piece_progress> progress;  //!< by piece index
    std::vector<std::string> results;      //!< handles by piece index; empty until completed
    zone_name zone;   //!< zone of the upstream that completed the last piece so far
    int failures{0};  //!< failures of all pieces so far
    //! Upstreams that crashed during calls with pieces of the job. Such a job is called alone, so
    //! that it shows whether it is the one that crashes them.
    int crashes{0};
    //! Waits behind the jobs that are within the shares of their workspaces.
    bool is_beyond_share{false};
};

//! A result stored by an upstream.
struct stored_result {
    std::uint64_t bytes{0};
    instant expires_at{};  //!< time when the upstream frees the result if it isn't released earlier
    instance_id requester;  //!< instance whose request uses the result
    instant made_at{};
};

//! State of one upstream of the pool.
struct packer_upstream {
    pool_upstream value;      //!< identity and location
    call_number call{0};      //!< call in progress; 0: idle
    double slowdown{1};       //!< smoothed ratio of measured to nominal call duration
    instant backoff_until{};  //!< the upstream gets no calls until then
    milliseconds backoff{0};  //!< current backoff; 0 after a successful call
    std::map<std::string, stored_result> stored_results;  //!< results of this packer, by handle
    //! Bytes held by other packers' results, estimated when the upstream had no memory left.
    std::uint64_t other_packers_bytes{0};
    instant other_packers_estimated_at{};  //!< time of that estimate
    directive_state directives;
    //! Unneeded results that the upstream is to free once its directives allow another request.
    std::vector<std::string> deferred_releases;
    instant releases_sent_at{};  //!< last request to free results while its rate was limited
};

//! A piece in an open call.
struct called_piece {
    job_id job;
    int piece{0};            //!< index of the piece, from 0
    std::uint64_t bytes{0};  //!< approximate size of its result
};

//! A call in progress.
struct open_call {
    upstream_id upstream;
    std::vector<called_piece> pieces;
    instant started_at{};
    milliseconds expected_duration{0};  //!< nominal duration, without the slowdown factor
    bool is_overdue{false};             //!< timed out; its pieces were requeued for other upstreams
};

//! Smoothed rate of work that arrives.
struct work_rate {
    double pieces_per_ms{0};
    double bytes_per_ms{0};  //!< of large results
    instant updated_at{};
};

//! State of the packer of one pool.
struct packer {
    stage_limits limits;
    std::map<upstream_id, packer_upstream> upstreams;
    std::map<job_id, open_job> jobs;
    std::map<call_number, open_call> calls;
    call_number last_call_number{0};
    double residence_ms{400};  //!< smoothed time from the end of a call to the release of a result
    work_rate on_time_arrivals;  //!< accepted jobs that could meet their soft deadline
    share_ledger shares;         //!< by workspace, in full calls
    instant shares_marked_at{};  //!< when the jobs beyond their share were marked
};

//! Expected queueing times of new jobs at a pool, by priority; the last entry stands for all lower
//! priorities.
struct queueing_times {
    std::vector<milliseconds> for_calls;   //!< of jobs with small results
    std::vector<milliseconds> for_memory;  //!< of jobs whose results need much of the memory
    milliseconds until_drained{0};         //!< time until late jobs are served at once
    //! The same for jobs beyond the share of their workspace; empty if there are none. The times
    //! above are for jobs within it.
    beyond_share_waits beyond_share;
};

//! True if the results of a job are so small that they fit beside those that fill the memory.
bool has_small_results(const stage_limits& limits, std::uint64_t bytes);

//! Applies one event, starts calls on idle upstreams and returns the effects to carry out.
std::vector<packer_effect> reduce(packer& state, const packer_event& incoming, instant now);

//! True while jobs, calls or deferred releases are open, so that the packer needs ticks.
bool has_open_work(const packer& state);

//! Expected times until new one-piece jobs are called. A job is assumed to rank after all jobs of
//! its priority that can still meet their soft deadline.
queueing_times waiting_times(const packer& state, instant now);

//! Expected time until all waiting pieces of jobs that can still meet their soft deadline are
//! completed, while others continue to arrive. Pieces of jobs beyond their share count only if
//! `for_beyond_share`.
milliseconds drain_time(const packer& state, bool for_beyond_share, instant now);

}  // namespace cyclamenmount
