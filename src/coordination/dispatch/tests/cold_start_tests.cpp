#include "coordination/dispatch/tests/fake_fleet.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

const upstream_id first{"u0"};

//! Warm upstreams under the traffic of all instances.
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

TEST(cold_start, is_fed_and_never_over_from_the_start) {
    // GIVEN eight instances that all start at once before cold upstreams
    fleet all;
    start_fleet(all, {});
    // WHEN they offer far more than the cold capacity
    run_for(all, milliseconds(5000));
    reset_use(all);
    run_for(all, milliseconds(20000));
    // THEN the sum over the instances is never above it, and most of it is used
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

TEST(cold_start, holds_through_faults) {
    using act = std::function<void(fleet&, std::size_t home)>;

    struct row {
        const char* name;
        act fault;
        act afterwards;  //!< 3 s later
    };

    const act nothing = [](fleet&, std::size_t) {};
    const std::vector<row> rows = {
        {"home killed", [](fleet& all, std::size_t home) { kill_instance(all, home); },
         [](fleet& all, std::size_t home) { change_generation(all, home); }},
        {"home paused past the fence and woken",
         [](fleet& all, std::size_t home) { pause_instance(all, home); },
         [](fleet& all, std::size_t home) { wake_instance(all, home); }},
        {"home paused, replaced, then woken",
         [](fleet& all, std::size_t home) {
             pause_instance(all, home);
             later(all, milliseconds(7000), [&all, home] { wake_instance(all, home); });
         },
         [](fleet& all, std::size_t home) { change_generation(all, home); }},
        {"home cut off and replaced",
         [](fleet& all, std::size_t home) { cut_off(all, home, true); },
         [](fleet& all, std::size_t home) { change_generation(all, home); }},
        {"another instance paused and woken",
         [](fleet& all, std::size_t home) { pause_instance(all, (home + 1) % 8); },
         [](fleet& all, std::size_t home) { wake_instance(all, (home + 1) % 8); }},
        {"store down", [](fleet& all, std::size_t) { all.store.up = false; }, nothing},
    };
    for (const auto attempt_time : {milliseconds(200), milliseconds(4000)}) {
        for (const bool starts_warm : {false, true}) {
            for (const row& each : rows) {
                // GIVEN a fleet at work, its first upstream cold or just turned cold
                fleet_settings settings;
                settings.attempt_time = attempt_time;
                auto all = make_warm_fleet(settings);
                turn_cold(*all, first, !starts_warm);
                run_for(*all, milliseconds(starts_warm ? 1 : 4000));
                // WHEN the fault comes
                const std::size_t home = home_index(*all, first);
                each.fault(*all, home);
                run_for(*all, milliseconds(3000));
                each.afterwards(*all, home);
                run_for(*all, milliseconds(17000));
                // THEN nothing was started above the cold capacity, and it is fed again
                LONGS_EQUAL_TEXT(0, over_cold(*all), each.name);
                reset_use(*all);
                run_for(*all, milliseconds(5000));
                CHECK_TEXT(cold_capacity_used(*all) > 0.5, each.name);
                LONGS_EQUAL_TEXT(0, over_cold(*all), each.name);
            }
        }
    }
}

TEST(cold_start, excess_is_cancelled_when_it_turns_cold_under_load) {
    // GIVEN warm upstreams under long attempts
    fleet_settings settings;
    settings.attempt_time = milliseconds(20000);
    settings.concurrent = 3;
    auto all = make_warm_fleet(settings);
    run_for(*all, milliseconds(22000));
    CHECK(all->upstreams.at(first).running.size() > 2);
    // WHEN one turns cold without a restart
    turn_cold(*all, first, false);
    run_for(*all, settings.detection);
    // THEN only what it can bear still runs there
    CHECK(most_running_while_cold(*all) <= settings.cold_capacity);
    run_for(*all, milliseconds(10000));
    LONGS_EQUAL(0, over_cold(*all));
}

TEST(cold_start, a_restart_is_seen_by_those_whose_work_died) {
    // GIVEN a warm fleet
    auto all = make_warm_fleet({});
    all->settings.detection = milliseconds(100);
    // WHEN an upstream restarts under load
    turn_cold(*all, first, true);
    run_for(*all, milliseconds(10000));
    // THEN after a tenth of a second nothing is above its cold capacity, and it is fed
    LONGS_EQUAL(0, over_cold(*all));
    CHECK(cold_capacity_used(*all) > 0.5);
    // AND once it is warm it takes its full part again
    turn_warm(*all, first);
    run_for(*all, milliseconds(3000));
    CHECK(all->upstreams.at(first).running.size() > 3);
}
