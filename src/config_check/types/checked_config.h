//! Input and findings of the check of a serving configuration.
#pragma once

#include "serving/types/serving_config.h"

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenmount {

//! A workspace with the keys that the configuration lists for it.
struct listed_workspace {
    serving_workspace workspace;
    std::vector<std::string> keys;
};

//! A serving configuration with the entries that look-ups don't need: those that are listed twice,
//! and workspaces without keys.
struct checked_config {
    serving_config config;
    std::vector<pool_name> listed_pools;  //!< in the order of the list, with repetitions
    std::vector<listed_workspace> workspaces;
};

enum class finding_severity {
    error,       //!< requests would fail, or be served in another way than the entry says
    warning,     //!< the entry has no effect, or its limits contradict each other
    difference,  //!< differs from the version in force
};

//! Returns the name of a severity for texts and JSON.
constexpr std::string_view enum_name(finding_severity value) {
    switch (value) {
    case finding_severity::error:
        return "error";
    case finding_severity::warning:
        return "warning";
    case finding_severity::difference:
        return "difference";
    }
    return "unknown";
}

struct config_finding {
    finding_severity severity{finding_severity::warning};
    std::string place;  //!< the entry, e.g. `route api.example/v1/`; never a key
    std::string text;
};

}  // namespace cyclamenmount
