//! Journal writes a second against calls a second, with group commit, on the real reducers with a
//! fake clock and a store that answers at once. One write a call and one an outcome is the
//! baseline.
#include "coordination/once/tests/once_fleet.h"

#include <chrono>
#include <cstdio>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

constexpr int run_seconds = 60;
constexpr int steps_a_second = 20;

struct size_case {
    const char* name;
    std::size_t instances;
    double calls_a_second;  //!< of one cell
};

struct figures {
    int calls{0};
    std::size_t granted{0};
    object_version writes{0};
    std::size_t value_bytes{0};
    std::size_t written_bytes{0};
    double processor_seconds{0};
};

std::size_t stored_bytes(const fleet& all) {
    std::size_t sum = 0;
    for (const auto& place : all.store.objects) {
        sum += place.second.value.size();
    }
    return sum;
}

//! Ends what was granted in the step before.
void end_calls(fleet& all, std::map<ticket, std::pair<std::size_t, std::string>>& open,
               figures& seen) {
    for (auto place = open.begin(); place != open.end();) {
        const auto next = std::next(place);
        if (all.is_granted(place->first)) {
            ++seen.granted;
            all.end_call(place->second.first, place->second.second, place->first,
                         {true, 200, "{\"confirmed\":true}"});
            open.erase(place);
        }
        place = next;
    }
}

figures measure(const size_case& size) {
    fleet all = make_fleet(size.instances);
    figures seen;
    std::map<ticket, std::pair<std::size_t, std::string>> open;
    const object_version before = all.store.revision;
    const auto started = std::chrono::steady_clock::now();
    double due = 0;
    for (int step = 0; step < run_seconds * steps_a_second; ++step) {
        for (due += size.calls_a_second / steps_a_second; due >= 1; due -= 1) {
            const std::size_t index = static_cast<std::size_t>(seen.calls) % size.instances;
            const std::string key = "delivery-2031-" + std::to_string(seen.calls++);
            open[all.ask(index, key)] = {index, key};
        }
        all.pass(milliseconds(1000 / steps_a_second));
        end_calls(all, open, seen);
    }
    seen.processor_seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
    seen.writes = all.store.revision - before;
    seen.value_bytes = stored_bytes(all);
    seen.written_bytes = all.store.written_bytes;
    return seen;
}

}  // namespace

int main() {
    const size_case sizes[] = {{"Gwledd Encil today", 8, 2},
                               {"Playsafe today", 8, 4},
                               {"target, one cell", 32, 10},
                               {"target, burst", 32, 100},
                               {"overload", 32, 1000}};
    std::printf("%-20s %9s %8s %9s %10s %12s %12s %12s %14s\n", "size", "instances", "calls/s",
                "granted", "writes/s", "single/s", "bytes/call", "KB written/s", "us/call, all");
    for (const size_case& size : sizes) {
        const figures seen = measure(size);
        std::printf("%-20s %9zu %8.0f %9zu %10.1f %12.1f %12.0f %12.1f %14.1f\n", size.name,
                    size.instances, size.calls_a_second, seen.granted,
                    static_cast<double>(seen.writes) / run_seconds, 2 * size.calls_a_second,
                    static_cast<double>(seen.value_bytes) / seen.calls,
                    static_cast<double>(seen.written_bytes) / 1024 / run_seconds,
                    seen.processor_seconds * 1e6 / seen.calls);
    }
    return 0;
}
