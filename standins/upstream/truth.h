//! What an upstream counted itself; the judge of tests and benchmarks.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

namespace cyclamenmount::standins {

struct upstream_truth {
    std::uint64_t runs{0};
    std::uint64_t refused{0};  //!< answered `not_run`
    std::uint64_t crashes{0};
    std::uint64_t crashes_by_text{0};  //!< of these, through `crash_on`
    std::uint64_t cancelled{0};
    std::uint64_t abandoned{0};  //!< the client closed before the end
    std::uint64_t tokens{0};
    std::uint64_t status_reads{0};
    int max_in_flight_cold{0};
    std::uint64_t over_cold{0};
    std::uint64_t over_cold_grace{0};  //!< shortly after it had turned cold without warning
    std::uint64_t while_out{0};
    std::uint64_t while_leaving{0};
    std::uint64_t repeated_attempts{0};  //!< the same attempt id arrived again
    std::uint64_t orders{0};
    std::uint64_t orders_refused{0};
    std::uint64_t orders_older_fence{0};  //!< applied although a newer fence had been seen
    std::map<std::string, std::uint64_t> runs_by_key;
    std::map<std::string, std::uint64_t> runs_by_request;
    std::map<std::string, std::uint64_t> runs_by_zone;
    std::map<std::string, std::uint64_t> runs_by_mark;  //!< by the word `mark=...` in the input
    std::set<std::string> attempts;
};

nlohmann::json truth_to_json(const upstream_truth& truth);

}  // namespace cyclamenmount::standins
