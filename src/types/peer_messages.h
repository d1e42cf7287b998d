//! Messages between instances.
//!
//! A message that an instance sends as the owner of a key carries the roster generation under which
//! it acted. A receiver with a newer generation discards messages about slots, conditions, shares
//! and claims. Durations are relative, since the clocks of two instances aren't comparable.
#pragma once

#include "types/configuration.h"
#include "types/errors.h"
#include "types/fleet.h"

#include <map>
#include <variant>

namespace cyclamenmount {

// --- roster -------------------------------------------------------------------------------------

//! Heartbeat: sent to all members and all listed instances of this system.
struct ping {
    member from;
    std::uint64_t sequence{0};  //!< number of this ping; the reply repeats it
    known_versions versions;
    bool leaving{false};  //!< the sender is draining and asks to be removed from the roster
};

//! Reply to a ping. The receiver records it under the send time of the ping, not the arrival time.
struct pong {
    std::uint64_t sequence{0};  //!< copied from the ping
    known_versions versions;
};

//! The newest roster that the sender holds.
struct roster_notice {
    roster value;
    object_version version{0};  //!< version of the roster object in the store
};

// --- replicated documents -----------------------------------------------------------------------

//! Requests a document if the receiver holds a newer version.
struct document_request {
    std::string name;
    object_version have{0};  //!< version that the sender holds
};

//! A document that the sender holds.
struct document_notice {
    document value;
};

struct emergency_notice {
    std::vector<emergency_order> orders;  //!< all orders that the sender holds
};

// --- upstreams and cold start -------------------------------------------------------------------

//! Reports an indication that an upstream is cold, possibly after it was warm.
struct cold_notice {
    upstream_id upstream;
    std::string incarnation;  //!< incarnation of the upstream; empty if unknown
    std::string sign;         //!< kind of indication: `response` or `died`
};

//! Declared conditions of the upstreams that the sender owns. Sent to all members each poll period.
struct report_notice {
    generation_number generation{0};
    std::vector<upstream_report> reports;
};

//! Requests a slot from an upstream's owner: permission to start one attempt while it is cold.
struct slot_request {
    upstream_id upstream;
    attempt_id attempt;             //!< slot id: attempt id and number, new for each request
    milliseconds lasts_at_most{0};  //!< time until the attempt's deadline
    milliseconds waits_at_most{0};  //!< maximum time in the owner's queue
};

struct slot_reply {
    generation_number generation{0};
    upstream_id upstream;
    attempt_id attempt;
    bool granted{false};
};

struct slot_release {
    upstream_id upstream;
    attempt_id attempt;
};

//! An owner requests the list of attempts that a member has running at an upstream.
struct holdings_request {
    generation_number generation{0};
    upstream_id upstream;
};

struct held_attempt {
    attempt_id attempt;             //!< slot id, or the attempt's id if it has no slot
    milliseconds lasts_at_most{0};  //!< time until its deadline
    bool restartable{false};        //!< may be cancelled and run elsewhere

