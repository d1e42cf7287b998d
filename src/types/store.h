//! Data of calls to the platform's Object API.
#pragma once

#include "types/fleet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenmount {

//! Components of coordination. The reply to a store call goes to the component that issued the
//! call; a log line names the component that wrote it.
enum class component {
    roster,
    documents,
    slots,
    shares,
    quarantine,
    once,
    registry,
    dispatch,
    admission,
    orders,
};

//! Correlation number of a store call and its reply, unique per component.
struct store_ticket {
    component owner{component::roster};
    std::uint64_t number{0};

    auto operator<=>(const store_ticket&) const = default;
};

enum class store_status {
    ok,
    missing,   //!< no such object
    conflict,  //!< the version had changed; the write had no effect
    refused,   //!< over a limit or not sent; the call had no effect
    unknown,   //!< no usable response; a write may have taken effect
};

struct stored_object {
    std::string key;
    object_version version{0};
    std::string value;
    bool deleted{false};  //!< the object was deleted at `version`; the value is empty
};

}  // namespace cyclamenmount
