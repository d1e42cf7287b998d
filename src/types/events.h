//! Everything that can happen to the control state.
#pragma once

#include "types/peer_messages.h"
#include "types/store.h"

#include <variant>

namespace cyclamenmount {

//! Time has passed; comes each `timing_settings::tick`.
struct tick {};

struct peer_message_received {
    instance_id from;
    peer_message message;
};

// --- platform -----------------------------------------------------------------------------------

struct store_replied {
    store_ticket number;
    store_status status{store_status::unknown};
    stored_object object;  //!< of a read; of a write its key and new version; empty otherwise
};

//! End of one watch call.
struct watch_ended {
    std::string prefix;
    store_status status{store_status::unknown};  //!< `ok` also if nothing changed
    object_version revision{0};
    std::vector<stored_object> objects;
};

//! End of one read of the instance list.
struct instances_listed {
    store_status status{store_status::unknown};
    std::vector<listed_instance> instances;  //!< the whole list
};

// --- upstreams ----------------------------------------------------------------------------------

//! Answer to a status read.
struct upstream_polled {
    upstream_id upstream;
    bool answered{false};
    upstream_report report;
};

struct order_answered {
    upstream_id upstream;
    std::uint64_t number{0};
    store_status status{store_status::unknown};  //!< `conflict`: refused for an older fence
};

// --- traffic ------------------------------------------------------------------------------------

//! A caller's request, parsed.
struct admission_wanted {
    ticket number{0};
    std::string key_sha256;  //!< of the caller's key
    pipeline_name pipeline;  //!< either pipeline
    pool_name service;       //!< or service
    fingerprint body;
    milliseconds time_left{0};  //!< until the caller's deadline; 0: the pipeline's own
    int max_tokens{0};
};

//! The request has ended, whatever the outcome; frees its concurrency.
struct request_ended {
    ticket number{0};  //!< that of its admission
    workspace_name workspace;
    int tokens{0};
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
    std::uint64_t prefix_hash{0};       //!< of the prompt's start; 0: no affinity
    std::vector<upstream_id> excluded;  //!< tried already
    milliseconds time_left{0};
    bool restartable{false};  //!< may be cancelled and run elsewhere
};

enum class attempt_outcome {
    ok,
    refused,      //!< the upstream refused before any work
    failed,       //!< it answered with an error
    died,         //!< the connection was reset or closed in the middle
    timed_out,    //!< silent, or past the deadline
    cancelled,    //!< ended by us
    not_started,  //!< nothing was sent: the start window had passed
};

struct attempt_ended {
    attempt_id attempt;
    upstream_id upstream;
    attempt_outcome outcome{attempt_outcome::ok};
    upstream_report report;  //!< carried on the response; upstream empty if none
    milliseconds took{0};
    milliseconds first_token{0};  //!< 0 if none came
    int tokens{0};
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

//! An edit of one of the two lists, already checked.
struct list_edit_wanted {
    ticket number{0};
    std::string document;
    std::string text;
    change_record change;  //!< its `base` is the version that the operator had read
};

struct availability_wanted {
    ticket number{0};
    zone_name zone;        //!< either zone
    upstream_id upstream;  //!< or upstream
    bool out{true};
    change_record change;
};

//! SIGTERM, or an operator's order to drain.
struct stop_wanted {};

using event =
    std::variant<tick, peer_message_received, store_replied, watch_ended, instances_listed,
                 upstream_polled, order_answered, admission_wanted, request_ended, attempt_wanted,
                 attempt_ended, permit_wanted, permit_returned, call_ended, claim_wanted,
                 stage_finished, claim_ended, list_edit_wanted, availability_wanted, stop_wanted>;

}  // namespace cyclamenmount