    bool operator==(const held_attempt&) const = default;
};

struct holdings_reply {
    generation_number generation{0};  //!< copied from the request
    upstream_id upstream;
    std::vector<held_attempt> attempts;
};

//! An owner requests that a restartable attempt beyond the cold capacity is cancelled.
struct cancel_notice {
    generation_number generation{0};
    upstream_id upstream;
    attempt_id attempt;  //!< as reported in `held_attempt`
};

// --- shares of a workspace's limits -------------------------------------------------------------

//! Demand for one workspace at the sender. If all values are 0, the sender returns its share.
struct workspace_demand {
    workspace_name workspace;
    double requests_per_second{0};
    int concurrent{0};  //!< requests running, plus requests refused since the last report
    int running{0};     //!< requests running now
    double tokens_per_minute{0};
};

struct share_report {
    generation_number generation{0};
    std::vector<workspace_demand> demands;
    std::uint64_t sequence{0};  //!< number of this report; the grant repeats it
    std::uint64_t applied{0};   //!< sequence of the newest grant in force; 0 if none
};

//! Part of a workspace's limits that a member may use.
struct workspace_share {
    workspace_name workspace;
    double requests_per_second{0};
    int concurrent{0};  //!< requests in progress at once
    double tokens_per_minute{0};
};

struct share_grant {
    generation_number generation{0};
    std::vector<workspace_share> shares;
    std::uint64_t sequence{0};  //!< sequence of the report to which this is the reply
};

// --- at most once -------------------------------------------------------------------------------

//! Requests a permit for a call that must run at most once, from the owner of its key.
struct permit_request {
    ticket number{0};  //!< correlation number of the requester
    workspace_name workspace;
    idempotency_key key;
    fingerprint body;
    pool_name pool;
    std::string operation;
    milliseconds waits_at_most{0};  //!< time until the requester's deadline for the reply
};

//! Result of a permit request. `done` and `no_home` also confirm a `permit_outcome` and a
//! `permit_return`.
enum class permit_verdict {
    granted,            //!< the permit is recorded; the requester runs the call
    running,            //!< another permit for the key may be in use; the caller may retry
    done,               //!< the call has run; `outcome` contains its outcome
    unknown_outcome,    //!< the call may have run and will not run again
    key_reused,         //!< the key was used with another body
    store_unavailable,  //!< the permit can't be recorded; the call was not run
    no_home,            //!< no instance may act as owner at present; the call was not run
};

//! Outcome of an at-most-once call.
struct call_outcome {
    bool known{false};  //!< false: the call may have run, or its response was not kept
    int status{0};      //!< HTTP status of the response to the caller
    std::string body;   //!< response body; empty if too large
};

struct permit_reply {
    generation_number generation{0};
    ticket number{0};  //!< number of the request; 0 in a confirmation of a return or outcome
    permit_verdict verdict{permit_verdict::no_home};
    std::string permit;  //!< unique id of the permit that was granted or is confirmed
    call_outcome outcome;
};

//! Gives a permit back: nothing was sent to an upstream under it.
struct permit_return {
    workspace_name workspace;
    idempotency_key key;
    std::string permit;
};

//! Reports the outcome of the call made under a permit.
struct permit_outcome {
    workspace_name workspace;
    idempotency_key key;
    std::string permit;
    call_outcome outcome;
};

// --- request registry ---------------------------------------------------------------------------

//! Requests the right to run an idempotent request, from the owner of its key.
struct claim_request {
    ticket number{0};  //!< correlation number of the requester
    workspace_name workspace;
    idempotency_key key;
    fingerprint body;
    request_id request;
    milliseconds lasts_at_most{0};  //!< time until the request's deadline
};

enum class claim_verdict {
    run,         //!< the requester runs the request; `finished_stages` may be reused
    join,        //!< `runner` runs or ran the request; read the response from there
    key_reused,  //!< the key was used with another body
    no_home,     //!< no instance may act as owner at present; runs without a claim
};

struct finished_stage {
    stage_name stage;
    std::string output;
};

struct claim_reply {
    generation_number generation{0};
    ticket number{0};
    claim_verdict verdict{claim_verdict::no_home};
    request_id request;  //!< id of the registered request
    member runner;       //!< instance that runs the registered request
    std::vector<finished_stage> finished_stages;
};

//! Reports the result of a completed stage, which a later runner may reuse.
struct claim_progress {
    workspace_name workspace;
    idempotency_key key;
    request_id request;
    finished_stage stage;
};

//! Reports that the registered run has ended.
struct claim_end {
    workspace_name workspace;
    idempotency_key key;
    request_id request;
};

// --- requests that crash upstreams --------------------------------------------------------------

//! A fingerprint that was running when an upstream crashed.
struct suspect {
    fingerprint body;               //!< request fingerprint with the pool appended
    std::vector<std::string> died;  //!< UPSTREAM@INCARNATION of each crash, sorted
    bool cleared{false};            //!< an attempt in the same pool completed after the crashes

