#include "store_sync/read_timing.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

TEST_GROUP(read_timing){};

TEST(read_timing, a_lost_watch_is_given_up_before_its_changes_have_to_be_in_force) {
    // GIVEN the bounds of several deployments
    for (const milliseconds contact : {1500ms, 3000ms, 6000ms}) {
        for (const milliseconds apply : {1000ms, 2000ms, 5000ms}) {
            sync_bounds bounds;
            bounds.contact = contact;
            // WHEN the timing of a topic is derived
            const read_timing timing = derive_read_timing(bounds, apply);
            // THEN a watch that is lost ends with time to spare for one more read
            const milliseconds latest = std::max(contact, apply);
            CHECK_TRUE(timing.watch_wait + response_grace + 400ms <= latest);
            // AND a sound watch confirms the topic before it counts as out of date
            CHECK_TRUE(timing.coalescing_pause + timing.watch_wait < timing.max_age);
            CHECK_TRUE(timing.coalescing_pause < apply / 2);
        }
    }
}

TEST(read_timing, data_of_a_peer_is_replaced_before_any_change_has_to_be_in_force) {
    // GIVEN bounds of which one is tighter than the others
    sync_bounds bounds;
    bounds.draining = 1200ms;
    // WHEN the age is derived from which an instance reads the store itself
    // THEN a read still fits into the tightest bound
    CHECK_TRUE(derive_stale_after(bounds) <= 700ms);
    // AND an unreachable store is called again within the contact time
    CHECK_TRUE(derive_slow_probe_period(bounds) + response_grace < bounds.contact);
}

// Guards against an instance that refuses requests in calm times as its configuration looks old.
TEST(read_timing, a_sound_reader_never_looks_out_of_date) {
    // GIVEN watches by several bounds, for the instance itself and for others
    sync_bounds bounds;
    for (const milliseconds latest : {1000ms, 1500ms, 2000ms, 3000ms, 6000ms}) {
        bounds.contact = latest;
        const read_timing own = derive_read_timing(bounds, std::min(latest, 2000ms));
        for (const read_timing& timing : {own, derive_shared_timing(own)}) {
            // WHEN a change comes at any time of a watch, and each call takes some time
            for (const milliseconds response : {1ms, 20ms, 80ms}) {
                const milliseconds first_wait = derive_next_wait(timing, response);
                for (milliseconds at = 0ms; at <= first_wait; at += 10ms) {
                    // THEN the next watch confirms the topic before it counts as out of date
                    const milliseconds age = at + response;
                    const milliseconds paused = age + derive_next_pause(timing, age);
                    const milliseconds next_wait = derive_next_wait(timing, paused);
                    CHECK_TRUE(paused + next_wait + response < timing.max_age);
                }
            }
        }
    }
}
