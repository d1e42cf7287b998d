//! Settings of one simulated upstream.
#pragma once

#include "types/errors.h"

#include <string>
#include <string_view>

namespace cyclamenmount::standins {

enum class upstream_kind { engine, stage, service };

struct upstream_settings {
    std::string id;
    std::string listen{"127.0.0.1:0"};
    std::string pool;
    upstream_kind kind{upstream_kind::stage};
    std::string zone;
    int capacity{8};
    int cold_capacity{1};
    bool starts_warm{false};
    bool checks_fencing_token{false};
    int queue{8};  //!< length of an engine's wait queue, ordered by priority
    milliseconds warm_after{3000};
    milliseconds stage_time{20};
    milliseconds token_time{5};
    std::chrono::microseconds zone_delay{0};  //!< one-way delay for callers in another zone
    int threads{96};
};

//! Parses settings of the form
//! `id=E1,listen=IP:PORT,pool=engines,kind=engine,zone=Z,capacity=8,cold=1`; further keys:
//! `warm`, `fence`, `queue`, `warm_after_ms`, `stage_ms`, `token_ms`, `zone_delay_us`, `threads`.
result<upstream_settings> parse_upstream_settings(std::string_view text);

}  // namespace cyclamenmount::standins
