//! Load of one upstream, by its own account.
#pragma once

#include <optional>

namespace cyclamenmount {

//! Load that an upstream reports with its responses.
struct load_report {
    int running{0};  //!< requests in progress
    int waiting{0};  //!< queued requests
    int slots{1};    //!< requests that can run at the same time
    //! Time that work takes on the upstream's machine at the moment, in percent of the usual; none
    //! if the upstream doesn't tell it.
    std::optional<int> work_time_percent{};

    bool operator==(const load_report&) const = default;
};

}  // namespace cyclamenmount
