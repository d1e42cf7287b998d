//! What every coordination part may read: fixed settings and the time of the event.
#pragma once

#include "types/configuration.h"
#include "types/fleet.h"

#include <string>

namespace cyclamenmount {

//! Fixed from the start of the process to its end.
struct environment {
    member self;
    std::string cell{"cell-1"};
    timing_settings timing;
    topology pools;
    std::uint64_t seed{0};  //!< for unique ids and random choices; fixed in tests
};

}  // namespace cyclamenmount
