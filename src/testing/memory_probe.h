//! Measures the memory of a test process, e.g. while code under test receives bytes without end.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <thread>

#include <unistd.h>

namespace cyclamenmount::testing {

//! Resident memory of this process, in bytes.
inline std::size_t resident_bytes() {
    unsigned long total = 0;
    unsigned long resident = 0;
    std::FILE* const file = std::fopen("/proc/self/statm", "r");
    if (file == nullptr) {
        return 0;
    }
    const bool is_read = std::fscanf(file, "%lu %lu", &total, &resident) == 2;
    (void)std::fclose(file);
    return is_read ? resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) : 0;
}

//! Records the highest resident memory from its construction on.
class memory_probe {
public:
    memory_probe()
        : at_start_(resident_bytes()), peak_(at_start_), sampler_([this] { sample(); }) {}

    ~memory_probe() {
        is_ended_ = true;
        sampler_.join();
    }

    memory_probe(const memory_probe&) = delete;
    memory_probe& operator=(const memory_probe&) = delete;
    memory_probe(memory_probe&&) = delete;
    memory_probe& operator=(memory_probe&&) = delete;

    //! Highest memory so far above that at the construction, in bytes.
    [[nodiscard]] std::size_t growth() const {
        return peak_ - at_start_;
    }

private:
    void sample() {
        while (!is_ended_) {
            peak_ = std::max<std::size_t>(peak_, resident_bytes());
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    std::size_t at_start_;
    std::atomic<std::size_t> peak_;
    std::atomic<bool> is_ended_{false};
    std::thread sampler_;
};

}  // namespace cyclamenmount::testing
