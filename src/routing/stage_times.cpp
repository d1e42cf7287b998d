#include "routing/stage_times.h"

#include <algorithm>
#include <cmath>

namespace cyclamenmount {

namespace {

constexpr double max_duration_ms = 120'000;  //!< upper bound of the last bucket
constexpr double min_samples = 10;
constexpr double max_samples = 1'000;  //!< the counts are halved at this number of samples

//! Ratio of the upper bounds of two adjacent buckets.
double bucket_ratio() {
    static const double ratio = std::pow(max_duration_ms, 1.0 / (stage_times::buckets - 1));
    return ratio;
}

std::size_t bucket_of(milliseconds value) {
    const double ms = std::max(1.0, static_cast<double>(value.count()));
    const double position = std::ceil(std::log(ms) / std::log(bucket_ratio()) - 1e-9);
    return std::min(static_cast<std::size_t>(position), stage_times::buckets - 1);
}

milliseconds upper_bound_of(std::size_t bucket) {
    const double bound = std::pow(bucket_ratio(), static_cast<double>(bucket));
    return milliseconds(static_cast<std::int64_t>(std::ceil(bound)));
}

using counts = std::array<double, stage_times::buckets>;

void halve(counts& values) {
    for (double& value : values) {
        value /= 2;
    }
}

milliseconds quantile(const counts& values, double q) {
    double total = 0;
    for (const double value : values) {
        total += value;
    }
    if (total <= 0) {
        return milliseconds(0);
    }
    const double wanted = std::clamp(q, 0.0, 1.0) * total;
    double sum = 0;
    for (std::size_t i = 0; i < values.size(); ++i) {
        sum += values[i];
        if (sum >= wanted && values[i] > 0) {
            return upper_bound_of(i);
        }
    }
    return upper_bound_of(values.size() - 1);
}

}  // namespace

void record_time(stage_times& times, milliseconds duration, milliseconds first_byte_time) {
    times.durations[bucket_of(duration)] += 1;
    if (first_byte_time.count() > 0) {
        times.first_byte_times[bucket_of(first_byte_time)] += 1;
    }
    times.samples += 1;
    if (times.samples >= max_samples) {
        halve(times.durations);
        halve(times.first_byte_times);
        times.samples /= 2;
    }
}

milliseconds duration_quantile(const stage_times& times, double q) {
    return times.samples < min_samples ? milliseconds(0) : quantile(times.durations, q);
}

milliseconds first_byte_quantile(const stage_times& times, double q) {
    return times.samples < min_samples ? milliseconds(0) : quantile(times.first_byte_times, q);
}

}  // namespace cyclamenmount
