//! Journal writes per second at several call rates with group commit, on the real reducers with a
//! simulated clock and a store that responds at once. The baseline is one write per call and one
//! per outcome.
#include "coordination/at_most_once/tests/at_most_once_fleet.h"

#include <chrono>
#include <cstdio>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

constexpr int run_seconds = 60;
constexpr int steps_per_second = 20;

struct load_case {
    const char* name;
    std::size_t instances;
    double calls_per_second;  //!< calls per second in one cell
};

struct measurement {
    int calls{0};
    std::size_t granted{0};
    object_version writes{0};
    std::size_t value_bytes{0};
    std::size_t written_bytes{0};
    double cpu_seconds{0};
};

std::size_t stored_bytes(const test_fleet& fleet) {
    std::size_t sum = 0;
    for (const auto& entry : fleet.store.objects) {
        sum += entry.second.value.size();
    }
    return sum;
}

//! Completes the calls that have been granted.
void complete_granted_calls(test_fleet& fleet,
                            std::map<ticket, std::pair<std::size_t, std::string>>& open_calls,
                            measurement& measured) {
    for (auto entry = open_calls.begin(); entry != open_calls.end();) {
        const auto next = std::next(entry);
        if (fleet.is_granted(entry->first)) {
            ++measured.granted;
            fleet.end_call(entry->second.first, entry->second.second, entry->first,
                           {true, 200, "{\"confirmed\":true}"});
            open_calls.erase(entry);
        }
        entry = next;
    }
}

measurement measure(const load_case& load) {
    test_fleet fleet = make_fleet(load.instances);
    measurement measured;
    std::map<ticket, std::pair<std::size_t, std::string>> open_calls;
    const object_version before = fleet.store.revision;
    const auto started = std::chrono::steady_clock::now();
    double due = 0;
    for (int step = 0; step < run_seconds * steps_per_second; ++step) {
        for (due += load.calls_per_second / steps_per_second; due >= 1; due -= 1) {
            const std::size_t index = static_cast<std::size_t>(measured.calls) % load.instances;
            const std::string key = "delivery-2031-" + std::to_string(measured.calls++);
            open_calls[fleet.request_permit(index, key)] = {index, key};
        }
        fleet.advance_time(milliseconds(1000 / steps_per_second));
        complete_granted_calls(fleet, open_calls, measured);
    }
    measured.cpu_seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    measured.writes = fleet.store.revision - before;
    measured.value_bytes = stored_bytes(fleet);
    measured.written_bytes = fleet.store.written_bytes;
    return measured;
}

}  // namespace

int main() {
    const load_case load_cases[] = {{"Gwledd Encil today", 8, 2},
                                    {"Playsafe today", 8, 4},
                                    {"target, one cell", 32, 10},
                                    {"target, burst", 32, 100},
                                    {"overload", 32, 1000}};
    std::printf("%-20s %9s %8s %9s %10s %12s %12s %12s %14s\n", "size", "instances", "calls/s",
                "granted", "writes/s", "single/s", "bytes/call", "KB written/s", "us/call, all");
    for (const load_case& load : load_cases) {
        const measurement measured = measure(load);
        std::printf("%-20s %9zu %8.0f %9zu %10.1f %12.1f %12.0f %12.1f %14.1f\n", load.name,
                    load.instances, load.calls_per_second, measured.granted,
                    static_cast<double>(measured.writes) / run_seconds, 2 * load.calls_per_second,
                    static_cast<double>(measured.value_bytes) / measured.calls,
                    static_cast<double>(measured.written_bytes) / 1024 / run_seconds,
                    measured.cpu_seconds * 1e6 / measured.calls);
    }
    return 0;
}
