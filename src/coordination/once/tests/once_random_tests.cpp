//! Seeded random interleavings of everything that may happen to a call that runs at most once.
#include "coordination/once/tests/once_fleet.h"

#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

constexpr int seeds = 2000;
constexpr int steps = 500;

//! One run: its judge counts the calls that left for each key.
struct random_run {
    fleet all = make_fleet(3);
    std::mt19937_64 random;
    std::map<ticket, std::pair<std::size_t, std::string>> asked;
    std::set<ticket> judged;
    std::map<std::string, int> runs;
    std::map<ticket, std::string> running;  //!< calls that left, by question
    std::vector<message_in_flight> delivered;
    int violations{0};
    int granted{0};

    explicit random_run(std::uint64_t seed) : random(seed) {}

    std::size_t pick(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    }
};

void ask_anywhere(random_run& run) {
    const std::size_t index = run.pick(run.all.instances.size());
    if (run.all.instances[index].dead) {
        return;
    }
    const std::string key = "key-" + std::to_string(run.pick(6));
    const milliseconds waits(200 + 200 * static_cast<int>(run.pick(8)));
    const ticket number = run.all.ask(index, key, "body", waits);
    run.asked[number] = {index, key};
}

//! Messages arrive in any order, some of them twice or never.
void deliver_one(random_run& run) {
    if (run.all.messages.empty()) {
        return;
    }
    const std::size_t place = run.pick(run.all.messages.size());
    const message_in_flight message = run.all.messages[place];
    run.all.messages.erase(run.all.messages.begin() + static_cast<std::ptrdiff_t>(place));
    if (run.pick(12) == 0) {
        return;
    }
    run.delivered.push_back(message);
    run.all.deliver(message);
    if (run.pick(12) == 0) {
        run.all.deliver(run.delivered[run.pick(run.delivered.size())]);
    }
}

void carry_out_one(random_run& run) {
    if (run.all.calls.empty()) {
        return;
    }
    const std::size_t place = run.pick(run.all.calls.size());
    const store_call call = run.all.calls[place];
    run.all.calls.erase(run.all.calls.begin() + static_cast<std::ptrdiff_t>(place));
    if (std::holds_alternative<store_write>(call.call) && run.pick(5) == 0) {
        run.all.store.next_writes = {static_cast<store_fault>(run.pick(5))};
    }
    const store_replied reply = run.all.store.answer(call.call);
    run.all.store.next_writes.clear();
    if (run.pick(10) != 0) {
        run.all.post(call.caller, reply);
    }
}

//! Any instance may come to believe in any members, so several may act as the home at once.
void change_view(random_run& run) {
    std::vector<std::size_t> seen;
    for (std::size_t index = 0; index < run.all.instances.size(); ++index) {
        if (run.pick(3) != 0) {
            seen.push_back(index);
        }
    }
    if (!seen.empty()) {
        run.all.set_view(run.pick(run.all.instances.size()), seen, 1 + run.pick(9));
    }
}

//! The process ends; another with a new id takes its place.
void restart_one(random_run& run) {
    const std::size_t index = run.pick(run.all.instances.size());
    fake_instance& instance = run.all.instances[index];
    instance.env.self.id.value += "+";
    instance.once = make_once();
    std::erase_if(run.all.calls, [index](const store_call& call) { return call.caller == index; });
    std::erase_if(run.asked, [index](const auto& place) { return place.second.first == index; });
    std::erase_if(run.running,
                  [&run](const auto& place) { return !run.asked.contains(place.first); });
    for (std::size_t other = 0; other < run.all.instances.size(); ++other) {
        run.all.set_view(other, {0, 1, 2}, 1 + run.pick(9));
    }
}

//! The caller's threads act on what was decided: a call leaves, or its permit is given back.
void act_on_decisions(random_run& run) {
    for (const auto& [number, found] : std::map(run.all.decisions)) {
        if (!run.asked.contains(number) || !run.judged.insert(number).second) {
            continue;
        }
        const auto& [index, key] = run.asked.at(number);
        if (found.reply.verdict == permit_verdict::done && run.runs[key] != 1) {
            ++run.violations;
        }
        if (found.reply.verdict != permit_verdict::granted) {
            continue;
        }
        if (run.pick(4) == 0) {
            run.all.give_back(index, key, number);
            continue;
        }
        ++run.granted;
        run.running[number] = key;
        run.violations += ++run.runs[key] > 1 ? 1 : 0;
    }
}

void end_one_call(random_run& run) {
    if (run.running.empty()) {
        return;
    }
    const auto [number, key] = *run.running.begin();
    run.running.erase(number);
    run.all.end_call(run.asked.at(number).first, key, number, {true, 200, "ran " + key});
}

void let_time_pass(random_run& run) {
    run.all.now += milliseconds(10 + 10 * static_cast<int>(run.pick(6)));
    const std::size_t index = run.pick(run.all.instances.size());
    fake_instance& instance = run.all.instances[index];
    if (run.pick(4) != 0) {
        instance.roster =
            make_settled_roster(instance.env, instance.view, instance.generation, run.all.now);
    }
    run.all.post(index, tick{});
}

void step(random_run& run) {
    const std::size_t choice = run.pick(100);
    if (choice < 8) {
        ask_anywhere(run);
    } else if (choice < 48) {
        deliver_one(run);
    } else if (choice < 70) {
        carry_out_one(run);
    } else if (choice < 93) {
        let_time_pass(run);
    } else if (choice < 94) {
        change_view(run);
    } else if (choice < 95) {
        run.all.store.release_late();
    } else if (run.pick(30) == 0) {
        run.all.store.down = !run.all.store.down;
    } else if (run.pick(30) == 0) {
        restart_one(run);
    } else {
        end_one_call(run);
    }
    act_on_decisions(run);
}

//! Everything heals; a new key must be granted then.
bool goes_on(random_run& run) {
    run.all.store.down = false;
    run.all.store.release_late();
    for (std::size_t index = 0; index < run.all.instances.size(); ++index) {
        run.all.set_view(index, {0, 1, 2}, 10);
    }
    run.all.pass(milliseconds(8000));
    const ticket number = run.all.ask(1, "fresh");
    run.all.pass(milliseconds(1000));
    return run.all.is_granted(number);
}

}  // namespace

TEST_GROUP(once_random){};

TEST(once_random, no_key_runs_twice_and_each_question_is_decided_once) {
    int granted = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        random_run run(seed);
        for (int count = 0; count < steps; ++count) {
            step(run);
        }
        const bool alive = goes_on(run);
        act_on_decisions(run);
        const std::string text = "seed " + std::to_string(seed);
        LONGS_EQUAL_TEXT(0, run.violations, text.c_str());
        CHECK_TRUE_TEXT(alive, text.c_str());
        for (const auto& [number, times] : run.all.decided_times) {
            LONGS_EQUAL_TEXT(1, times, text.c_str());
        }
        granted += run.granted;
    }
    CHECK_TRUE(granted > seeds);
}
