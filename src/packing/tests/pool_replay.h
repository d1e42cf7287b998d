//! Test fixture: replays jobs at a pool whose upstreams have limited memory for results.
#pragma once

#include "packing/packer.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace cyclamenmount::testing {

//! The simulated pool.
struct pool_model {
    stage_limits limits{8, 150, 16, 36, 4000ms};
    std::vector<double> speeds{1, 1, 1};  //!< duration factor of each upstream
    milliseconds residence{500};          //!< time after its call for which a result is needed
    int retries{0};                       //!< how often a refused caller submits its job again
    bool retries_at_once{true};           //!< without waiting for the suggested delay
};

struct replay_outcome {
    int on_time{0};  //!< completed by the soft deadline
    std::map<int, int> on_time_by_priority;
    std::map<std::string, int> on_time_by_label;
    int completed{0};  //!< completed at all
    int rejected{0};
    milliseconds longest_rejected_wait{0};  //!< time from the submission to a rejection
    std::vector<milliseconds> retry_after;  //!< of the rejections, in order
};

struct submitted_job {
    instant submitted_at{};
    stage_job job;
    std::string label{};  //!< by which the outcome counts it
};

//! Replays jobs, sorted by `submitted_at`, at a packer until all have ended.
replay_outcome replay_packer(const pool_model& pool, std::span<const submitted_job> load);

//! The same load without forecast and order: jobs are served in the order of their submission, and
//! none is rejected before its hard deadline.
replay_outcome replay_first_in_first_out(const pool_model& pool,
                                         std::span<const submitted_job> load);

}  // namespace cyclamenmount::testing
