//! The plan list, the allowance list and the topology from the settings, as plain data.
#pragma once

#include "types/ids.h"
#include "types/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenmount {

//! One workspace in the plan list.
struct workspace_entry {
    workspace_name name;
    plan_name plan;
    std::string key_sha256;  //!< SHA-256 of the caller's API key, 64 lower case hex digits
};

//! The plan list: the plan of each workspace.
struct plan_list {
    std::vector<workspace_entry> workspaces;
};

//! What a plan grants to each of its workspaces. Limits hold for the whole fleet; 0 allows nothing.
struct allowance {
    plan_name plan;
    std::set<pipeline_name> pipelines;
    std::set<pool_name> services;
    double requests_per_second{0};
    int concurrent{0};  //!< requests in progress at once
    double tokens_per_minute{0};
    int priority{1};  //!< 0 (highest) to 9 (lowest)
};

//! The allowance list: the limits and permissions of each plan.
struct allowance_list {
    std::map<plan_name, allowance> plans;
};

//! The HTTP interface of a pool's upstreams.
enum class pool_kind {
    engine,   //!< POST /v1/generate, answered by a token stream
    stage,    //!< POST /v1/run
    service,  //!< POST /v1/call/OPERATION
};

struct pool_settings {
    pool_name name;
    pool_kind kind{pool_kind::stage};
    int capacity{8};           //!< concurrent attempts of one warm upstream
    int cold_capacity{1};      //!< concurrent attempts of one cold upstream, over all instances
    bool checks_fence{false};  //!< the upstreams refuse commands with an older fencing token
    std::set<std::string> idempotent;  //!< service operations that may be repeated
};

struct stage_settings {
    stage_name name;
    pool_name pool;
};

struct pipeline_settings {
    pipeline_name name;
    std::vector<stage_settings> stages;
    milliseconds deadline{5000};  //!< deadline of requests that set none
};

struct topology {
    std::map<pool_name, pool_settings> pools;
    std::map<pipeline_name, pipeline_settings> pipelines;
};

//! Periods and time limits of coordination. All instances of a fleet must use the same values.
struct timing_settings {
    milliseconds tick{50};        //!< period of the `tick` event
    milliseconds heartbeat{500};  //!< period of the pings to all known peers
    //! An instance acts as an owner only while a majority of the members has answered pings that it
    //! sent within this time.
    milliseconds owner_lease{2000};
    //! Added to leases and time limits that several instances measure: their clock rates differ.
    milliseconds lease_margin{300};
    milliseconds suspect_after{3000};  //!< time without a pong until removal is proposed
    milliseconds start_window{500};    //!< a granted attempt must start within this time
    //! Maximum age of the availability data that new work relies on, and of the owner's report that
    //! an upstream is warm.
    milliseconds max_staleness{1900};
    milliseconds share_period{1000};      //!< period of demand reports to the shares' owners
    milliseconds share_lifetime{3000};    //!< a share expires this long after its demand report
    milliseconds longest_attempt{60000};  //!< maximum duration of an attempt
    milliseconds watch_timeout{1500};     //!< duration of one long poll of the store
    milliseconds store_timeout{1500};     //!< a store call's result is unknown after this time
    milliseconds poll_period{500};        //!< period of an owner's status reads of an upstream
    milliseconds list_period{1000};       //!< period of reads of the instance list
};

}  // namespace cyclamenmount