    bool operator==(const suspect&) const = default;
};

struct suspects_notice {
    std::vector<suspect> suspects;  //!< all suspects, or only those that changed
};

//! Requests permission for one more attempt of a fingerprint, from the fingerprint's owner.
struct trial_request {
    ticket number{0};
    fingerprint body;  //!< request fingerprint with the pool appended
    attempt_id attempt;
    milliseconds lasts_at_most{0};  //!< time until the attempt's deadline
};

struct trial_reply {
    generation_number generation{0};
    ticket number{0};
    attempt_id attempt;
    bool granted{false};
    bool quarantined{false};  //!< too many crashes: no further attempt is permitted
};

//! Reports the end of a permitted trial.
struct trial_end {
    fingerprint body;  //!< request fingerprint with the pool appended
    attempt_id attempt;
    bool died{false};         //!< the upstream crashed
    std::string incarnation;  //!< UPSTREAM@INCARNATION; empty unless completed or crashed
};

// --- pieces of stages ---------------------------------------------------------------------------

//! A stage job: requests all pieces of one stage of one request from the pool's packer.
struct pieces_request {
    std::uint64_t number{0};  //!< number of the job, unique per requester
    pool_name pool;
    std::string request;     //!< request id
    std::uint64_t stage{0};  //!< index of the stage in the request
    int pieces{0};
    std::string key;                  //!< input key of a stage without inputs
    std::vector<std::string> inputs;  //!< results of earlier stages
    std::uint64_t result_bytes{0};    //!< result size of one piece
    milliseconds aim_in{0};           //!< time to the soft deadline: the objective can be met
    milliseconds needed_in{0};        //!< time to the hard deadline: a response is still possible
    int priority{0};                  //!< 0 is the most urgent
    int depth{0};                     //!< number of earlier stages on the path to this one
    zone_name zone;                   //!< preferred zone of the upstream; empty if none
    std::uint64_t bytes_to_zone{0};   //!< bytes sent between zones if the job runs in another zone
    std::string address;              //!< peer address of the requester, for the reply
    std::string crash_key;            //!< by which a request that crashes upstreams is known
    workspace_name workspace;         //!< whose share of the pool the job uses; empty if none
};

//! Cancels a stage job whose request has ended.
struct pieces_cancel {
    pool_name pool;
    std::uint64_t number{0};  //!< number of the job
};

//! Asks for a stage job back that another packer is to complete. The receiver returns the job if
//! none of its pieces has been started; otherwise it completes the job.
struct pieces_withdraw {
    pool_name pool;
    std::uint64_t number{0};  //!< number of the job
};

//! Results that are no longer needed.
struct pieces_release {
    pool_name pool;
    std::vector<std::string> results;
};

enum class pieces_verdict {
    made,         //!< completed
    overloaded,   //!< the queue is too long to complete the job in time
    input_lost,   //!< an input is no longer available; earlier stages must be repeated
    no_upstream,  //!< the pool has no upstream in service
    failed,       //!< pieces of the job failed too often
    not_ready,    //!< the receiver has no list of upstreams yet; retry at another instance
    returned,     //!< withdrawn before any of its pieces was started
};

//! Expected queueing times of new jobs of workspaces that have used up their share of a pool.
struct beyond_share_waits {
    std::vector<workspace_name> workspaces;  //!< at most 16, with the most work first
    std::vector<milliseconds> call_waits;    //!< of small results, by priority
    std::vector<milliseconds> memory_waits;  //!< of other results, by priority
    milliseconds drained_in{0};              //!< expected time until all waiting work is done
};

struct pieces_reply {
    std::uint64_t number{0};  //!< number of the job
    pieces_verdict verdict{pieces_verdict::failed};
    std::vector<std::string> results;  //!< result handles, one per piece, in order of the pieces
    zone_name zone;                    //!< zone of the results
    milliseconds retry_after{0};       //!< expected time until the queue is empty; 0 if not set
    milliseconds pool_wait{0};         //!< longest of the expected queueing times below
    //! Expected queueing times of a new job with small results, by priority. The last entry stands
    //! for all lower priorities.
    std::vector<milliseconds> call_waits;
    //! The same for a job whose results need much of an upstream's memory.
    std::vector<milliseconds> memory_waits;
    milliseconds drained_in{0};  //!< expected time until the queue is empty
    //! For workspaces beyond their share; the times above are for all others.
    beyond_share_waits beyond_share;
};

// --- directives of upstreams --------------------------------------------------------------------

//! An upstream named the request rate that it takes from all instances together, or no longer does.
struct upstream_limit_notice {
    upstream_id upstream;
    std::uint64_t incarnation{0};   //!< start time of the upstream, Unix time in ms
    bool limited{false};            //!< false: the limit has ended
    double requests_per_second{0};  //!< of all instances; 0 if there is no limit
};

// --- store sync ---------------------------------------------------------------------------------

//! The sender's position in a topic, which is a part of the store that is read separately.
struct topic_position {
    std::string name;           //!< topic name
    object_version version{0};  //!< position in the topic's history
};

//! Requests the changes after the given positions from a sync source.
struct news_request {
    member from;
    std::uint64_t sequence{0};  //!< number of this request; the reply repeats it
    std::vector<topic_position> known;
    std::string reports{};  //!< the sender's observations of upstreams, as text; may be empty
};

//! Changes of a topic as read from the store.
struct change_page {
    object_version base{0};     //!< position before the changes
    object_version version{0};  //!< position after the changes
    std::string text;           //!< the store's response, unchanged; empty if nothing changed
};

struct topic_update {
    std::string name;           //!< topic name
    object_version version{0};  //!< the sender's position
    milliseconds age{0};        //!< time since the store confirmed that position as the newest
    std::vector<change_page> changes;  //!< in order; empty if none or if no longer kept
};

struct news_reply {
    std::uint64_t sequence{0};  //!< copied from the request
    std::vector<topic_update> topics;
    std::string reports{};  //!< observations of all other instances, as text; may be empty
};

// --- origins of streams -------------------------------------------------------------------------

//! Asks for the origins of streams that the receiver began or took up.
struct origins_request {
    member from;
    std::uint64_t sequence{0};         //!< number of this request; the reply repeats it
    std::vector<std::string> streams;  //!< keys
};

//! A stream that the sender of a reply began or took up.
struct recorded_stream {
    std::string key;
    pool_name pool;
    software_version version;
};

struct origins_reply {
    std::uint64_t sequence{0};             //!< copied from the request
    std::vector<recorded_stream> streams;  //!< those of the request that the sender has recorded
};

// --- version rollouts ---------------------------------------------------------------------------

//! Results on one route, of the order's target or of all other versions of the pool. Only grows
//! while the sending process runs. Histograms are as `time_bucket` of `version_rollout` counts.
struct version_results {
    std::string route;
    bool is_target{false};
    std::uint64_t requests{0};  //!< requests that ended with a response or a failure
    std::uint64_t bad{0};       //!< error statuses, unsigned, broken or missing responses
    std::vector<std::uint64_t> first_event;  //!< histogram of times to the first event
    std::vector<std::uint64_t> longest_gap;  //!< histogram of the longest gap between events
    std::vector<std::uint64_t> plain;        //!< histogram of times of plain responses
};

//! How far an order has got.
enum class rollout_step {
    comparing,    //!< the target gets its share of the traffic
    moving,       //!< all new requests go to the target if it has room
    closing,      //!< no new request goes to another version
    completed,    //!< the target has taken over
    rolled_back,  //!< the target gets nothing
};

//! What a process has counted for an order, sent to the members that decide.
struct rollout_report {
    member from;
    pool_name pool;
    std::string order;    //!< key of the order
    milliseconds age{0};  //!< since the sender, or whom it heard of, first saw the order
    rollout_step step{rollout_step::comparing};
    std::uint64_t open_at_others{0};  //!< requests in progress at other versions than the target
    std::string reason;  //!< why the sender's own counts prove the target bad; or empty
    std::vector<version_results> results;
};

//! A decision on an order, or the sign that the sender decides on it.
struct rollout_notice {
    member from;
    pool_name pool;
    std::string order;    //!< key of the order
    milliseconds age{0};  //!< as in a report
    rollout_step step{rollout_step::comparing};
    std::string reason;
};

using peer_message =
    std::variant<ping, pong, roster_notice, document_request, document_notice, emergency_notice,
                 cold_notice, report_notice, slot_request, slot_reply, slot_release,
                 holdings_request, holdings_reply, cancel_notice, share_report, share_grant,
                 permit_request, permit_reply, permit_return, permit_outcome, claim_request,
                 claim_reply, claim_progress, claim_end, suspects_notice, trial_request,
                 trial_reply, trial_end, pieces_request, pieces_cancel, pieces_release,
                 pieces_reply, news_request, news_reply, pieces_withdraw, upstream_limit_notice,
                 origins_request, origins_reply, rollout_report, rollout_notice>;

}  // namespace cyclamenmount
