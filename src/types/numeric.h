//! Conversion of floating-point numbers to integers and times.
//!
//! A cast and std::lround of a number that the integer can't hold are undefined: x86-64 gives the
//! least integer, arm64 the nearest one. These functions give the nearest one, and 0 for NaN.
#pragma once

#include "types/time.h"

#include <algorithm>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>

namespace cyclamenmount {

//! Longest time that a message, a setting or an estimate can name. Sums of some of them don't
//! overflow.
inline constexpr milliseconds max_time{std::chrono::hours(24 * 365 * 100)};

//! `value` without its fraction.
template <std::integral T>
T truncate_to(double value) {
    if (std::isnan(value)) {
        return 0;
    }
    // As a double, the greatest number of T may be the next power of two, which T can't hold.
    if (value >= static_cast<double>(std::numeric_limits<T>::max())) {
        return std::numeric_limits<T>::max();
    }
    if (value <= static_cast<double>(std::numeric_limits<T>::min())) {
        return std::numeric_limits<T>::min();
    }
    return static_cast<T>(value);
}

//! The integer nearest to `value`; halves away from 0.
template <std::integral T>
T round_to(double value) {
    return truncate_to<T>(std::round(value));
}

//! A number of milliseconds as time, rounded, between -max_time and max_time.
inline milliseconds to_milliseconds(double value) {
    return std::clamp(milliseconds(round_to<std::int64_t>(value)), -max_time, max_time);
}

}  // namespace cyclamenmount
