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

constexpr milliseconds lease_time{3000};     // equals `suspect_after`
constexpr milliseconds lease_renewal{1000};  // period of the renewals, one store write each
constexpr milliseconds observed{30000};      // time observed after the start of a fault
constexpr int lease_keys = 48;               // upstreams and workspaces of the Playsafe deployment

struct fault {
    const char* name;
    std::function<void(fleet&)> start;
    std::function<void(fleet&)> end;  //!< called when `lasts` has passed
    milliseconds lasts{0};
    bool store_down{false};
    bool owner_lost{true};  //!< the owner fails without releasing its lease
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
     [](fleet& all) { resume_node(all, "a"); }, 10s, false, true},
    {"home stops in good order",
     [](fleet& all) { post_event(all, find_node(all, "a"), stop_wanted{}); }, [](fleet&) {}, 0ms,
     false, false},
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
    //! Longest time without an acting owner for the keys of the failed instance.
    milliseconds own_keys{0};
    //! Longest time without an acting owner for all other keys.
    milliseconds other_keys{0};
    int violations{0};
};

std::vector<std::string> ids_of(int count) {
    std::vector<std::string> ids;
    for (int i = 0; i < count; ++i) {
        ids.emplace_back(1, static_cast<char>('a' + i));
    }
    return ids;
}

outage measure(const fault& injected, int count) {
    fleet all = make_fleet();
    start_settled(all, ids_of(count));
    run_for(all, 3s);
    std::map<std::string, milliseconds> time_without_owner;
    std::map<std::string, std::string> owner;
    for (const auto& key : all.keys) {
        owner[key] = owner_of(all.nodes[0].state, key)->id.value;
    }
    outage result;
    injected.start(all);
    for (milliseconds t{0}; t < observed; t += all.timing.tick) {
        if (t == injected.lasts && injected.lasts > 0ms) {
            injected.end(all);
        }
        run_for(all, all.timing.tick);
        for (const auto& key : all.keys) {
            auto& gap = time_without_owner[key];
            gap = actors(all, key).empty() ? gap + all.timing.tick : 0ms;
            auto& longest = owner[key] == "a" ? result.own_keys : result.other_keys;
            longest = std::max(longest, gap);
        }
    }
    result.violations = all.counters.violations;
    return result;
}

//! Models leases kept in the store: a lease expires unless renewed, and none can be acquired while
//! the store is down. Returns the time without a lease holder for the keys of the failed instance.
milliseconds lease_outage(const fault& injected) {
    if (injected.store_down) {
        return injected.lasts - (injected.owner_lost ? 0ms : lease_time - lease_renewal) +
               lease_renewal;
    }
    return injected.owner_lost ? lease_time : 0ms;
}

milliseconds lease_outage_of_others(const fault& injected) {
    return injected.store_down ? injected.lasts - (lease_time - lease_renewal) : 0ms;
}

std::size_t ping_bytes() {
    ping sent_ping;
    sent_ping.from = {{"0123456789abcdef"}, "10.0.0.1:7400", {"cymru-west-1"}};
    sent_ping.sequence = 100000;
    sent_ping.versions = {12, true, 1000, 1000, 1000, 1ULL << 60U, 1ULL << 60U};
    pong reply{sent_ping.sequence, sent_ping.versions};
    return encode_message(sent_ping).size() + encode_message(reply).size();
}

}  // namespace

void print_outages() {
    std::printf("\nLongest time without a home, ms (8 instances, %zu keys; leases: model of %lld s "
                "leases renewed each second; no homes: none is needed, nothing is exclusive)\n",
                make_fleet().keys.size(), static_cast<long long>(lease_time / 1s));
    std::printf("%-30s %10s %10s %11s %13s %13s\n", "fault", "own keys", "others", "violations",
                "lease: own", "lease: others");
    for (const auto& injected : faults) {
        const auto result = measure(injected, 8);
        std::printf("%-30s %10lld %10lld %11d %13lld %13lld\n", injected.name,
                    static_cast<long long>(result.own_keys.count()),
                    static_cast<long long>(result.other_keys.count()), result.violations,
                    static_cast<long long>(lease_outage(injected).count()),
                    static_cast<long long>(lease_outage_of_others(injected).count()));
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
