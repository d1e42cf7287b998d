//! The operators' two lists and the topology from the settings, as plain data.
#pragma once

#include "types/ids.h"
#include "types/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenmount {

//! One workspace of the list of plans.
struct workspace_entry {
    workspace_name name;
    plan_name plan;
    std::string key_sha256;  //!< SHA-256 of the caller's key, 64 lower case hex digits
};

//! The first list: which plan each workspace holds.
struct plan_list {
    std::vector<workspace_entry> workspaces;
};

//! One plan of the list of allowances. A limit of 0 allows nothing.
struct allowance {
    plan_name plan;
    std::set<pipeline_name> pipelines;
    std::set<pool_name> services;
    double requests_per_second{0};
    int concurrent{0};  //!< requests running at once
    double tokens_per_minute{0};
    int priority{1};  //!< 0 highest to 9
};

//! The second list: what each plan may use.
struct allowance_list {
    std::map<plan_name, allowance> plans;
};

//! How an upstream pool is spoken to.
enum class pool_kind {
    engine,   //!< POST /v1/generate, a token stream
    stage,    //!< POST /v1/run
    service,  //!< POST /v1/call/OPERATION
};

struct pool_settings {
    pool_name name;
    pool_kind kind{pool_kind::stage};
    int capacity{8};           //!< concurrent attempts of one warm upstream
    int cold_capacity{1};      //!< concurrent attempts of one cold upstream, over all instances
    bool checks_fence{false};  //!< refuses orders with an older fencing number
    std::set<std::string> idempotent;  //!< operations of a service that may be repeated
};

struct stage_settings {
    stage_name name;
    pool_name pool;
};

struct pipeline_settings {
    pipeline_name name;
    std::vector<stage_settings> stages;
    milliseconds deadline{5000};  //!< used when the caller gives none
};

struct topology {
    std::map<pool_name, pool_settings> pools;
    std::map<pipeline_name, pipeline_settings> pipelines;
};

//! Periods and bounds of the coordination parts. Every instance of a fleet uses the same.
struct timing_settings {
    milliseconds tick{50};                //!< period of the tick event
    milliseconds heartbeat{500};          //!< period of pings to every member
    milliseconds fence{2000};             //!< a home acts only within this time of a heard majority
    milliseconds fence_margin{300};       //!< added by a new home for clock rates
    milliseconds suspect_after{3000};     //!< a silent member is proposed for removal
    milliseconds start_window{500};       //!< a granted slot must be used within this time
    milliseconds vouch{1900};             //!< older news of what is out counts as none
    milliseconds share_period{1000};      //!< between two divisions of a limit
    milliseconds share_lapse{3000};       //!< a share not renewed for this long lapses
    milliseconds longest_attempt{60000};  //!< no attempt lasts longer
    milliseconds watch_timeout{1500};     //!< a watch is asked anew after this time
    milliseconds store_timeout{1500};     //!< a store call without an answer counts as unknown
    milliseconds poll_period{500};        //!< between two status reads of an upstream by its home
    milliseconds list_period{1000};       //!< between two reads of the instance list
};

}  // namespace cyclamenmount
