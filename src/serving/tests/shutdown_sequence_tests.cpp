#include "serving/shutdown_sequence.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(100'000)};
constexpr milliseconds grace{8000};
constexpr milliseconds poll_period{50};

//! Advances a stop from its start to `until` with the given number of open requests.
shutdown_phase advance_until(shutdown_sequence& sequence, milliseconds until,
                             std::size_t open_requests) {
    for (instant now = start; now <= start + until; now += poll_period) {
        advance(sequence, open_requests, now);
    }
    return sequence.phase;
}

}  // namespace

TEST_GROUP(shutdown_sequence){};

TEST(shutdown_sequence, an_idle_instance_refuses_new_requests_before_it_exits) {
    // GIVEN an instance without requests that received its stop signal
    shutdown_sequence sequence = start_shutdown(grace, start);
    // WHEN the load balancer may still send callers
    // THEN it serves
    CHECK_TRUE(advance_until(sequence, 2550ms, 0) == shutdown_phase::serving);
    // WHEN the load balancer has removed it
    // THEN it refuses new requests for 0.1 s before it exits
    CHECK_TRUE(advance(sequence, 0, start + 2600ms) == shutdown_phase::refusing);
    CHECK_TRUE(advance(sequence, 0, start + 2650ms) == shutdown_phase::refusing);
    CHECK_TRUE(advance(sequence, 0, start + 2700ms) == shutdown_phase::completed);
}

TEST(shutdown_sequence, a_request_that_arrives_before_the_exit_delays_it) {
    // GIVEN an idle instance that refuses new requests
    shutdown_sequence sequence = start_shutdown(grace, start);
    CHECK_TRUE(advance_until(sequence, 2650ms, 0) == shutdown_phase::refusing);
    // WHEN a request is being read or answered when the instance could exit
    // THEN it exits once the request has ended
    CHECK_TRUE(advance(sequence, 1, start + 2700ms) == shutdown_phase::refusing);
    CHECK_TRUE(advance(sequence, 1, start + 3500ms) == shutdown_phase::refusing);
    CHECK_TRUE(advance(sequence, 0, start + 3550ms) == shutdown_phase::completed);
}

TEST(shutdown_sequence, open_requests_are_completed_then_refused_then_aborted) {
    // GIVEN an instance with a request that doesn't end
    shutdown_sequence sequence = start_shutdown(grace, start);
    // WHEN time passes
    // THEN the phases follow in order, and the process exits before the grace time ends
    CHECK_TRUE(advance_until(sequence, 2750ms, 1) == shutdown_phase::draining);
    CHECK_TRUE(advance(sequence, 1, start + 2800ms) == shutdown_phase::refusing);
    CHECK_TRUE(advance(sequence, 1, start + 7099ms) == shutdown_phase::refusing);
    CHECK_TRUE(advance(sequence, 1, start + 7100ms) == shutdown_phase::expiring);
    CHECK_TRUE(advance(sequence, 1, start + 7250ms) == shutdown_phase::aborting);
    CHECK_TRUE(advance(sequence, 1, start + 7400ms) == shutdown_phase::completed);
}

TEST(shutdown_sequence, a_short_grace_time_ends_the_stop_early) {
    // GIVEN a grace time shorter than the removal from the load balancer
    shutdown_sequence sequence = start_shutdown(2000ms, start);
    // WHEN a request stays open
    // THEN it is aborted within the grace time
    CHECK_TRUE(advance(sequence, 1, start + 1000ms) == shutdown_phase::serving);
    CHECK_TRUE(advance(sequence, 1, start + 1300ms) == shutdown_phase::aborting);
    CHECK_TRUE(advance(sequence, 1, start + 1400ms) == shutdown_phase::completed);
}
