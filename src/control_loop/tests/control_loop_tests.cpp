// Tests of the control thread.
#include "control_loop/control_loop.h"

#include <atomic>
#include <stdexcept>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr milliseconds test_timeout{5000};

std::unique_ptr<control_loop> start_loop(effect_handlers handlers) {
    environment env;
    env.self = {instance_id{"i"}, "127.0.0.1:1", zone_name{"z"}};
    auto loop = std::move(control_loop::start(env).value());
    loop->run(std::move(handlers));
    return loop;
}

effect_handlers no_effects() {
    effect_handlers handlers;
    handlers.send = [](const send_to_peer&) {};
    handlers.read = [](const store_read&) {};
    handlers.write = [](const store_write&) {};
    handlers.watch = [](const watch_prefix&) {};
    handlers.list = [](const list_instances&) {};
    handlers.poll = [](const poll_upstream&) {};
    handlers.order = [](const order_upstream&) {};
    handlers.log = [](const log_line&) {};
    return handlers;
}

template <typename Condition>
bool holds_in_time(Condition condition) {
    const instant limit = boot_clock::now() + test_timeout;
    while (!condition() && boot_clock::now() < limit) {
        std::this_thread::sleep_for(2ms);
    }
    return condition();
}

}  // namespace

TEST_GROUP(control_loop){};

// Guards against a process that ends because one effect can't be carried out.
TEST(control_loop, an_exception_of_an_effect_handler_does_not_end_the_thread) {
    // GIVEN a loop whose handlers for reads and lists throw, each time
    std::atomic<int> failures{0};
    std::atomic<int> watches{0};
    effect_handlers handlers = no_effects();
    handlers.read = [&](const store_read&) {
        ++failures;
        throw std::runtime_error("unexpected field");
    };
    handlers.list = [&](const list_instances&) {
        ++failures;
        throw std::runtime_error("unexpected field");
    };
    handlers.watch = [&](const watch_prefix&) { ++watches; };
    // WHEN it runs
    const auto loop = start_loop(std::move(handlers));
    // THEN its other effects are carried out, and it still responds
    CHECK_TRUE(holds_in_time([&] { return failures >= 2 && watches > 0; }));
    CHECK_TRUE(loop->inspect([](const control_state&) {}));
}

// Guards against a process that ends because the state can't be described to an operator.
TEST(control_loop, an_exception_of_an_inspection_reaches_its_caller_only) {
    // GIVEN a running loop
    const auto loop = start_loop(no_effects());
    // WHEN an inspection throws
    // THEN its caller receives the exception
    CHECK_THROWS(std::runtime_error, loop->inspect([](const control_state&) {
        throw std::runtime_error("unexpected field");
    }));
    // THEN the next inspection is carried out
    CHECK_TRUE(loop->inspect([](const control_state&) {}));
}
