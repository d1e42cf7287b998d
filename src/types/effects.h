//! Effects: the actions that the control state requests. I/O threads carry them out in order.
#pragma once

#include "types/events.h"

#include <variant>

namespace cyclamenmount {

struct send_to_peer {
    member to;  //!< receiver; an empty id means any process at the address
    peer_message message;
};

// --- platform -----------------------------------------------------------------------------------

struct store_read {
    store_ticket number;
    std::string key;
};

struct store_write {
    store_ticket number;
    std::string key;
    std::string value;
    object_version expected{0};  //!< required present version; 0: the object must not exist
};

//! Starts one long poll; the result is `watch_ended`.
struct watch_prefix {
    std::string prefix;
    object_version after{0};
    milliseconds timeout{0};
    std::uint64_t number{0};  //!< repeated in `watch_ended`
};

//! Reads the instance list; the result is `instances_listed`.
struct list_instances {};

// --- upstreams ----------------------------------------------------------------------------------

//! Reads an upstream's status; the result is `upstream_polled`.
struct poll_upstream {
    upstream_id upstream;
    std::string address;
};

//! Sends a command to an engine; the result is `order_answered`.
struct order_upstream {
    upstream_id upstream;
    std::string address;
    std::uint64_t number{0};
    generation_number fence{0};
    std::string order;  //!< `load_model`, `unload_model`, `load_adapter` or `set_role`
    std::string name;
};

// --- decisions for traffic ----------------------------------------------------------------------

struct admission {
    workspace_name workspace;
    plan_name plan;
    int priority{1};
    milliseconds time_left{0};  //!< time until the request's deadline
};

struct admission_decided {
    ticket number{0};
    decided<admission> decision;
};

struct attempt_grant {
    upstream_id upstream;
    std::string address;
    zone_name zone;
    instant start_before;                 //!< latest time to send the first byte
    milliseconds expected_first_byte{0};  //!< 95th percentile of the pool; 0 if unknown
};

struct attempt_decided {
    ticket number{0};
    attempt_id attempt;
    decided<attempt_grant> decision;
};

//! Cancels a restartable attempt that exceeds a cold upstream's capacity. The request may start
//! another attempt at another upstream.
struct attempt_cancelled {
    attempt_id attempt;
};

struct permit_decided {
    permit_reply reply;
};

struct claim_decided {
    claim_reply reply;
};

// --- decisions for operators --------------------------------------------------------------------

struct edit_decided {
    ticket number{0};
    enum class verdict {
        accepted,   //!< the edit is recorded in the store; `version` is the new version
        conflict,   //!< the document was changed after the edited version; see `changes`
        emergency,  //!< the edit is in force as an emergency order, not yet recorded
        unknown,    //!< no usable reply from the store; the edit may be recorded
    } outcome{verdict::unknown};
    object_version version{0};
    std::vector<change_record> changes;  //!< on conflict: later changes, newest first
};

// --- housekeeping -------------------------------------------------------------------------------

enum class severity { info, warning, error };

struct log_line {
    severity level{severity::info};
    component from{component::roster};
    std::string text;  //!< one short sentence
};

//! This instance has no requests in progress and has left the roster; the process may exit.
struct drained {};

using effect =
    std::variant<send_to_peer, store_read, store_write, watch_prefix, list_instances, poll_upstream,
                 order_upstream, admission_decided, attempt_decided, attempt_cancelled,
                 permit_decided, claim_decided, edit_decided, log_line, drained>;

using effects = std::vector<effect>;

}  // namespace cyclamenmount
