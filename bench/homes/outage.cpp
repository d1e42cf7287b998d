#include "outage.h"

#include "codec/codec.h"
#include "coordination/roster/tests/fleet.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>

namespace cyclamenmount::bench {

namespace {

using namespace cyclamenmount::testing;

constexpr milliseconds lease_time{3000};     // as long as `suspect_after`
constexpr milliseconds lease_renewal{1000};  // one write
constexpr milliseconds observed{30000};      // after each fault
constexpr int lease_keys = 48;               // upstreams of Playsafe and its workspaces

struct fault {
    const char* name;
    std::function<void(fleet&)> start;
    std::function<void(fleet&)> end;  //!< after `lasts`
    milliseconds lasts{0};
    bool store_down{false};
    bool home_gone{true};  //!< without giving a lease back
};

const fault faults[] = {
    {"home killed", [](fleet& all) { kill_node(all, "a"); }, [](fleet&) {}, 0ms, false, true},
    {"home killed, list drops it",
     [](fleet& all) {
         kill_node(all, "a");
         drop_from_list(all, "a");
     },
     [](fleet&) {}, 0ms, false, true},
    {"home paused for 10 s", [](fleet& all) { pause_node(all, "a"); },
     [](fleet& all) { wake_node(all, "a"); }, 10s, false, true},
    {"home stops in good order", [](fleet& all) { give(all, find_node(all, "a"), stop_wanted{}); },
     [](fleet&) {}, 0ms, false, false},
    {"store down for 20 s", [](fleet& all) { all.store_down = true; },
     [](fleet& all) { all.store_down = false; }, 20s, true, false},
    {"store down 20 s, home killed",
     [](fleet& all) {
         all.store_down = true;
         kill_node(all, "a");
     },
     [](fleet& all) { all.store_down = false; }, 20s, true, true},
};

struct outage {
    milliseconds own{0};    //!< longest time without an actor, keys of the lost home
    milliseconds other{0};  //!< the same, all other keys
    int violations{0};
};

std::vector<std::string> ids_of(int count) {
    std::vector<std::string> ids;
    for (int i = 0; i < count; ++i) {
        ids.emplace_back(1, static_cast<char>('a' + i));
    }
    return ids;
}

outage measure(const fault& one, int count) {
    fleet all = make_fleet();
    start_settled(all, ids_of(count));
    run_for(all, 3s);
    std::map<std::string, milliseconds> without;
    std::map<std::string, std::string> home;
    for (const auto& key : all.keys) {
        home[key] = home_of(all.nodes[0].state, key)->id.value;
    }
    outage result;
    one.start(all);
    for (milliseconds t{0}; t < observed; t += all.timing.tick) {
        if (t == one.lasts && one.lasts > 0ms) {
            one.end(all);
        }
        run_for(all, all.timing.tick);
        for (const auto& key : all.keys) {
            auto& gap = without[key];
            gap = actors(all, key).empty() ? gap + all.timing.tick : 0ms;
            auto& longest = home[key] == "a" ? result.own : result.other;
            longest = std::max(longest, gap);
        }
    }
    result.violations = all.counters.violations;
    return result;
}

//! A lease in the store lapses when it isn't renewed, and can't be taken while the store is down.
milliseconds lease_gap(const fault& one) {
    if (one.store_down) {
        return one.lasts - (one.home_gone ? 0ms : lease_time - lease_renewal) + lease_renewal;
    }
    return one.home_gone ? lease_time : 0ms;
}

milliseconds lease_gap_of_others(const fault& one) {
    return one.store_down ? one.lasts - (lease_time - lease_renewal) : 0ms;
}

std::size_t ping_bytes() {
    ping asked;
    asked.from = {{"0123456789abcdef"}, "10.0.0.1:7400", {"cymru-west-1"}};
    asked.sequence = 100000;
    asked.versions = {12, true, 1000, 1000, 1000, 1ULL << 60U, 1ULL << 60U};
    pong answer{asked.sequence, asked.versions};
    return encode_message(asked).size() + encode_message(answer).size();
}

}  // namespace

void print_outages() {
    std::printf("\nLongest time without a home, ms (8 instances, %zu keys; leases: model of %lld s "
                "leases renewed each second; no homes: none is needed, nothing is exclusive)\n",
                make_fleet().keys.size(), static_cast<long long>(lease_time / 1s));
    std::printf("%-30s %10s %10s %11s %13s %13s\n", "fault", "own keys", "others", "violations",
                "lease: own", "lease: others");
    for (const auto& one : faults) {
        const auto result = measure(one, 8);
        std::printf("%-30s %10lld %10lld %11d %13lld %13lld\n", one.name,
                    static_cast<long long>(result.own.count()),
                    static_cast<long long>(result.other.count()), result.violations,
                    static_cast<long long>(lease_gap(one).count()),
                    static_cast<long long>(lease_gap_of_others(one).count()));
    }
}

void print_costs() {
    std::printf("\nIdle fleet, per instance and second (message bytes before HTTP/2)\n");
    std::printf("%7s %12s %10s %9s %11s %14s %14s\n", "members", "roster calls", "list reads",
                "messages", "bytes sent", "reducer us", "lease writes");
    for (const int count : {2, 4, 8, 16}) {
        fleet all = make_fleet();
        all.keys.clear();
        start_settled(all, ids_of(count));
        run_for(all, 3s);
        all.counters = {};
        const auto start = std::chrono::steady_clock::now();
        run_for(all, 60s);
        const std::chrono::duration<double, std::micro> took =
            std::chrono::steady_clock::now() - start;
        const double each = 60.0 * count;
        const double messages = all.counters.messages / each;
        std::printf("%7d %12.2f %10.2f %9.1f %11.0f %14.0f %14.1f\n", count,
                    all.counters.store_calls / each, all.counters.list_reads / each, messages,
                    messages * static_cast<double>(ping_bytes()) / 2, took.count() / each,
                    static_cast<double>(lease_keys) / count / (lease_renewal / 1s));
    }
}

}  // namespace cyclamenmount::bench
