//! Faults: after each fault the expected roster settles, and two instances never act for the same
//! key at the same tick.
#include "coordination/roster/tests/fleet.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

struct fault_case {
    const char* name;
    std::function<void(fleet&)> inject;
    const char* expected_members;  //!< null: all instances that are still running
};

const fault_case fault_cases[] = {
    {"home killed and dropped",
     [](fleet& all) {
         kill_node(all, "a");
         run_for(all, 1s);
         drop_from_list(all, "a");
     },
     "b c d e"},
    {"home killed, the list goes on showing it", [](fleet& all) { kill_node(all, "a"); },
     "b c d e"},
    {"paused past the fence and woken",
     [](fleet& all) {
         pause_node(all, "a");
         run_for(all, 9s);
         resume_node(all, "a");
     },
     "a b c d e"},
    {"paused for less than the fence",
     [](fleet& all) {
         pause_node(all, "a");
         run_for(all, 1500ms);
         resume_node(all, "a");
     },
     "a b c d e"},
    {"two paused and woken one after the other",
     [](fleet& all) {
         pause_node(all, "a");
         run_for(all, 2s);
         pause_node(all, "b");
         run_for(all, 5s);
         resume_node(all, "a");
         run_for(all, 3s);
         resume_node(all, "b");
     },
     "a b c d e"},
    {"store down while one is killed",
     [](fleet& all) {
         all.store_down = true;
         kill_node(all, "a");
         run_for(all, 20s);
         all.store_down = false;
     },
     "b c d e"},
    {"answers of the next writes are lost",
     [](fleet& all) {
         all.replies_to_lose = 2;
         kill_node(all, "a");
     },
     "b c d e"},
    {"lost answer, then store down",
     [](fleet& all) {
         all.replies_to_lose = 1;
         kill_node(all, "a");
         run_until(all, 20s, [&] { return all.replies_to_lose == 0; });
         all.store_down = true;
         run_for(all, 10s);
         all.store_down = false;
     },
     "b c d e"},
    {"cut off from all others and back",
     [](fleet& all) {
         for (const char* other : {"b", "c", "d", "e"}) {
             cut_link(all, "a", other);
         }
         run_for(all, 10s);
         all.cut.clear();
     },
     "a b c d e"},
    {"cut in two, then whole again",
     [](fleet& all) {
         for (const char* isolated : {"a", "b"}) {
             for (const char* other : {"c", "d", "e"}) {
                 cut_link(all, isolated, other);
             }
         }
         run_for(all, 10s);
         all.cut.clear();
     },
     "a b c d e"},
    {"messages lost one way",
     [](fleet& all) {
         for (const char* other : {"b", "c", "d"}) {
             all.cut.emplace(index_of(all, "a"), index_of(all, other));
         }
         run_for(all, 10s);
         all.cut.clear();
     },
     "a b c d e"},
    {"two see lists without the others",
     [](fleet& all) {
         find_node(all, "a").list_override = std::vector<listed_instance>{all.list[0], all.list[1]};
         find_node(all, "b").list_override = std::vector<listed_instance>{};
         start_node(all, "f");
     },
     "a b c d e f"},
    {"killed and joined at the same moment",
     [](fleet& all) {
         kill_node(all, "c");
         start_node(all, "f");
         start_node(all, "g");
     },
     "a b d e f g"},
    {"three of five killed and dropped",
     [](fleet& all) {
         for (const char* id : {"a", "b", "c"}) {
             kill_node(all, id);
             drop_from_list(all, id);
         }
     },
     "d e"},
    {"proposer killed right after its write",
     [](fleet& all) {
         start_node(all, "f");
         run_until(all, 10s, [&] { return all.version == 2; });
         const auto writer = all.object.substr(all.object.find("proposal") + 11, 1);
         kill_node(all, writer);
         drop_from_list(all, writer);
         start_node(all, writer + "2");
     },
     nullptr},
};

//! Sorted ids of the instances that weren't killed.
std::string running_ids(const fleet& all) {
    std::set<std::string> ids;
    for (const auto& instance : all.nodes) {
        if (!instance.killed) {
            ids.insert(instance.env.self.id.value);
        }
    }
    std::string text;
    for (const auto& id : ids) {
        text += (text.empty() ? "" : " ") + id;
    }
    return text;
}

}  // namespace

TEST_GROUP(roster_faults){};

TEST(roster_faults, each_fault_ends_in_the_expected_roster) {
    for (const auto& row : fault_cases) {
        // GIVEN five settled instances
        fleet all = make_fleet();
        start_settled(all, {"a", "b", "c", "d", "e"});
        run_for(all, 2s);
        // WHEN the faults are injected
        row.inject(all);
        // THEN the expected roster settles, and no key ever had two owners
        const std::string expected =
            row.expected_members != nullptr ? row.expected_members : running_ids(all);
        const auto settled = [&] { return all_settled(all, expected); };
        CHECK_TRUE_TEXT(run_until(all, 40s, settled), row.name);
        LONGS_EQUAL_TEXT(0, all.counters.violations, row.name);
        run_for(all, 1s);
        for (const auto& key : all.keys) {
            LONGS_EQUAL_TEXT(1, actors(all, key).size(), row.name);
        }
    }
}

TEST(roster_faults, owners_keep_acting_during_a_store_outage) {
    // GIVEN a settled roster
    fleet all = make_fleet();
    start_settled(all, {"a", "b", "c"});
    run_for(all, 2s);
    // WHEN the store is down for ten minutes
    all.store_down = true;
    // THEN every key has exactly one acting owner all the time
    for (int i = 0; i < 600; ++i) {
        run_for(all, 1s);
        for (const auto& key : all.keys) {
            LONGS_EQUAL(1, actors(all, key).size());
        }
    }
    LONGS_EQUAL(1, generation(all.nodes[0].state));
}

TEST(roster_faults, paused_owner_does_not_act_when_it_resumes) {
    // GIVEN a member that is paused until the others have settled a roster without it
    fleet all = make_fleet();
    start_settled(all, {"a", "b", "c"});
    run_for(all, 2s);
    pause_node(all, "a");
    CHECK_TRUE(run_until(all, 20s, [&] { return all_settled(all, "b c"); }));
    // WHEN it resumes and has not yet received anything
    find_node(all, "a").paused = false;
    // THEN it may not act for any key
    const node& a = find_node(all, "a");
    for (const auto& key : all.keys) {
        CHECK_FALSE(may_act_as_owner(a.state, a.env, key, all.now));
    }
}
