//! Everything that the control state wants done. Carried out by I/O threads, in order.
#pragma once

#include "types/events.h"

#include <variant>

namespace cyclamenmount {

struct send_to_peer {
    member to;  //!< the id may be empty: then to whoever listens at the address
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
    object_version expected{0};  //!< 0: the object must not exist
};

//! One long poll; ends as `watch_ended`.
struct watch_prefix {
    std::string prefix;
    object_version after{0};
    milliseconds timeout{0};
};

//! One read of the instance list; ends as `instances_listed`.
struct list_instances {};

// --- upstreams ----------------------------------------------------------------------------------

//! One status read; ends as `upstream_polled`.
struct poll_upstream {
    upstream_id upstream;
    std::string address;
};

//! One order to an engine; ends as `order_answered`.
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
    milliseconds time_left{0};
};

struct admission_decided {
    ticket number{0};
    decided<admission> decision;
};

struct attempt_grant {
    upstream_id upstream;
    std::string address;
    zone_name zone;
    instant start_before;                 //!< the first byte must leave before this
    milliseconds expected_first_byte{0};  //!< p95 of the pool; 0 if unknown
};

struct attempt_decided {
    ticket number{0};
    attempt_id attempt;
    decided<attempt_grant> decision;
};

//! End this attempt; it exceeds a cold upstream's capacity and may run elsewhere.
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
        accepted,   //!< the store has it, at `version`
        conflict,   //!< somebody changed it since `base`; see `changes`
        emergency,  //!< in force on peers, not yet recorded
        unknown,    //!< the store can't say
    } outcome{verdict::unknown};
    object_version version{0};
    std::vector<change_record> changes;  //!< since the base, newest first
};

// --- housekeeping -------------------------------------------------------------------------------

enum class severity { info, warning, error };

struct log_line {
    severity level{severity::info};
    part from{part::roster};
    std::string text;  //!< one short sentence
};

//! This instance has left the roster and holds nothing; the process may end.
struct drained {};

using effect =
    std::variant<send_to_peer, store_read, store_write, watch_prefix, list_instances, poll_upstream,
                 order_upstream, admission_decided, attempt_decided, attempt_cancelled,
                 permit_decided, claim_decided, edit_decided, log_line, drained>;

using effects = std::vector<effect>;

}  // namespace cyclamenmount
