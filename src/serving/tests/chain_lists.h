//! Serving configuration of three stage pools: a call takes 150 ms plus 10 ms per piece, at most 8
//! pieces.
#pragma once

#include "serving/types/catalogue.h"

namespace cyclamenmount::testing {

inline catalogue make_stage_graph_config() {
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
