//! Three stage pools with calls of 150 ms and 10 ms a piece, at most 8 pieces a call.
#pragma once

#include "serving/types/catalogue.h"

namespace cyclamenmount::testing {

inline catalogue make_chain_lists() {
    catalogue lists;
    for (const char* name : {"a", "b", "c"}) {
        pool_limits pool;
        pool.name = {name};
        pool.stage = stage_limits{8, 150, 10, 36, 4000ms};
        lists.pools[pool.name] = pool;
    }
    return lists;
}

}  // namespace cyclamenmount::testing
