//! Serving configuration: routes, pools, workspaces and limits for callers.
#pragma once

#include "types/ids.h"
#include "types/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenmount {

//! How often the upstreams may run a request.
enum class request_kind {
    idempotent,      //!< may run more than once; safe to repeat
    non_idempotent,  //!< runs at most once
    stream,          //!< answered with events; runs at most once unless the route is resumable
};

//! A stage that has to complete before the request itself can run.
struct route_stage {
    pool_name pool;
    std::vector<std::size_t> after;  //!< indexes of the stages whose results it needs
    std::uint64_t result_bytes{0};   //!< approximate size of the result of one piece
};

//! A pool and its part of the traffic of a route.
struct weighted_pool {
    pool_name pool;
    int weight{1};  //!< share of the requests, relative to the weights of the other pools
};

//! How requests of one host and path prefix are served.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix;  //!< begins and ends with a slash
    request_kind kind{request_kind::non_idempotent};
    milliseconds timeout{0};    //!< longest time until the response is complete
    milliseconds objective{0};  //!< target time to the response, or to the first event of a stream
    milliseconds max_event_gap{0};  //!< target for the longest gap between events of a stream
    int priority{0};                //!< 0 is the most urgent priority
    int max_attempts{1};            //!< number of upstreams that a request may be sent to
    std::vector<weighted_pool> pools;
    std::vector<route_stage> stages;
    bool is_public{false};     //!< requests need no key
    bool is_resumable{false};  //!< an interrupted stream may continue on another upstream
    bool is_usable{true};      //!< false: host and path are known, but not all of the rest
};

//! How the upstreams of a pool process the pieces of a stage.
struct stage_limits {
    int batch{1};                     //!< maximum number of pieces in one call
    double call_ms{0};                //!< fixed time of a call in milliseconds
    double piece_ms{0};               //!< approximate time in milliseconds that each piece adds
    double result_mb{0};              //!< memory of one upstream for results, in megabytes
    milliseconds result_lifetime{0};  //!< lifetime of a result after its call
};

//! Capacity of one model engine.
struct engine_limits {
    int slots{1};                   //!< requests that run at the same time
    std::uint64_t cache_tokens{0};  //!< size of the key-value cache in tokens
};

//! Limits of the upstreams of one pool.
struct pool_limits {
    pool_name name;
    int max_connections{0};     //!< maximum connections to one upstream, shared by all instances
    double cold_per_second{0};  //!< request rate that a cold upstream tolerates; 0 if never cold
    std::optional<stage_limits> stage;    //!< set if the pool processes stages
    std::optional<engine_limits> engine;  //!< set if the pool runs model engines
};

//! A workspace that sends requests.
struct serving_workspace {
    workspace_name name;
    std::optional<int> priority;  //!< overrides the priority of the route
};

//! Limits of connections and requests from callers.
struct caller_limits {
    std::size_t header_bytes{16384};
    std::size_t body_bytes{std::size_t{4} * 1024 * 1024};
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

//! One version of the serving configuration, put in force by operators.
struct serving_config {
    std::uint64_t version{0};
    std::vector<route> routes;
    std::map<pool_name, pool_limits> pools;
    std::unordered_map<std::string, serving_workspace> workspaces_by_key;
    bool has_workspaces{false};           //!< if false, requests carry no key
    bool has_all_keys{true};              //!< false: a workspace or a key of it couldn't be read
    std::vector<std::string> unreadable;  //!< parts that couldn't be read, for the log
    caller_limits limits;
};

}  // namespace cyclamenmount
