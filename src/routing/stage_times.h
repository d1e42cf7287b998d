//! Measured durations of a pool's stage attempts, for deadlines and hedges.
#pragma once

#include "types/time.h"

#include <array>
#include <cstdint>

namespace cyclamenmount {

//! Histograms with logarithmic buckets from 1 ms to two minutes. The counts are halved regularly,
//! so that older samples have less weight.
struct stage_times {
    static constexpr std::size_t buckets = 64;
    //! Sample counts of the duration of the whole stage.
    std::array<double, buckets> durations{};
    //! Sample counts of the time to the first byte.
    std::array<double, buckets> first_byte_times{};
    double samples{0};  //!< number of samples, halved with the counts
};

//! Adds a sample; a `first_byte_time` of 0 ms means that it isn't known.
void record_time(stage_times& times, milliseconds duration, milliseconds first_byte_time);

//! Quantile `q` in [0, 1] of the duration of the whole stage; 0 ms with fewer than 10 samples.
milliseconds duration_quantile(const stage_times& times, double q);

//! Quantile `q` in [0, 1] of the time to the first byte; 0 ms with fewer than 10 samples.
milliseconds first_byte_quantile(const stage_times& times, double q);

}  // namespace cyclamenmount
