#include "coordination/dispatch/tests/fake_fleet.h"

#include <algorithm>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

constexpr milliseconds activation_limit{3000};

std::unique_ptr<fleet> make_serving_fleet() {
    auto simulation = std::make_unique<fleet>();
    start_fleet(*simulation, {});
    for (auto& [id, upstream] : simulation->upstreams) {
        turn_warm(*simulation, id);
    }
    run_for(*simulation, milliseconds(8000));
    return simulation;
}

availability_wanted zone_request(const std::string& zone, bool out, const std::string& operation) {
    availability_wanted wanted;
    wanted.number = 1;
    wanted.zone = zone_name{zone};
    wanted.out = out;
    wanted.change.operation = operation;
    return wanted;
}

int started_since(const fleet& simulation, const std::string& zone, instant since) {
    long count = 0;
    for (const auto& [id, upstream] : simulation.upstreams) {
        if (upstream.zone.value == zone) {
            count += std::count_if(upstream.starts.begin(), upstream.starts.end(),
                                   [since](instant at) { return at >= since; });
        }
    }
    return static_cast<int>(count);
}

}  // namespace

TEST_GROUP(availability_group){};

TEST(availability_group, a_zone_out_of_service_gets_no_attempts_after_3_s) {
    using action = std::function<void(fleet&)>;

    struct row {
        const char* name;
        action fault;     //!< happens just before the request
        action recovery;  //!< happens 6 s after the request
        edit_decided::verdict expected;
    };

    const action nothing = [](fleet&) {};
    const auto accepted = edit_decided::verdict::accepted;
    const auto emergency = edit_decided::verdict::emergency;
    const std::vector<row> rows = {
        {"no fault", nothing, nothing, accepted},
        {"store down", [](fleet& simulation) { simulation.store.up = false; }, nothing, emergency},
        {"store down and up again", [](fleet& simulation) { simulation.store.up = false; },
         [](fleet& simulation) { simulation.store.up = true; }, emergency},
        {"watches silent", [](fleet& simulation) { simulation.store.unanswered_watches = true; },
         nothing, accepted},
        {"reply lost", [](fleet& simulation) { simulation.store.lost_replies = 1; }, nothing,
         accepted},
        {"an instance paused and woken", [](fleet& simulation) { pause_instance(simulation, 3); },
         [](fleet& simulation) { resume_instance(simulation, 3); }, accepted},
        {"an instance cut off from peers and store",
         [](fleet& simulation) { cut_off(simulation, 3, true); },
         [](fleet& simulation) { restore_links(simulation); }, accepted},
        {"store down, an instance cut off from its peers",
         [](fleet& simulation) {
             simulation.store.up = false;
             cut_off(simulation, 3, true);
         },
         [](fleet& simulation) { restore_links(simulation); }, emergency},
    };
    for (const row& each : rows) {
        // GIVEN a serving fleet with a fault
        auto simulation = make_serving_fleet();
        CHECK_TEXT(started_since(*simulation, "a", simulation->now - milliseconds(1000)) > 0,
                   each.name);
        each.fault(*simulation);
        // WHEN a zone is taken out of service through one instance
        post(*simulation, 0, zone_request("a", true, "op-1"));
        const instant requested_at = simulation->now;
        run_for(*simulation, milliseconds(6000));
        each.recovery(*simulation);
        run_for(*simulation, milliseconds(6000));
        // THEN the decision matches the fault, and no instance starts an attempt there after 3 s
        LONGS_EQUAL_TEXT(1, simulation->instances[0].edits.size(), each.name);
        CHECK_TEXT(simulation->instances[0].edits[0].outcome == each.expected, each.name);
        LONGS_EQUAL_TEXT(0, started_since(*simulation, "a", requested_at + activation_limit),
                         each.name);
        CHECK_TEXT(started_since(*simulation, "b", requested_at + activation_limit) > 0, each.name);
    }
}

TEST(availability_group, an_emergency_order_is_recorded_when_the_store_recovers) {
    // GIVEN a zone taken out of service while the store is down
    auto simulation = make_serving_fleet();
    simulation->store.up = false;
    post(*simulation, 0, zone_request("a", true, "op-1"));
    run_for(*simulation, milliseconds(3000));
    for (const fake_instance& each : simulation->instances) {
        CHECK(emergency_digest(each.documents) != 0);
    }
    // WHEN the store recovers
    simulation->store.up = true;
    run_for(*simulation, milliseconds(3000));
    // THEN the order is recorded once in the document, and no instance holds it any longer
    LONGS_EQUAL(1, simulation->store.objects.size());
    for (const fake_instance& each : simulation->instances) {
        LONGS_EQUAL(0, emergency_digest(each.documents));
        LONGS_EQUAL(1, version_of(each.documents, document_names::availability));
        CHECK(is_out_of_service(each.documents, zone_name{"a"}, upstream_id{"u0"}));
    }
    // AND the zone's return to service isn't reverted by an old copy of the order
    post(*simulation, 1, zone_request("a", false, "op-2"));
    run_for(*simulation, milliseconds(1000));
    emergency_order old;
    old.operation = "op-1";
    old.zone = zone_name{"a"};
    post(*simulation, 2, peer_message_received{instance_id{"i5"}, emergency_notice{{old}}});
    run_for(*simulation, milliseconds(2000));
    for (const fake_instance& each : simulation->instances) {
        CHECK_FALSE(is_out_of_service(each.documents, zone_name{"a"}, upstream_id{"u0"}));
    }
}

TEST(availability_group, a_zone_returned_to_service_is_cold_until_declared_warm) {
    // GIVEN a zone whose upstreams turned cold while it was out of service
    auto simulation = make_serving_fleet();
    post(*simulation, 0, zone_request("a", true, "op-1"));
    run_for(*simulation, milliseconds(5000));
    for (auto& [id, upstream] : simulation->upstreams) {
        if (upstream.zone.value == "a") {
            turn_cold(*simulation, id, true);
            upstream.cold_since = simulation->now - simulation->settings.detection_time;
        }
    }
    // WHEN it returns to service
    post(*simulation, 0, zone_request("a", false, "op-2"));
    const instant returned_at = simulation->now;
    run_for(*simulation, milliseconds(10000));
    // THEN its upstreams get attempts, never above their cold capacity
    LONGS_EQUAL(0, starts_over_cold_capacity(*simulation));
    CHECK(started_since(*simulation, "a", returned_at) > 10);
}

TEST(availability_group, an_isolated_instance_refuses_as_not_ready) {
    auto simulation = make_serving_fleet();
    cut_off(*simulation, 3, true);
    run_for(*simulation, milliseconds(6000));
    simulation->instances[3].refusals.clear();
    const int granted = simulation->instances[3].granted;
    run_for(*simulation, milliseconds(2000));
    LONGS_EQUAL(granted, simulation->instances[3].granted);
    CHECK(simulation->instances[3].refusals[refusal_reason::not_ready] > 0);
}
