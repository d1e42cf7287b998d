//! Seeded random interleavings of requests, messages, store faults, roster changes and restarts.
#include "coordination/at_most_once/tests/at_most_once_fleet.h"

#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

constexpr int seed_count = 2000;
constexpr int step_count = 500;

//! State of one seeded run. Counts the executions of each key.
struct random_run {
    test_fleet fleet = make_fleet(3);
    std::mt19937_64 random;
    std::map<ticket, std::pair<std::size_t, std::string>> requests;  //!< instance index and key
    std::set<ticket> handled;  //!< requests whose decision was handled
    std::map<std::string, int> executions;
    std::map<ticket, std::string> running;  //!< calls in execution: key by request number
    std::vector<message_in_flight> delivered;
    int violations{0};
    int granted{0};

    explicit random_run(std::uint64_t seed) : random(seed) {}

    std::size_t random_below(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    }
};

void request_random_permit(random_run& run) {
    const std::size_t index = run.random_below(run.fleet.instances.size());
    if (run.fleet.instances[index].crashed) {
        return;
    }
    const std::string key = "key-" + std::to_string(run.random_below(6));
    const milliseconds timeout(200 + 200 * static_cast<int>(run.random_below(8)));
    const ticket number = run.fleet.request_permit(index, key, "body", timeout);
    run.requests[number] = {index, key};
}

//! Delivers a random message. Some messages are lost, and some are delivered again later.
void deliver_one_message(random_run& run) {
    if (run.fleet.messages.empty()) {
        return;
    }
    const std::size_t position = run.random_below(run.fleet.messages.size());
    const message_in_flight message = run.fleet.messages[position];
    run.fleet.messages.erase(run.fleet.messages.begin() + static_cast<std::ptrdiff_t>(position));
    if (run.random_below(12) == 0) {
        return;
    }
    run.delivered.push_back(message);
    run.fleet.deliver(message);
    if (run.random_below(12) == 0) {
        run.fleet.deliver(run.delivered[run.random_below(run.delivered.size())]);
    }
}

void execute_one_store_call(random_run& run) {
    if (run.fleet.calls.empty()) {
        return;
    }
    const std::size_t position = run.random_below(run.fleet.calls.size());
    const store_call call = run.fleet.calls[position];
    run.fleet.calls.erase(run.fleet.calls.begin() + static_cast<std::ptrdiff_t>(position));
    if (std::holds_alternative<store_write>(call.call) && run.random_below(5) == 0) {
        run.fleet.store.next_write_faults = {static_cast<store_fault>(run.random_below(5))};
    }
    const store_replied reply = run.fleet.store.execute(call.call);
    run.fleet.store.next_write_faults.clear();
    if (run.random_below(10) != 0) {
        run.fleet.post(call.caller, reply);
    }
}

//! Sets a random roster at a random instance, so that several instances may act as owner at once.
void change_view(random_run& run) {
    std::vector<std::size_t> member_indexes;
    for (std::size_t index = 0; index < run.fleet.instances.size(); ++index) {
        if (run.random_below(3) != 0) {
            member_indexes.push_back(index);
        }
    }
    if (!member_indexes.empty()) {
        run.fleet.set_view(run.random_below(run.fleet.instances.size()), member_indexes,
                           1 + run.random_below(9));
    }
}

//! Replaces an instance by a new process with a new instance id.
void restart_one_instance(random_run& run) {
    const std::size_t index = run.random_below(run.fleet.instances.size());
    fake_instance& instance = run.fleet.instances[index];
    instance.env.self.id.value += "+";
    instance.at_most_once = make_at_most_once();
    std::erase_if(run.fleet.calls,
                  [index](const store_call& call) { return call.caller == index; });
    std::erase_if(run.requests, [index](const auto& item) { return item.second.first == index; });
    std::erase_if(run.running,
                  [&run](const auto& item) { return !run.requests.contains(item.first); });
    for (std::size_t other = 0; other < run.fleet.instances.size(); ++other) {
        run.fleet.set_view(other, {0, 1, 2}, 1 + run.random_below(9));
    }
}

//! Handles new decisions like a traffic thread: executes the call, or returns its permit.
void act_on_decisions(random_run& run) {
    for (const auto& [number, found] : std::map(run.fleet.decisions)) {
        if (!run.requests.contains(number) || !run.handled.insert(number).second) {
            continue;
        }
        const auto& [index, key] = run.requests.at(number);
        if (found.reply.verdict == permit_verdict::done && run.executions[key] != 1) {
            ++run.violations;
        }
        if (found.reply.verdict != permit_verdict::granted) {
            continue;
        }
        if (run.random_below(4) == 0) {
            run.fleet.return_permit(index, key, number);
            continue;
        }
        ++run.granted;
        run.running[number] = key;
        run.violations += ++run.executions[key] > 1 ? 1 : 0;
    }
}

void end_one_call(random_run& run) {
    if (run.running.empty()) {
        return;
    }
    const auto [number, key] = *run.running.begin();
    run.running.erase(number);
    run.fleet.end_call(run.requests.at(number).first, key, number, {true, 200, "ran " + key});
}

void tick_one_instance(random_run& run) {
    run.fleet.now += milliseconds(10 + 10 * static_cast<int>(run.random_below(6)));
    const std::size_t index = run.random_below(run.fleet.instances.size());
    fake_instance& instance = run.fleet.instances[index];
    if (run.random_below(4) != 0) {
        instance.roster =
            make_settled_roster(instance.env, instance.view, instance.generation, run.fleet.now);
    }
    run.fleet.post(index, tick{});
}

void step(random_run& run) {
    const std::size_t choice = run.random_below(100);
    if (choice < 8) {
        request_random_permit(run);
    } else if (choice < 48) {
        deliver_one_message(run);
    } else if (choice < 70) {
        execute_one_store_call(run);
    } else if (choice < 93) {
        tick_one_instance(run);
    } else if (choice < 94) {
        change_view(run);
    } else if (choice < 95) {
        run.fleet.store.apply_late_writes();
    } else if (run.random_below(30) == 0) {
        run.fleet.store.down = !run.fleet.store.down;
    } else if (run.random_below(30) == 0) {
        restart_one_instance(run);
    } else {
        end_one_call(run);
    }
    act_on_decisions(run);
}

//! Ends all faults; true if a request for a new key is granted afterwards.
bool recovers(random_run& run) {
    run.fleet.store.down = false;
    run.fleet.store.apply_late_writes();
    for (std::size_t index = 0; index < run.fleet.instances.size(); ++index) {
        run.fleet.set_view(index, {0, 1, 2}, 10);
    }
    run.fleet.advance_time(milliseconds(8000));
    const ticket number = run.fleet.request_permit(1, "fresh");
    run.fleet.advance_time(milliseconds(1000));
    return run.fleet.is_granted(number);
}

}  // namespace

TEST_GROUP(at_most_once_random){};

TEST(at_most_once_random, no_key_is_executed_twice_and_each_request_is_decided_once) {
    int granted = 0;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        random_run run(seed);
        for (int count = 0; count < step_count; ++count) {
            step(run);
        }
        const bool recovered = recovers(run);
        act_on_decisions(run);
        const std::string text = "seed " + std::to_string(seed);
        LONGS_EQUAL_TEXT(0, run.violations, text.c_str());
        CHECK_TRUE_TEXT(recovered, text.c_str());
        for (const auto& [number, times] : run.fleet.decision_counts) {
            LONGS_EQUAL_TEXT(1, times, text.c_str());
        }
        granted += run.granted;
    }
    CHECK_TRUE(granted > seed_count);
}
