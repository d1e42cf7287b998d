//! Settings and identity of the process that all coordination components share read-only.
#pragma once

#include "types/configuration.h"
#include "types/fleet.h"

#include <string>

namespace cyclamenmount {

//! Set at the start of the process and constant until its end.
struct environment {
    member self;                 //!< this instance
    std::string cell{"cell-1"};  //!< name of the cell; part of the roster's object key
    timing_settings timing;
    topology pools;         //!< upstream pools and pipelines from the settings
    std::uint64_t seed{0};  //!< seeds unique ids and random choices; fixed in tests
};

}  // namespace cyclamenmount
