//! Messages between the control threads of the instances.
//!
//! Every answer of a home carries the generation it acted under; a receiver that knows a newer one
//! discards it. Durations are relative, since clocks of two instances aren't comparable.
#pragma once

#include "types/configuration.h"
#include "types/errors.h"
#include "types/fleet.h"

#include <map>
#include <variant>

namespace cyclamenmount {

// --- roster -------------------------------------------------------------------------------------

//! Sent to every member and every listed entry instance each heartbeat.
struct ping {
    member from;
    std::uint64_t sequence{0};  //!< of the sender; the answer repeats it
    known_versions versions;
    bool leaving{false};  //!< the sender is draining and wants to be left out of the roster
};

//! Answer to a ping. Dated by the receiver with the time at which it sent the ping.
struct pong {
    std::uint64_t sequence{0};
    known_versions versions;
};

//! The newest roster that the sender knows.
struct roster_notice {
    roster value;
    object_version version{0};  //!< store version of the object
};

// --- replicated documents -----------------------------------------------------------------------

struct document_request {
    std::string name;
    object_version have{0};
};

struct document_notice {
    document value;
};

struct emergency_notice {
    std::vector<emergency_order> orders;  //!< all that the sender holds
};

// --- upstreams and cold start -------------------------------------------------------------------

//! Somebody saw a sign that an upstream is cold (again).
struct cold_notice {
    upstream_id upstream;
    std::string incarnation;  //!< empty if unknown
    std::string sign;         //!< `report`, `response`, `loading_error`, `slow_first_token`, `died`
};

//! The home's verdicts on its upstreams, to every member, each poll period.
struct report_notice {
    generation_number generation{0};
    std::vector<upstream_report> reports;
};

struct slot_request {
    upstream_id upstream;
    attempt_id attempt;
    milliseconds lasts_at_most{0};  //!< until the attempt's deadline
    milliseconds waits_at_most{0};  //!< the home may keep it in its queue for this long
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

//! A home asks what a member has running at an upstream.
struct holdings_request {
    generation_number generation{0};
    upstream_id upstream;
};

struct held_attempt {
    attempt_id attempt;
    milliseconds lasts_at_most{0};
    bool restartable{false};  //!< may be cancelled and run elsewhere

    bool operator==(const held_attempt&) const = default;
};

struct holdings_reply {
    generation_number generation{0};
    upstream_id upstream;
    std::vector<held_attempt> attempts;
};

//! A home asks a runner to end an attempt that exceeds the cold capacity.
struct cancel_notice {
    generation_number generation{0};
    upstream_id upstream;
    attempt_id attempt;
};

// --- shares of a workspace's limits -------------------------------------------------------------

struct workspace_demand {
    workspace_name workspace;
    double requests_per_second{0};
    int concurrent{0};  //!< wanted: running and refused in the last period
    int running{0};     //!< running now
    double tokens_per_minute{0};
};

struct share_report {
    generation_number generation{0};
    std::vector<workspace_demand> demands;
    std::uint64_t sequence{0};  //!< of the sender; the grant repeats it
    std::uint64_t applied{0};   //!< sequence of the grant in force at the sender; 0: none
};

struct workspace_share {
    workspace_name workspace;
    double requests_per_second{0};
    int concurrent{0};
    double tokens_per_minute{0};
};

struct share_grant {
    generation_number generation{0};
    std::vector<workspace_share> shares;
    std::uint64_t sequence{0};  //!< of the report that it answers
};

// --- at most once -------------------------------------------------------------------------------

//! What a runner wants to do once.
struct permit_request {
    ticket number{0};  //!< of the asking instance
    workspace_name workspace;
    idempotency_key key;
    fingerprint body;
    pool_name pool;
    std::string operation;
    milliseconds waits_at_most{0};
};

enum class permit_verdict {
    granted,            //!< run it now; report the outcome
    running,            //!< another runner has it; ask again
    done,               //!< it ran; `outcome` holds the answer
    unknown_outcome,    //!< it may have run and will not run again
    key_reused,         //!< same key, other body
    store_unavailable,  //!< could not be recorded; not run
    no_home,            //!< no home may act at present; not run
};

//! Outcome of a call that ran once.
struct call_outcome {
    bool known{false};
    int status{0};     //!< HTTP status that the caller got
    std::string body;  //!< kept if small, else empty
};

struct permit_reply {
    generation_number generation{0};
    ticket number{0};
    permit_verdict verdict{permit_verdict::no_home};
    std::string permit;  //!< unique id of the permit if granted
    call_outcome outcome;
};

//! The permit came too late: nothing was sent, and the caller was told so.
struct permit_return {
    workspace_name workspace;
    idempotency_key key;
    std::string permit;
};

struct permit_outcome {
    workspace_name workspace;
    idempotency_key key;
    std::string permit;
    call_outcome outcome;
};

// --- request registry ---------------------------------------------------------------------------

struct claim_request {
    ticket number{0};
    workspace_name workspace;
    idempotency_key key;
    fingerprint body;
    request_id request;
    milliseconds lasts_at_most{0};
};

enum class claim_verdict {
    run,         //!< this instance runs it; `finished_stages` may be reused
    join,        //!< `runner` runs or ran it; read its frames
    key_reused,  //!< same key, other body
    no_home,     //!< no home may act at present; an idempotent request goes on alone
};

struct finished_stage {
    stage_name stage;
    std::string output;
};

struct claim_reply {
    generation_number generation{0};
    ticket number{0};
    claim_verdict verdict{claim_verdict::no_home};
    request_id request;
    member runner;
    std::vector<finished_stage> finished_stages;
};

struct claim_progress {
    workspace_name workspace;
    idempotency_key key;
    request_id request;
    finished_stage stage;
};

struct claim_end {
    workspace_name workspace;
    idempotency_key key;
    request_id request;
};

// --- requests that crash upstreams --------------------------------------------------------------

//! One fingerprint that was running as an upstream died.
struct suspect {
    fingerprint body;
    std::vector<std::string> died;  //!< incarnations of upstreams that died with it, sorted
    bool cleared{false};            //!< it ran through elsewhere afterwards

