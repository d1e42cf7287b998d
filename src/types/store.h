//! Calls to the platform's Object API and instance list, as plain data.
#pragma once

#include "types/fleet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenmount {

//! The coordination part that asked; replies go back to it.
enum class part {
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

struct store_ticket {
    part owner{part::roster};
    std::uint64_t number{0};

    auto operator<=>(const store_ticket&) const = default;
};

enum class store_status {
    ok,
    missing,   //!< no such object
    conflict,  //!< the conditional update lost; certain that it had no effect
    refused,   //!< over the rate or too large; certain that it had no effect
    unknown,   //!< no answer: a write may or may not have taken effect
};

struct stored_object {
    std::string key;
    object_version version{0};
    std::string value;
    bool deleted{false};
};

}  // namespace cyclamenmount
