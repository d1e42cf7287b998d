#include "coordination/dispatch/tests/fake_fleet.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

const upstream_id first_upstream{"u0"};

//! A fleet with warm upstreams and traffic at all instances.
std::unique_ptr<fleet> make_warm_fleet(fleet_settings settings) {
    auto simulation = std::make_unique<fleet>();
    start_fleet(*simulation, settings);
    for (auto& [id, upstream] : simulation->upstreams) {
        turn_warm(*simulation, id);
    }
    run_for(*simulation, milliseconds(8000));
    return simulation;
}

}  // namespace

TEST_GROUP(cold_start){};

TEST(cold_start, cold_capacity_is_used_and_never_exceeded_from_the_start) {
    // GIVEN eight instances that start at once, with cold upstreams
    fleet simulation;
    start_fleet(simulation, {});
    // WHEN their load is far above the cold capacity
    run_for(simulation, milliseconds(5000));
    reset_capacity_use(simulation);
    run_for(simulation, milliseconds(20000));
    // THEN all attempts together never exceed the cold capacity, and most of it is used
    LONGS_EQUAL(0, starts_over_cold_capacity(simulation));
    CHECK(cold_capacity_use(simulation) > 0.7);
}

TEST(cold_start, warm_upstreams_serve_without_slots) {
    const auto simulation = make_warm_fleet({});
    int running = 0;
    for (const auto& [id, upstream] : simulation->upstreams) {
        running += static_cast<int>(upstream.running.size());
    }
    CHECK(running > 20);
}

TEST(cold_start, cold_capacity_is_never_exceeded_through_faults) {
    using action = std::function<void(fleet&, std::size_t owner)>;

    struct row {
        const char* name;
        action fault;
        action recovery;  //!< happens 3 s after the fault
    };

    const action nothing = [](fleet&, std::size_t) {};
    const std::vector<row> rows = {
        {"home killed",
         [](fleet& simulation, std::size_t owner) { kill_instance(simulation, owner); },
         [](fleet& simulation, std::size_t owner) { change_generation(simulation, owner); }},
        {"home paused past the fence and woken",
         [](fleet& simulation, std::size_t owner) { pause_instance(simulation, owner); },
         [](fleet& simulation, std::size_t owner) { resume_instance(simulation, owner); }},
        {"home paused, replaced, then woken",
         [](fleet& simulation, std::size_t owner) {
             pause_instance(simulation, owner);
             schedule(simulation, milliseconds(7000),
                      [&simulation, owner] { resume_instance(simulation, owner); });
         },
         [](fleet& simulation, std::size_t owner) { change_generation(simulation, owner); }},
        {"home cut off and replaced",
         [](fleet& simulation, std::size_t owner) { cut_off(simulation, owner, true); },
         [](fleet& simulation, std::size_t owner) { change_generation(simulation, owner); }},
        {"another instance paused and woken",
         [](fleet& simulation, std::size_t owner) { pause_instance(simulation, (owner + 1) % 8); },
         [](fleet& simulation, std::size_t owner) {
             resume_instance(simulation, (owner + 1) % 8);
         }},
        {"store down", [](fleet& simulation, std::size_t) { simulation.store.up = false; },
         nothing},
    };
    for (const auto attempt_time : {milliseconds(200), milliseconds(4000)}) {
        for (const bool starts_warm : {false, true}) {
            for (const row& each : rows) {
                // GIVEN a fleet under load whose first upstream is cold or has just turned cold
                fleet_settings settings;
                settings.attempt_time = attempt_time;
                auto simulation = make_warm_fleet(settings);
                turn_cold(*simulation, first_upstream, !starts_warm);
                run_for(*simulation, milliseconds(starts_warm ? 1 : 4000));
                // WHEN the fault occurs
                const std::size_t owner = owner_index(*simulation, first_upstream);
                each.fault(*simulation, owner);
                run_for(*simulation, milliseconds(3000));
                each.recovery(*simulation, owner);
                run_for(*simulation, milliseconds(17000));
                // THEN no attempt was started above the cold capacity, and the capacity is used
                // again
                LONGS_EQUAL_TEXT(0, starts_over_cold_capacity(*simulation), each.name);
                reset_capacity_use(*simulation);
                run_for(*simulation, milliseconds(5000));
                CHECK_TEXT(cold_capacity_use(*simulation) > 0.5, each.name);
                LONGS_EQUAL_TEXT(0, starts_over_cold_capacity(*simulation), each.name);
            }
        }
    }
}

TEST(cold_start, excess_is_cancelled_when_an_upstream_turns_cold_under_load) {
    // GIVEN warm upstreams under long attempts
    fleet_settings settings;
    settings.attempt_time = milliseconds(20000);
    settings.concurrent = 3;
    auto simulation = make_warm_fleet(settings);
    run_for(*simulation, milliseconds(22000));
    CHECK(simulation->upstreams.at(first_upstream).running.size() > 2);
    // WHEN one upstream turns cold without a restart
    turn_cold(*simulation, first_upstream, false);
    run_for(*simulation, settings.detection_time);
    // THEN the attempts still running there fit its cold capacity
    CHECK(most_running_while_cold(*simulation) <= settings.cold_capacity);
    run_for(*simulation, milliseconds(10000));
    LONGS_EQUAL(0, starts_over_cold_capacity(*simulation));
}

TEST(cold_start, a_restart_is_detected_from_lost_attempts) {
    // GIVEN a warm fleet
    auto simulation = make_warm_fleet({});
    simulation->settings.detection_time = milliseconds(100);
    // WHEN an upstream restarts under load
    turn_cold(*simulation, first_upstream, true);
    run_for(*simulation, milliseconds(10000));
    // THEN after 100 ms no start exceeds its cold capacity, and the capacity is used
    LONGS_EQUAL(0, starts_over_cold_capacity(*simulation));
    CHECK(cold_capacity_use(*simulation) > 0.5);
    // AND once it is warm it runs more attempts than its cold capacity
    turn_warm(*simulation, first_upstream);
    run_for(*simulation, milliseconds(3000));
    CHECK(simulation->upstreams.at(first_upstream).running.size() > 3);
}
