//! Measured times of a pool, for deadlines and hedges.
#pragma once

#include "types/time.h"

#include <array>
#include <cstdint>

namespace cyclamenmount {

//! Log-spaced counts of durations up to about two minutes, halved now and then so that old ones
//! fade.
struct stage_times {
    static constexpr std::size_t buckets = 64;
    std::array<double, buckets> took{};
    std::array<double, buckets> first_byte{};
    double samples{0};
};

void record_time(stage_times& times, milliseconds took, milliseconds first_byte);

//! Quantile of the whole stage, `q` in [0, 1]; 0 ms if fewer than 10 samples.
milliseconds took_quantile(const stage_times& times, double q);

//! Quantile of the first byte, likewise.
milliseconds first_byte_quantile(const stage_times& times, double q);

}  // namespace cyclamenmount
