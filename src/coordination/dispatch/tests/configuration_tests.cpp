#include "coordination/dispatch/tests/fake_fleet.h"

#include <algorithm>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

using verdict = edit_decided::verdict;

constexpr milliseconds activation_limit{3000};

std::string plans_text(const std::string& workspace) {
    return "[workspace " + workspace + "]\nplan = small\nkey_sha256 = " + std::string(64, 'a') +
           "\n";
}

list_edit_wanted edit_plans(ticket number, const std::string& workspace, object_version base) {
    list_edit_wanted wanted;
    wanted.number = number;
    wanted.document = document_names::plans;
    wanted.text = plans_text(workspace);
    wanted.change.operation = "op-" + workspace;
    wanted.change.who = "ann";
    wanted.change.base = base;
    return wanted;
}

//! Idle instances whose store holds no lists yet.
std::unique_ptr<fleet> make_idle_fleet() {
    auto simulation = std::make_unique<fleet>();
    fleet_settings settings;
    settings.instances = 5;
    settings.concurrent = 0;
    start_fleet(*simulation, settings);
    for (fake_instance& each : simulation->instances) {
        each.documents = make_documents(each.env, simulation->now);
    }
    run_for(*simulation, milliseconds(1000));
    return simulation;
}

bool all_have_plans(const fleet& simulation, object_version version) {
    for (const fake_instance& each : simulation.instances) {
        if (each.alive && version_of(each.documents, document_names::plans) != version) {
            return false;
        }
    }
    return true;
}

const edit_decided* decision(const fleet& simulation, std::size_t instance, ticket number) {
    for (const edit_decided& each : simulation.instances[instance].edits) {
        if (each.number == number) {
            return &each;
        }
    }
    return nullptr;
}

}  // namespace

TEST_GROUP(configuration_group){};

TEST(configuration_group, an_accepted_list_is_in_force_at_all_instances_through_faults) {
    using action = std::function<void(fleet&)>;

    struct row {
        const char* name;
        action fault;
        verdict expected;
    };

    const std::vector<row> rows = {
        {"no fault", [](fleet&) {}, verdict::accepted},
        {"reply lost", [](fleet& simulation) { simulation.store.lost_replies = 1; },
         verdict::accepted},
        {"write late, its reply lost",
         [](fleet& simulation) {
             simulation.store.delayed_writes = 1;
             simulation.store.write_delay = milliseconds(800);
         },
         verdict::accepted},
        {"watches silent", [](fleet& simulation) { simulation.store.unanswered_watches = true; },
         verdict::accepted},
        {"the accepting instance cut off from its peers",
         [](fleet& simulation) { cut_off(simulation, 0, false); }, verdict::accepted},
        {"store down for a while",
         [](fleet& simulation) {
             simulation.store.up = false;
             schedule(simulation, milliseconds(2000),
                      [&simulation] { simulation.store.up = true; });
         },
         verdict::accepted},
        {"store down throughout", [](fleet& simulation) { simulation.store.up = false; },
         verdict::unknown},
    };
    for (const row& each : rows) {
        // GIVEN a fleet at version 1
        auto simulation = make_idle_fleet();
        post(*simulation, 0, edit_plans(1, "one", 0));
        run_for(*simulation, milliseconds(1000));
        CHECK_TEXT(all_have_plans(*simulation, 1), each.name);
        // WHEN a list is edited under a fault
        each.fault(*simulation);
        post(*simulation, 0, edit_plans(2, "two", 1));
        run_for(*simulation, milliseconds(5000));
        // THEN the decision is as expected, and an accepted list is in force at all instances
        const edit_decided* decided = decision(*simulation, 0, 2);
        CHECK_TEXT(decided != nullptr, each.name);
        CHECK_TEXT(decided->outcome == each.expected, each.name);
        const bool accepted = each.expected == verdict::accepted;
        CHECK_TEXT(all_have_plans(*simulation, accepted ? 2 : 1), each.name);
    }
}

