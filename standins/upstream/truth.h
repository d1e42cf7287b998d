//! Counters kept by a simulated upstream: the ground truth that tests and benchmarks check against.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

namespace cyclamenmount::standins {

struct upstream_truth {
    std::uint64_t runs{0};
    std::uint64_t refused{0};  //!< attempts refused with `not_run`
    std::uint64_t crashes{0};
    std::uint64_t crashes_by_text{0};  //!< crashes caused by the `crash_on` fault
    std::uint64_t cancelled{0};
    std::uint64_t abandoned{0};  //!< attempts whose client disconnected before the end
    std::uint64_t tokens{0};
    std::uint64_t status_reads{0};
    int max_in_flight_cold{0};
    std::uint64_t over_cold{0};        //!< starts above the cold capacity after the grace period
    std::uint64_t over_cold_grace{0};  //!< starts above the cold capacity within the grace period
    std::uint64_t while_out{0};        //!< attempts received while marked out of service
    std::uint64_t while_leaving{0};
    std::uint64_t repeated_attempts{0};  //!< starts of an attempt id that had run before
    std::uint64_t orders{0};
    std::uint64_t orders_refused{0};
    //! Commands applied in spite of an outdated fencing token.
    std::uint64_t orders_older_fence{0};
    std::map<std::string, std::uint64_t> runs_by_key;
    std::map<std::string, std::uint64_t> runs_by_request;
    std::map<std::string, std::uint64_t> runs_by_zone;
    //! Runs by the word `mark=...` in the input.
    std::map<std::string, std::uint64_t> runs_by_mark;
    std::set<std::string> attempts;
};

nlohmann::json truth_to_json(const upstream_truth& truth);

}  // namespace cyclamenmount::standins
