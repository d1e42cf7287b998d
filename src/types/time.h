//! Monotonic clock that includes the time that the machine is suspended.
#pragma once

#include <chrono>
#include <ctime>

namespace cyclamenmount {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

//! CLOCK_BOOTTIME in milliseconds. Only I/O code reads it; reducers receive the time as a
//! parameter.
struct boot_clock {
    using duration = milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept {
        timespec value{};
        clock_gettime(CLOCK_BOOTTIME, &value);
        const auto since_boot =
            std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
        return time_point(std::chrono::duration_cast<duration>(since_boot));
    }
};

using instant = boot_clock::time_point;

}  // namespace cyclamenmount
