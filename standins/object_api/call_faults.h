//! Faults that the stand-in of the Object API shows on request, its rates and its counters.
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
    int lose_answers{0};  //!< writes still to be carried out without an answer
    bool silent_watches{false};
    milliseconds list_lag{0};
    int writes_per_second{0};  //!< 0: unlimited
    int reads_per_second{0};   //!< 0: unlimited
};

//! Sets the fields that are named.
void apply_fault(call_faults& faults, const nlohmann::json& wanted);

//! Calls left in the present second.
struct rate_window {
    instant starts;
    int used{0};
};

//! Counts one call; false if it is over the rate.
bool take_call(rate_window& window, int per_second, instant now);

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