    bool operator==(const suspect&) const = default;
};

struct suspects_notice {
    std::vector<suspect> suspects;  //!< all that the sender holds
};

//! Asks the home of a fingerprint whether one more attempt of it may start.
struct trial_request {
    ticket number{0};
    fingerprint body;
    attempt_id attempt;
    milliseconds lasts_at_most{0};
};

struct trial_reply {
    generation_number generation{0};
    ticket number{0};
    attempt_id attempt;
    bool granted{false};
    bool quarantined{false};
};

struct trial_end {
    fingerprint body;
    attempt_id attempt;
    bool died{false};
    std::string incarnation;
};

// --- pieces of stages ---------------------------------------------------------------------------

//! Asks the packer of a pool for all pieces of one stage of one request.
struct pieces_request {
    std::uint64_t number{0};  //!< of the asking instance
    pool_name pool;
    std::string request;
    std::uint64_t stage{0};
    int pieces{0};
    std::string key;                  //!< for stages without inputs
    std::vector<std::string> inputs;  //!< results of the stages before
    std::uint64_t result_bytes{0};    //!< of one piece
    milliseconds aim_in{0};           //!< made by then, the request can meet its objective
    milliseconds needed_in{0};        //!< made later, the request can't be answered any more
    int priority{0};
    int depth{0};
    zone_name zone;                  //!< where it is best made; empty if that doesn't matter
    std::uint64_t bytes_to_zone{0};  //!< that cross zones if it is made elsewhere
    std::string address;             //!< of the asking instance, for the reply
};

//! The request has ended; nothing more is wanted for it.
struct pieces_cancel {
    pool_name pool;
    std::uint64_t number{0};
};

//! Results that nobody will use again.
struct pieces_release {
    pool_name pool;
    std::vector<std::string> results;
};

enum class pieces_verdict {
    made,
    overloaded,   //!< can't be made in time behind what waits already
    input_lost,   //!< the stages before have to be done again
    no_upstream,  //!< the pool has no upstream in service
    failed,       //!< its pieces failed too often
    not_ready,    //!< this process doesn't know the upstreams yet; another one may
};

struct pieces_reply {
    std::uint64_t number{0};
    pieces_verdict verdict{pieces_verdict::failed};
    std::vector<std::string> results;  //!< one a piece, in order, if made
    zone_name zone;                    //!< where the results lie
    milliseconds retry_after{0};       //!< when the queue will have drained, if not made
    milliseconds pool_wait{0};         //!< what a further order would wait for its call to begin
};

// --- news of the store --------------------------------------------------------------------------

//! How far somebody follows one topic: a part of the store that is read by itself.
struct news_position {
    std::string name;           //!< of the topic
    object_version version{0};  //!< position in the store's history
};

//! Asks a peer that reads the store for what came after these positions.
struct news_request {
    member from;
    std::uint64_t sequence{0};  //!< of the sender; the reply repeats it
    std::vector<news_position> known;
};

//! What the store said of a topic's changes.
struct news_page {
    object_version base{0};     //!< the changes after this position
    object_version version{0};  //!< up to this one
    std::string text;           //!< as the store wrote it
};

struct topic_news {
    std::string name;
    object_version version{0};  //!< the sender's position
    milliseconds age{0};        //!< since the store is known to have held nothing newer
    std::vector<news_page> changes;
};

struct news_reply {
    std::uint64_t sequence{0};
    std::vector<topic_news> topics;
};

using peer_message =
    std::variant<ping, pong, roster_notice, document_request, document_notice, emergency_notice,
                 cold_notice, report_notice, slot_request, slot_reply, slot_release,
                 holdings_request, holdings_reply, cancel_notice, share_report, share_grant,
                 permit_request, permit_reply, permit_return, permit_outcome, claim_request,
                 claim_reply, claim_progress, claim_end, suspects_notice, trial_request,
                 trial_reply, trial_end, pieces_request, pieces_cancel, pieces_release,
                 pieces_reply, news_request, news_reply>;

}  // namespace cyclamenmount
