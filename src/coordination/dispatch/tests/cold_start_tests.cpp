#include "coordination/dispatch/tests/fake_fleet.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

const upstream_id first_upstream{"u0"};

//! A fleet with warm upstreams and traffic at all instances.
std::unique_ptr<fleet> make_warm_fleet(fleet_settings settings) {
    auto all = std::make_unique<fleet>();
    start_fleet(*all, settings);
    for (auto& [id, upstream] : all->upstreams) {
        turn_warm(*all, id);
    }
    run_for(*all, milliseconds(8000));
    return all;
}

}  // namespace

TEST_GROUP(cold_start){};

TEST(cold_start, cold_capacity_is_used_and_never_exceeded_from_the_start) {
    // GIVEN eight instances that start at once, with cold upstreams
    fleet all;
    start_fleet(all, {});
    // WHEN their load is far above the cold capacity
    run_for(all, milliseconds(5000));
    reset_use(all);
    run_for(all, milliseconds(20000));
    // THEN the total of all instances never exceeds it, and most of it is used
    LONGS_EQUAL(0, over_cold(all));
    CHECK(cold_capacity_used(all) > 0.7);
}

TEST(cold_start, warm_upstreams_serve_without_slots) {
    const auto all = make_warm_fleet({});
    int running = 0;
    for (const auto& [id, upstream] : all->upstreams) {
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
        {"home killed", [](fleet& all, std::size_t owner) { kill_instance(all, owner); },
         [](fleet& all, std::size_t owner) { change_generation(all, owner); }},
        {"home paused past the fence and woken",
         [](fleet& all, std::size_t owner) { pause_instance(all, owner); },
         [](fleet& all, std::size_t owner) { wake_instance(all, owner); }},
        {"home paused, replaced, then woken",
         [](fleet& all, std::size_t owner) {
             pause_instance(all, owner);
             later(all, milliseconds(7000), [&all, owner] { wake_instance(all, owner); });
         },
         [](fleet& all, std::size_t owner) { change_generation(all, owner); }},
        {"home cut off and replaced",
         [](fleet& all, std::size_t owner) { cut_off(all, owner, true); },
         [](fleet& all, std::size_t owner) { change_generation(all, owner); }},
        {"another instance paused and woken",
         [](fleet& all, std::size_t owner) { pause_instance(all, (owner + 1) % 8); },
         [](fleet& all, std::size_t owner) { wake_instance(all, (owner + 1) % 8); }},
        {"store down", [](fleet& all, std::size_t) { all.store.up = false; }, nothing},
    };
    for (const auto attempt_time : {milliseconds(200), milliseconds(4000)}) {
        for (const bool starts_warm : {false, true}) {
            for (const row& each : rows) {
                // GIVEN a fleet under load whose first upstream is cold or has just turned cold
                fleet_settings settings;
                settings.attempt_time = attempt_time;
                auto all = make_warm_fleet(settings);
                turn_cold(*all, first_upstream, !starts_warm);
                run_for(*all, milliseconds(starts_warm ? 1 : 4000));
                // WHEN the fault occurs
                const std::size_t owner = home_index(*all, first_upstream);
                each.fault(*all, owner);
                run_for(*all, milliseconds(3000));
                each.recovery(*all, owner);
                run_for(*all, milliseconds(17000));
                // THEN no attempt was started above the cold capacity, and the capacity is used
                // again
                LONGS_EQUAL_TEXT(0, over_cold(*all), each.name);
                reset_use(*all);
                run_for(*all, milliseconds(5000));
                CHECK_TEXT(cold_capacity_used(*all) > 0.5, each.name);
                LONGS_EQUAL_TEXT(0, over_cold(*all), each.name);
            }
        }
    }
}

TEST(cold_start, excess_is_cancelled_when_an_upstream_turns_cold_under_load) {
    // GIVEN warm upstreams under long attempts
    fleet_settings settings;
    settings.attempt_time = milliseconds(20000);
    settings.concurrent = 3;
    auto all = make_warm_fleet(settings);
    run_for(*all, milliseconds(22000));
    CHECK(all->upstreams.at(first_upstream).running.size() > 2);
    // WHEN one upstream turns cold without a restart
    turn_cold(*all, first_upstream, false);
    run_for(*all, settings.detection_time);
    // THEN the attempts still running there fit its cold capacity
    CHECK(most_running_while_cold(*all) <= settings.cold_capacity);
    run_for(*all, milliseconds(10000));
    LONGS_EQUAL(0, over_cold(*all));
}

TEST(cold_start, a_restart_is_detected_from_lost_attempts) {
    // GIVEN a warm fleet
    auto all = make_warm_fleet({});
    all->settings.detection_time = milliseconds(100);
    // WHEN an upstream restarts under load
    turn_cold(*all, first_upstream, true);
    run_for(*all, milliseconds(10000));
    // THEN after 100 ms no start exceeds its cold capacity, and the capacity is used
    LONGS_EQUAL(0, over_cold(*all));
    CHECK(cold_capacity_used(*all) > 0.5);
    // AND once it is warm it runs more attempts than its cold capacity
    turn_warm(*all, first_upstream);
    run_for(*all, milliseconds(3000));
    CHECK(all->upstreams.at(first_upstream).running.size() > 3);
}