TEST(configuration_group, a_list_is_in_force_within_3_s_of_acceptance) {
    auto simulation = make_idle_fleet();
    post(*simulation, 2, edit_plans(1, "one", 0));
    run_for(*simulation, activation_limit);
    CHECK(all_have_plans(*simulation, 1));
    STRCMP_EQUAL("one",
                 simulation->instances[4].documents.plans.workspaces.at(0).name.value.c_str());
}

TEST(configuration_group, of_two_concurrent_edits_one_gets_a_conflict_with_the_other_change) {
    // GIVEN two operators who read version 1
    auto simulation = make_idle_fleet();
    post(*simulation, 0, edit_plans(1, "one", 0));
    run_for(*simulation, milliseconds(1000));
    // WHEN both edit at the same moment through two instances
    post(*simulation, 1, edit_plans(2, "two", 1));
    post(*simulation, 2, edit_plans(3, "three", 1));
    run_for(*simulation, milliseconds(2000));
    // THEN one edit is accepted, and the other gets a conflict that lists the change
    CHECK(decision(*simulation, 1, 2)->outcome == verdict::accepted);
    const edit_decided* lost = decision(*simulation, 2, 3);
    CHECK(lost->outcome == verdict::conflict);
    LONGS_EQUAL(2, lost->version);
    STRCMP_EQUAL("op-two", lost->changes.at(0).operation.c_str());
    LONGS_EQUAL(1, lost->changes.size());
    CHECK(all_have_plans(*simulation, 2));
}

TEST(configuration_group, an_edit_with_a_lost_reply_is_decided_after_another_edit) {
    // GIVEN an edit that was applied, whose reply was lost
    auto simulation = make_idle_fleet();
    post(*simulation, 0, edit_plans(1, "one", 0));
    run_for(*simulation, milliseconds(1000));
    simulation->store.lost_replies = 1;
    post(*simulation, 1, edit_plans(2, "two", 1));
    run_for(*simulation, milliseconds(50));
    // WHEN another edit follows before the first is read back
    post(*simulation, 2, edit_plans(3, "three", 2));
    run_for(*simulation, milliseconds(2000));
    // THEN both are accepted, each with its own version
    CHECK(decision(*simulation, 1, 2)->outcome == verdict::accepted);
    LONGS_EQUAL(2, decision(*simulation, 1, 2)->version);
    LONGS_EQUAL(3, decision(*simulation, 2, 3)->version);
    CHECK(all_have_plans(*simulation, 3));
}

TEST(configuration_group, an_older_version_never_replaces_a_newer_one) {
    // GIVEN a fleet at version 2
    auto simulation = make_idle_fleet();
    post(*simulation, 0, edit_plans(1, "one", 0));
    run_for(*simulation, milliseconds(500));
    const document old =
        simulation->instances[0].documents.documents_in_force.at(document_names::plans);
    const stored_object old_object = simulation->store.objects.at(document_names::plans);
    post(*simulation, 0, edit_plans(2, "two", 1));
    run_for(*simulation, milliseconds(500));
    // WHEN a delayed notice and a delayed watch response with the old version arrive
    post(*simulation, 3, peer_message_received{instance_id{"i1"}, document_notice{old}});
    post(*simulation, 3, watch_ended{"config/", store_status::ok, 1, {old_object}});
    // THEN version 2 stays
    CHECK(all_have_plans(*simulation, 2));
}

