//! What operators have put in force: routes, pools, workspaces and limits for callers.
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

//! What may be repeated.
enum class request_kind {
    idempotent,      //!< may run more than once
    non_idempotent,  //!< runs at most once
    stream,          //!< answers with events; runs at most once unless the route is resumable
};

//! One stage that has to be done before the request itself can run.
struct route_stage {
    pool_name pool;
    std::vector<std::size_t> after;  //!< stages whose results it needs
    std::uint64_t result_bytes{0};   //!< approximate size of the result of one piece
};

struct weighted_pool {
    pool_name pool;
    int weight{1};
};

struct route {
    std::string name;
    std::string host;
    std::string path_prefix;  //!< begins and ends with a slash
    request_kind kind{request_kind::non_idempotent};
    milliseconds timeout{0};        //!< longest time until the final answer
    milliseconds objective{0};      //!< until the answer, or until the first event of a stream
    milliseconds longest_pause{0};  //!< between two events of a stream that is still on time
    int priority{0};                //!< 0 is the most urgent
    int max_attempts{1};            //!< upstreams that one request may be sent to
    std::vector<weighted_pool> pools;
    std::vector<route_stage> stages;
    bool is_public{false};  //!< needs no key
    bool is_resumable{false};
};

//! How an upstream of a pool works on pieces of stages.
struct stage_limits {
    int batch{1};          //!< pieces in one call
    double call_ms{0};     //!< fixed time of a call
    double piece_ms{0};    //!< approximate time added by each piece
    double result_mb{0};   //!< memory for results of one upstream
    milliseconds kept{0};  //!< how long a result lasts after its call
};

//! What a model engine can hold.
struct engine_limits {
    int slots{1};
    std::uint64_t cache_tokens{0};
};

struct pool_limits {
    pool_name name;
    int max_connections{0};     //!< of one upstream, from all callers
    double cold_per_second{0};  //!< requests that one cold upstream tolerates; 0: never cold
    std::optional<stage_limits> stage;
    std::optional<engine_limits> engine;
};

struct serving_workspace {
    workspace_name name;
    std::optional<int> priority;  //!< goes before the route's
};

struct caller_limits {
    std::size_t header_bytes{16384};
    std::size_t body_bytes{std::size_t{4} * 1024 * 1024};
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

struct catalogue {
    std::uint64_t version{0};
    std::vector<route> routes;
    std::map<pool_name, pool_limits> pools;
    std::unordered_map<std::string, serving_workspace> workspaces_by_key;
    bool has_workspaces{false};  //!< if not, requests carry no key
    caller_limits limits;
};

}  // namespace cyclamenmount
