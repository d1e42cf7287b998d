//! Stage job: the pieces that an instance requests from the packer of a pool.
#pragma once

#include "serving/types/serving_config.h"
#include "types/peer_messages.h"

#include <compare>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenmount {

//! Identifies a job; unique in the fleet.
struct job_id {
    instance_id requester;    //!< instance that submitted the job
    std::uint64_t number{0};  //!< unique among the jobs of that instance

    auto operator<=>(const job_id&) const = default;
};

//! Identifies a call of one packer; 0: none.
using call_number = std::uint64_t;

//! All pieces of one stage of one request.
struct stage_job {
    job_id id;
    std::string request;   //!< request id
    std::size_t stage{0};  //!< index of the stage in the route
    int pieces{0};
    std::string key;  //!< input key of a stage without inputs
    //! Result handles of earlier stages; null for a stage without inputs.
    std::shared_ptr<const std::vector<std::string>> inputs;
    std::uint64_t result_bytes{0};  //!< approximate size of the result of one piece
    instant soft_deadline{};        //!< latest time for the request to meet its objective
    instant hard_deadline{};        //!< latest time for the request to be answered at all
    int priority{0};                //!< 0 is the most urgent
    int depth{0};                   //!< number of earlier stages of the request that are completed
    zone_name zone;                 //!< preferred zone; empty: no preference
    std::string crash_key;          //!< by which a request that crashes upstreams is known
    //! Workspace whose share of the pool the job uses; empty: none, the job is in no share.
    workspace_name workspace;
    //! Bytes transferred between zones if the job runs outside the preferred zone.
    std::uint64_t bytes_to_zone{0};
};

//! Identity and location of one upstream of a pool.
struct pool_upstream {
    upstream_id id;
    std::string address;
    zone_name zone;
    std::uint64_t started_at_ms{0};  //!< Unix time in ms; tells apart incarnations with one id

    bool operator==(const pool_upstream&) const = default;
};

}  // namespace cyclamenmount
