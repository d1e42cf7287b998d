//! Events: the inputs of the control state.
#pragma once

#include "types/peer_messages.h"
#include "types/store.h"

#include <variant>

namespace cyclamenmount {

//! Periodic event; `timing_settings::tick` is its period.
struct tick {};

struct peer_message_received {
    instance_id from;
    peer_message message;
};

// --- platform -----------------------------------------------------------------------------------

struct store_replied {
    store_ticket number;
    store_status status{store_status::unknown};
    stored_object object;  //!< whole object after a read, key and version after a write
};

//! Result of one long poll of the store.
struct watch_ended {
    std::string prefix;
    store_status status{store_status::unknown};  //!< `ok` also if nothing changed
    object_version revision{0};                  //!< start of the next long poll
    std::vector<stored_object> objects;          //!< changes, including deletions
    std::uint64_t number{0};                     //!< of the `watch_prefix` that has ended
};

//! Result of one read of the instance list.
struct instances_listed {
    store_status status{store_status::unknown};
    std::vector<listed_instance> instances;  //!< the whole list
};

// --- upstreams ----------------------------------------------------------------------------------

//! Result of a status read.
struct upstream_polled {
    upstream_id upstream;
    bool answered{false};    //!< a valid status of this upstream was received
    upstream_report report;  //!< empty if not answered
};

struct order_answered {
    upstream_id upstream;
    std::uint64_t number{0};
    //! `conflict` if the upstream refused the command because its fencing token was too old.
    store_status status{store_status::unknown};
};

// --- traffic ------------------------------------------------------------------------------------

//! Requests the admission of a caller's request, which has been parsed.
struct admission_wanted {
    ticket number{0};
    std::string key_sha256;  //!< SHA-256 of the caller's API key
    pipeline_name pipeline;  //!< requested pipeline; empty for a service call
    pool_name service;       //!< requested service; empty for a pipeline
    fingerprint body;
    milliseconds time_left{0};  //!< time until the caller's deadline; 0 if none is set
    int max_tokens{0};
};

//! An admitted request has ended, with any outcome. Frees its place in the concurrency limit.
struct request_ended {
    ticket number{0};  //!< ticket of its admission
    workspace_name workspace;
    int tokens{0};  //!< output tokens
};

struct attempt_wanted {
    ticket number{0};
    attempt_id attempt;
    request_id request;
    fingerprint body;
    pool_name pool;
    workspace_name workspace;
    stage_name stage;
    int priority{1};
    std::uint64_t prefix_hash{0};       //!< hash of the start of the prompt; 0: no affinity
    std::vector<upstream_id> excluded;  //!< upstreams that the request has tried or is using
    milliseconds time_left{0};          //!< time until the request's deadline
    bool restartable{false};            //!< the attempt may be cancelled and repeated elsewhere
};

enum class attempt_outcome {
    ok,
    refused,      //!< no connection, or the upstream refused the call without executing it
    failed,       //!< error response or invalid response
    died,         //!< connection lost during the call; counts as a crash
    timed_out,    //!< no data for too long, or the deadline passed
    cancelled,    //!< cancelled by this instance
    not_started,  //!< nothing was sent: start window over, or cancelled
};

struct attempt_ended {
    attempt_id attempt;
    upstream_id upstream;
    attempt_outcome outcome{attempt_outcome::ok};
    upstream_report report;  //!< status in the response; empty `upstream` if none
    milliseconds took{0};
    milliseconds first_token{0};  //!< time to the first token; 0 if none
    int tokens{0};                //!< output tokens
};

struct permit_wanted {
    permit_request request;
};

struct permit_returned {
    permit_return value;
};

struct call_ended {
    permit_outcome value;
};

struct claim_wanted {
    claim_request request;
};

struct stage_finished {
    claim_progress value;
};

struct claim_ended {
    claim_end value;
};

// --- operators ----------------------------------------------------------------------------------

//! Requests an edit of the plan list or the allowance list; the text has been validated.
struct list_edit_wanted {
    ticket number{0};
    std::string document;  //!< one of `document_names`
    std::string text;      //!< whole new list
    change_record change;  //!< history entry; `base` is the version that was edited
};

//! Requests that a zone or an upstream is taken out of service or returned to service.
struct availability_wanted {
    ticket number{0};
    zone_name zone;        //!< affected zone; empty for an upstream
    upstream_id upstream;  //!< affected upstream; empty for a zone
    bool out{true};        //!< true takes out of service, false returns to service
    change_record change;
};

//! SIGTERM, or an operator's command to drain.
struct stop_wanted {};

using event =
    std::variant<tick, peer_message_received, store_replied, watch_ended, instances_listed,
                 upstream_polled, order_answered, admission_wanted, request_ended, attempt_wanted,
                 attempt_ended, permit_wanted, permit_returned, call_ended, claim_wanted,
                 stage_finished, claim_ended, list_edit_wanted, availability_wanted, stop_wanted>;

}  // namespace cyclamenmount
