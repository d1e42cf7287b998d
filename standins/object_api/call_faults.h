//! Simulated faults, rate limits and call counters of the Object API stand-in.
#pragma once

#include "types/time.h"

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace cyclamenmount::standins {

struct call_faults {
    bool down{false};
    milliseconds delay{0};
    int lose_answers{0};  //!< number of writes still to be applied without a response
    bool silent_watches{false};
    milliseconds list_lag{0};
    int writes_per_second{0};  //!< 0: unlimited
    int reads_per_second{0};   //!< 0: unlimited
};

//! Sets the fields that the JSON object contains; the others keep their values.
void apply_fault(call_faults& faults, const nlohmann::json& wanted);

//! Number of calls admitted in the current window of one second.
struct rate_window {
    instant starts;
    int used{0};
};

//! Counts one call; returns false if the window's limit is reached. Limit 0: unlimited.
bool admit_call(rate_window& window, int per_second, instant now);

struct call_counters {
    std::uint64_t reads{0};
    std::uint64_t writes{0};
    std::uint64_t watches{0};
    std::uint64_t refused{0};
};

enum class call_kind { read, write, watch };

struct call_statistics {
    call_counters all;
    std::map<std::string, call_counters> per_client;
};

void count_call(call_statistics& statistics, const std::string& client, call_kind kind);
void count_refused(call_statistics& statistics, const std::string& client);
nlohmann::json statistics_to_json(const call_statistics& statistics);

}  // namespace cyclamenmount::standins
