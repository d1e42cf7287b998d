#include "process_start/retried_start.h"

#include <vector>

#include <CppUTest/TestHarness.h>
#include <unistd.h>

using namespace cyclamenmount;

namespace {

constexpr start_retry fast{1ms, 5s};

struct attempts {
    std::vector<start_attempt> planned;
    std::size_t made{0};
    std::vector<std::string> reports{};

    start_outcome run(const start_retry& timing) {
        return retry_start(
            signals, timing, [this] { return planned[std::min(made++, planned.size() - 1)]; },
            [this](const std::string& failure) { reports.push_back(failure); });
    }

    sigset_t signals{block_signals({SIGTERM, SIGINT, SIGHUP})};
};

const start_attempt incomplete{false, true, "the settings aren't complete"};
const start_attempt busy{false, true, "the port is in use"};
const start_attempt done{true, false, ""};

}  // namespace

TEST_GROUP(process_start){void teardown() override{
    // Signals that a test left pending would end the program when they are unblocked.
    sigset_t pending = block_signals({SIGTERM, SIGINT, SIGHUP});
while (wait_for_signal(pending, 0ms)) {}
}
}
;

// Guards against a start that ends for a reason that passes by itself.
TEST(process_start, a_step_that_fails_for_a_while_is_tried_again_and_reported_once_a_reason) {
    // GIVEN a step that fails for one reason, then for another, then succeeds
    attempts step{{incomplete, incomplete, busy, busy, done}};
    // WHEN the process starts
    const start_outcome outcome = step.run(fast);
    // THEN it is done, and each reason was reported once
    CHECK_TRUE(outcome == start_outcome::done);
    LONGS_EQUAL(2, step.reports.size());
    STRCMP_EQUAL("the port is in use", step.reports.back().c_str());
}

TEST(process_start, a_step_that_can_not_succeed_is_not_tried_again) {
    // GIVEN a step that fails for good
    attempts step{{{false, false, "no such address"}, done}};
    // WHEN the process starts
    const start_outcome outcome = step.run(fast);
    // THEN the start has failed at once
    CHECK_TRUE(outcome == start_outcome::failed);
    LONGS_EQUAL(1, step.made);
}

TEST(process_start, a_step_that_keeps_failing_ends_the_start_after_the_limit) {
    // GIVEN a step that never succeeds
    attempts step{{incomplete}};
    // WHEN the process starts with a limit of 50 ms
    const instant started = boot_clock::now();
    const start_outcome outcome = step.run({5ms, 50ms});
    // THEN the start has failed, not before the limit
    CHECK_TRUE(outcome == start_outcome::failed);
    CHECK_TRUE(boot_clock::now() - started >= 50ms);
}

TEST(process_start, a_stop_ends_the_start) {
    // GIVEN a step that never succeeds, and a SIGTERM that arrives before it
    attempts step{{incomplete}};
    (void)kill(getpid(), SIGTERM);
    // WHEN the process starts
    const start_outcome outcome = step.run({5s, 10s});
    // THEN it is stopped at once
    CHECK_TRUE(outcome == start_outcome::stopped);
    LONGS_EQUAL(1, step.made);
}

TEST(process_start, a_reload_makes_the_next_attempt_at_once) {
    // GIVEN a step that succeeds at the second attempt, and a SIGHUP that arrives before
    attempts step{{incomplete, done}};
    (void)kill(getpid(), SIGHUP);
    // WHEN the process starts with long pauses
    const instant started = boot_clock::now();
    const start_outcome outcome = step.run({5s, 10s});
    // THEN it doesn't wait for the pause
    CHECK_TRUE(outcome == start_outcome::done);
    CHECK_TRUE(boot_clock::now() - started < 5s);
}

// Guards against signals that end a process which no longer handles them.
TEST(process_start, signals_are_delivered_only_while_they_are_handled) {
    // GIVEN a handler that counts
    static volatile sig_atomic_t received = 0;
    received = 0;
    const sigset_t signals = block_signals({SIGHUP});
    (void)std::signal(SIGHUP, [](int) { received = received + 1; });
    // WHEN signals arrive before, during and after the delivery
    (void)kill(getpid(), SIGHUP);
    LONGS_EQUAL(0, received);
    {
        const signal_delivery delivered({SIGHUP});
        LONGS_EQUAL(1, received);
        (void)kill(getpid(), SIGHUP);
        LONGS_EQUAL(2, received);
    }
    (void)kill(getpid(), SIGHUP);
    // THEN the first two were handled and the third is pending
    LONGS_EQUAL(2, received);
    CHECK_TRUE(wait_for_signal(signals, 0ms) == SIGHUP);
    (void)std::signal(SIGHUP, SIG_DFL);
}
