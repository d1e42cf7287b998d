//! Whether a request may be served at all: its route, its key, and what this instance knows.
#pragma once

#include "serving/types/fleet_view.h"
#include "types/errors.h"

#include <string_view>

namespace cyclamenmount {

struct request_target {
    std::string_view host;
    std::string_view path;  //!< without the query
    std::string_view key;   //!< empty if the caller sent none
};

struct admitted_request {
    std::shared_ptr<const catalogue> lists;  //!< keeps `matched` alive
    const route* matched{nullptr};
    workspace_name workspace;  //!< empty if the route is public and no key was sent
    int priority{0};
};

//! Refuses for good (unknown target or key) only while the store is reached; an instance that may
//! not know the newest configuration refuses for now.
decided<admitted_request> admit(const fleet_view& view, const request_target& target);

}  // namespace cyclamenmount
