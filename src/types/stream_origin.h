//! Where a stream of events began.
#pragma once

#include "types/ids.h"

#include <map>
#include <set>

namespace cyclamenmount {

//! The pool and the software version of the upstream that wrote the first event of a stream.
struct stream_origin {
    pool_name pool;
    software_version version;

    auto operator<=>(const stream_origin&) const = default;
};

//! Software versions by pool.
using pool_versions = std::map<pool_name, std::set<software_version>>;

}  // namespace cyclamenmount
