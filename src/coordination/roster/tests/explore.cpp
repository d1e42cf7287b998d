#include "coordination/roster/tests/explore.h"

#include "coordination/roster/tests/explore_model.h"

#include <algorithm>
#include <deque>
#include <random>
#include <unordered_set>

namespace cyclamenmount::testing {

namespace {

bool has_deliverable(const model_state& model) {
    return std::ranges::any_of(model.channel,
                               [&](const auto& entry) { return is_deliverable(model, *entry); });
}

//! Collects the states that one action leads to.
struct successors {
    const exploration_config& config;
    const model_state& from;
    std::vector<model_state> found;

    [[nodiscard]] bool may_fail() const {
        return from.faults < config.faults;
    }

    template <typename Change>
    void add(Change change) {
        found.push_back(from);
        change(found.back());
    }

    template <typename Change>
    void add_fault(Change change) {
        add([&](model_state& next) {
            ++next.faults;
            change(next);
        });
    }

    //! Ends the fault that `select_flag` refers to if it is active, else starts it.
    template <typename SelectFlag>
    void add_toggle(SelectFlag select_flag) {
        model_state probe = from;
        const bool is_active = select_flag(probe);
        if (is_active) {
            add([&](model_state& next) { select_flag(next) = false; });
        } else if (may_fail()) {
            add_fault([&](model_state& next) { select_flag(next) = true; });
        }
    }
};

void set_delayed(model_state& model, std::size_t index, bool delayed) {
    auto changed = std::make_shared<packet>(*model.channel[index]);
    changed->delayed = delayed;
    model.channel[index] = std::move(changed);
}

//! Loses or delays each packet in flight, or delivers a delayed one.
void add_packet_faults(successors& next) {
    for (std::size_t i = 0; i < next.from.channel.size(); ++i) {
        const packet& entry = *next.from.channel[i];
        if (entry.delayed) {
            next.add([&](model_state& model) {
                set_delayed(model, i, false);
                deliver_packet(model, i);
            });
        } else if (next.may_fail() && is_deliverable(next.from, entry)) {
            next.add_fault([&](model_state& model) {
                model.channel.erase(model.channel.begin() + static_cast<std::ptrdiff_t>(i));
            });
            next.add_fault([&](model_state& model) { set_delayed(model, i, true); });
        }
    }
}

void add_pauses(successors& next) {
    for (std::size_t i = 0; i < node_count; ++i) {
        next.add_toggle([i](model_state& model) -> bool& { return model.paused[i]; });
    }
}

void add_toggles(successors& next) {
    for (std::size_t i = 0; i < node_count; ++i) {
        if (next.config.link_faults) {
            next.add_toggle([i](model_state& model) -> bool& { return model.cut[i]; });
        }
        if (next.config.notice_faults) {
            next.add_toggle([i](model_state& model) -> bool& { return model.muted[i]; });
        }
    }
    if (next.config.store_faults) {
        next.add_toggle([](model_state& model) -> bool& { return model.store_down; });
    }
}

//! All states that one action can reach. The first is the state after the regular next step,
//! without a new fault.
std::vector<model_state> successors_of(const exploration_config& config, const model_state& from) {
    successors next{config, from, {}};
    const bool is_idle = !has_deliverable(from);
    if (!is_idle) {
        next.add([](model_state& model) { deliver_round(model); });
    } else if (from.steps < config.time_steps) {
        next.add([](model_state& model) { step_time(model); });
    }
    if (config.packet_faults) {
        add_packet_faults(next);
    }
    if (config.pauses) {
        add_pauses(next);
    }
    if (is_idle) {
        add_toggles(next);
    }
    return std::move(next.found);
}

//! True if an instance has a settled generation after the first.
bool has_later_settled(const model_state& model) {
    return std::ranges::any_of(model.nodes, [](const auto& state) {
        return state->newest.generation > 1 && state->newest.settled;
    });
}

}  // namespace

exploration_result explore(const exploration_config& config) {
    exploration_result result;
    std::unordered_set<std::uint64_t> seen;
    std::deque<model_state> frontier = {make_model(config)};
    seen.insert(fingerprint_of(frontier.front()));
    while (!frontier.empty() && seen.size() < config.max_states) {
        const model_state current = std::move(frontier.front());
        frontier.pop_front();
        for (auto& next : successors_of(config, current)) {
            if (!seen.insert(fingerprint_of(next)).second) {
                continue;
            }
            result.states_settled_later += has_later_settled(next) ? 1 : 0;
            if (violates_exclusivity(next)) {
                result.violated = true;
                result.steps = next.steps;
                result.states = seen.size();
                return result;
            }
            frontier.push_back(std::move(next));
        }
    }
    result.complete = frontier.empty();
    result.states = seen.size();
    return result;
}

exploration_result walk_randomly(const exploration_config& config, std::uint64_t seed, int walks) {
    constexpr int default_moves = 4;  // of five moves; regular steps without a new fault
    exploration_result result;
    std::mt19937_64 random(seed);
    for (int i = 0; i < walks; ++i) {
        model_state current = make_model(config);
        while (current.steps < config.time_steps) {
            auto next = successors_of(config, current);
            const bool take_default = random() % (default_moves + 1) < default_moves;
            current = std::move(take_default ? next.front() : next[random() % next.size()]);
            current.faults = 0;
            ++result.states;
            result.states_settled_later += has_later_settled(current) ? 1 : 0;
            if (violates_exclusivity(current)) {
                result.violated = true;
                result.steps = current.steps;
                return result;
            }
        }
    }
    result.complete = true;
    return result;
}

}  // namespace cyclamenmount::testing
