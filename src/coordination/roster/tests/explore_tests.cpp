//! Exclusive homes, explored: no violation with the rules, and one found without each of them.
#include "coordination/roster/tests/explore.h"

#include <cstdio>
#include <cstdlib>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

//! The search allocates more than the leak detector can follow in reasonable time.
const bool leak_detection_off = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

}  // namespace

TEST_GROUP(explore){};

TEST(explore, trial) {
    const char* f = std::getenv("F");
    const char* t = std::getenv("T");
    const char* o = std::getenv("O");
    const std::string opts = o ? o : "pls";
    exploration w;
    w.faults = f ? std::atoi(f) : 1;
    w.time_steps = t ? std::atoi(t) : 8;
    w.packet_faults = opts.find('p') != std::string::npos;
    w.link_faults = opts.find('l') != std::string::npos;
    w.pauses = opts.find('z') != std::string::npos;
    w.store_faults = opts.find('s') != std::string::npos;
    w.starts_cut = opts.find('c') != std::string::npos;
    w.any_order = opts.find('a') != std::string::npos;
    w.last_leaves = opts.find('v') != std::string::npos;
    w.rules.wait_for_fence = opts.find('F') == std::string::npos;
    w.rules.date_by_sending = opts.find('D') == std::string::npos;
    w.rules.settle_before_next = opts.find('S') == std::string::npos;
    if (opts.find('2') != std::string::npos) {
        w.members = 2;
    }
    w.max_states = 3000000;
    const auto r = std::getenv("W") ? walk(w, 1, std::atoi(std::getenv("W"))) : explore(w);
    std::printf("violated %d complete %d states %zu steps %d later %zu\n", r.violated, r.complete,
                r.states, r.steps, r.settled_later);
}
