//! Serving configuration of three stage pools: a call takes 150 ms plus 10 ms per piece, at most 8
//! pieces.
#pragma once

#include "serving/types/serving_config.h"

namespace cyclamenmount::testing {

inline serving_config make_stage_graph_config() {
    serving_config config;
    for (const char* name : {"a", "b", "c"}) {
        pool_limits pool;
        pool.name = {name};
        pool.stage = stage_limits{8, 150, 10, 36, 4000ms};
        config.pools[pool.name] = pool;
    }
    return config;
}

}  // namespace cyclamenmount::testing
