#include "process_start/signals.h"

#include <CppUTest/TestHarness.h>
#include <unistd.h>

using namespace cyclamenmount;

TEST_GROUP(process_start){void teardown() override{
    // Signals that a test left pending would end the program when they are unblocked.
    sigset_t pending = block_signals({SIGTERM, SIGINT, SIGHUP});
while (wait_for_signal(pending, 0ms)) {}
}
}
;

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