TEST(configuration_group, an_instance_started_with_the_store_down_gets_the_lists_from_peers) {
    // GIVEN a fleet at version 2 whose store is down
    auto simulation = make_idle_fleet();
    post(*simulation, 0, edit_plans(1, "one", 0));
    run_for(*simulation, milliseconds(500));
    post(*simulation, 0, edit_plans(2, "two", 1));
    run_for(*simulation, milliseconds(500));
    simulation->store.up = false;
    // WHEN an instance restarts
    simulation->instances[4].documents =
        make_documents(simulation->instances[4].env, simulation->now);
    CHECK_FALSE(has_lists(simulation->instances[4].documents));
    run_for(*simulation, milliseconds(1500));
    // THEN it gets the lists in force from its peers
    CHECK(all_have_plans(*simulation, 2));
    STRCMP_EQUAL("two",
                 simulation->instances[4].documents.plans.workspaces.at(0).name.value.c_str());
}

TEST(configuration_group, an_idle_fleet_makes_few_store_calls) {
    // GIVEN five instances that hold both lists
    auto simulation = make_idle_fleet();
    post(*simulation, 0, edit_plans(1, "one", 0));
    list_edit_wanted allowances = edit_plans(2, "two", 0);
    allowances.document = document_names::allowances;
    post(*simulation, 0, allowances);
    run_for(*simulation, milliseconds(3000));
    // WHEN no list changes for a minute
    const int before = simulation->store.calls;
    run_for(*simulation, milliseconds(60000));
    // THEN only two of them watch the store, with one call per watch timeout
    CHECK(simulation->store.calls - before <= 2 * 60);
}

TEST(configuration_group, an_unanswered_watch_that_ends_late_adds_no_second_one) {
    // GIVEN one instance whose first watch isn't answered
    environment env;
    const roster_state roster = make_roster(env, instant{});
    instant now{milliseconds(1'000'000)};
    documents_state state = make_documents(env, now);
    effects out;
    const auto step = [&](const event& happened) {
        reduce_documents(state, env, roster, happened, now, out);
    };
    for (int i = 0; i < 45; ++i) {
        step(tick{});
        now += env.timing.tick;
    }
    LONGS_EQUAL(2, std::count_if(out.begin(), out.end(), [](const effect& each) {
                    return std::holds_alternative<watch_prefix>(each);
                }));
    out.clear();
    // WHEN the first watch ends after a second one was started THEN no third one is started
    step(watch_ended{"config/", store_status::ok, 5, {}, 1});
    step(tick{});
    CHECK(std::none_of(out.begin(), out.end(), [](const effect& each) {
        return std::holds_alternative<watch_prefix>(each);
    }));
    // AND the third watch is started once the second one ends
    step(watch_ended{"config/", store_status::ok, 5, {}, 2});
    CHECK(std::any_of(out.begin(), out.end(), [](const effect& each) {
        return std::holds_alternative<watch_prefix>(each);
    }));
}

// Guards against a response that took long to arrive and is dated by the start of a later watch.
TEST(configuration_group, a_watch_that_outlasts_a_later_failed_one_is_dated_by_its_own_start) {
    // GIVEN a watch whose response takes long, and a second one that was started meanwhile
    environment env;
    const roster_state roster = make_roster(env, instant{});
    const instant first_start{milliseconds(1'000'000)};
    instant now = first_start;
    documents_state state = make_documents(env, now);
    effects out;
    std::vector<std::uint64_t> numbers;
    const auto step = [&](const event& happened) {
        out.clear();
        reduce_documents(state, env, roster, happened, now, out);
        for (const effect& each : out) {
            if (const auto* watch = std::get_if<watch_prefix>(&each)) {
                numbers.push_back(watch->number);
            }
        }
    };
    for (; numbers.size() < 2 && now < first_start + 10s; now += env.timing.tick) {
        step(tick{});
    }
    LONGS_EQUAL(2, numbers.size());
    CHECK(numbers[0] != numbers[1]);
    // WHEN the second one fails and the first one ends with changes
    state.store_state_as_of.reset();
    step(watch_ended{"config/", store_status::refused, 0, {}, numbers[1]});
    step(watch_ended{"config/", store_status::ok, 5, {{"config/other", 5, "", true}}, numbers[0]});
    // THEN all updates are known up to the start of the first one
    CHECK(state.store_state_as_of == first_start);
}
