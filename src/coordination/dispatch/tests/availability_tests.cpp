#include "coordination/dispatch/tests/fake_fleet.h"

#include <algorithm>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

constexpr milliseconds activation_limit{3000};

std::unique_ptr<fleet> make_serving_fleet() {
    auto all = std::make_unique<fleet>();
    start_fleet(*all, {});
    for (auto& [id, upstream] : all->upstreams) {
        turn_warm(*all, id);
    }
    run_for(*all, milliseconds(8000));
    return all;
}

availability_wanted zone_request(const std::string& zone, bool out, const std::string& operation) {
    availability_wanted wanted;
    wanted.number = 1;
    wanted.zone = zone_name{zone};
    wanted.out = out;
    wanted.change.operation = operation;
    return wanted;
}

int started_since(const fleet& all, const std::string& zone, instant since) {
    long count = 0;
    for (const auto& [id, upstream] : all.upstreams) {
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
        {"store down", [](fleet& all) { all.store.up = false; }, nothing, emergency},
        {"store down and up again", [](fleet& all) { all.store.up = false; },
         [](fleet& all) { all.store.up = true; }, emergency},
        {"watches silent", [](fleet& all) { all.store.unanswered_watches = true; }, nothing,
         accepted},
        {"reply lost", [](fleet& all) { all.store.lost_replies = 1; }, nothing, accepted},
        {"an instance paused and woken", [](fleet& all) { pause_instance(all, 3); },
         [](fleet& all) { wake_instance(all, 3); }, accepted},
        {"an instance cut off from peers and store", [](fleet& all) { cut_off(all, 3, true); },
         [](fleet& all) { restore_links(all); }, accepted},
        {"store down, an instance cut off from its peers",
         [](fleet& all) {
             all.store.up = false;
             cut_off(all, 3, true);
         },
         [](fleet& all) { restore_links(all); }, emergency},
    };
    for (const row& each : rows) {
        // GIVEN a serving fleet with a fault
        auto all = make_serving_fleet();
        CHECK_TEXT(started_since(*all, "a", all->now - milliseconds(1000)) > 0, each.name);
        each.fault(*all);
        // WHEN a zone is taken out of service through one instance
        post(*all, 0, zone_request("a", true, "op-1"));
        const instant requested_at = all->now;
        run_for(*all, milliseconds(6000));
        each.recovery(*all);
        run_for(*all, milliseconds(6000));
        // THEN the decision matches the fault, and no instance starts an attempt there after 3 s
        LONGS_EQUAL_TEXT(1, all->instances[0].edits.size(), each.name);
        CHECK_TEXT(all->instances[0].edits[0].outcome == each.expected, each.name);
        LONGS_EQUAL_TEXT(0, started_since(*all, "a", requested_at + activation_limit), each.name);
        CHECK_TEXT(started_since(*all, "b", requested_at + activation_limit) > 0, each.name);
    }
}

TEST(availability_group, an_emergency_order_is_recorded_when_the_store_recovers) {
    // GIVEN a zone taken out of service while the store is down
    auto all = make_serving_fleet();
    all->store.up = false;
    post(*all, 0, zone_request("a", true, "op-1"));
    run_for(*all, milliseconds(3000));
    for (const fake_instance& each : all->instances) {
        CHECK(emergency_digest(each.documents) != 0);
    }
    // WHEN the store recovers
    all->store.up = true;
    run_for(*all, milliseconds(3000));
    // THEN the order is recorded once in the document, and no instance holds it any longer
    LONGS_EQUAL(1, all->store.objects.size());
    for (const fake_instance& each : all->instances) {
        LONGS_EQUAL(0, emergency_digest(each.documents));
        LONGS_EQUAL(1, version_of(each.documents, document_names::availability));
        CHECK(is_out(each.documents, zone_name{"a"}, upstream_id{"u0"}));
    }
    // AND the zone's return to service isn't reverted by an old copy of the order
    post(*all, 1, zone_request("a", false, "op-2"));
    run_for(*all, milliseconds(1000));
    emergency_order old;
    old.operation = "op-1";
    old.zone = zone_name{"a"};
    post(*all, 2, peer_message_received{instance_id{"i5"}, emergency_notice{{old}}});
    run_for(*all, milliseconds(2000));
    for (const fake_instance& each : all->instances) {
        CHECK_FALSE(is_out(each.documents, zone_name{"a"}, upstream_id{"u0"}));
    }
}

TEST(availability_group, a_zone_returned_to_service_is_cold_until_declared_warm) {
    // GIVEN a zone whose upstreams turned cold while it was out of service
    auto all = make_serving_fleet();
    post(*all, 0, zone_request("a", true, "op-1"));
    run_for(*all, milliseconds(5000));
    for (auto& [id, upstream] : all->upstreams) {
        if (upstream.zone.value == "a") {
            turn_cold(*all, id, true);
            upstream.cold_since = all->now - all->settings.detection_time;
        }
    }
    // WHEN it returns to service
    post(*all, 0, zone_request("a", false, "op-2"));
    const instant returned_at = all->now;
    run_for(*all, milliseconds(10000));
    // THEN its upstreams get attempts, never above their cold capacity
    LONGS_EQUAL(0, over_cold(*all));
    CHECK(started_since(*all, "a", returned_at) > 10);
}

TEST(availability_group, an_isolated_instance_refuses_as_not_ready) {
    auto all = make_serving_fleet();
    cut_off(*all, 3, true);
    run_for(*all, milliseconds(6000));
    all->instances[3].refusals.clear();
    const int granted = all->instances[3].granted;
    run_for(*all, milliseconds(2000));
    LONGS_EQUAL(granted, all->instances[3].granted);
    CHECK(all->instances[3].refusals[refusal_reason::not_ready] > 0);
}
