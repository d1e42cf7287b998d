//! Admission of requests by route and API key.
#pragma once

#include "serving/types/fleet_view.h"
#include "types/errors.h"

#include <optional>
#include <string_view>

namespace cyclamenmount {

//! The parts of a request that decide on its admission.
struct request_target {
    std::string_view host;
    std::string_view path;  //!< path without the query
    std::string_view key;   //!< API key; empty if the caller sent none
};

//! Route, workspace and priority of an admitted request.
struct admitted_request {
    std::shared_ptr<const serving_config> config;  //!< owns the route in `matched`
    const route* matched{nullptr};
    workspace_name workspace;  //!< empty if the route is public and no key was sent
    int priority{0};           //!< 0 is the most urgent priority
};

//! How long ago the store confirmed what an instance knows, and from which age on a change that has
//! to be in force may be missing.
struct knowledge_age {
    std::optional<milliseconds> age;  //!< none if the store has never confirmed it
    milliseconds max{0};
};

//! Returns true if no change that has to be in force can be missing.
constexpr bool is_current(const knowledge_age& known) {
    return known.age && *known.age < known.max;
}

//! Refuses an unknown route or key permanently only by a configuration that is current. With an
//! older one, or if the part that decides couldn't be read, the refusal is `not_ready` with a time
//! to retry.
decided<admitted_request> admit(const fleet_view& view, const request_target& target,
                                const knowledge_age& configuration);

//! Returns the time after which a caller should retry at an instance that has been without a
//! configuration for `waited`. An outage of the store that has lasted long is likely to last
//! longer.
milliseconds startup_retry_after(milliseconds waited);

}  // namespace cyclamenmount
