#include "coordination/roster/tests/explore.h"

#include "coordination/roster/tests/explore_world.h"

#include <algorithm>
#include <deque>
#include <random>
#include <unordered_set>

namespace cyclamenmount::testing {

namespace {

bool has_deliverable(const world& in) {
    return std::ranges::any_of(in.channel,
                               [&](const auto& one) { return is_deliverable(in, *one); });
}

//! The worlds that one action leads to.
struct successors {
    const exploration& wanted;
    const world& from;
    std::vector<world> found;

    [[nodiscard]] bool may_fail() const {
        return from.faults < wanted.faults;
    }

    template <typename Change>
    void add(Change change) {
        found.push_back(from);
        change(found.back());
    }

    template <typename Change>
    void add_fault(Change change) {
        add([&](world& next) {
            ++next.faults;
            change(next);
        });
    }

    //! Switches something off, which is a fault, or on again.
    template <typename Choose>
    void add_switch(Choose choose) {
        world probe = from;
        const bool is_off = choose(probe);
        if (is_off) {
            add([&](world& next) { choose(next) = false; });
        } else if (may_fail()) {
            add_fault([&](world& next) { choose(next) = true; });
        }
    }
};

void set_held(world& in, std::size_t index, bool held) {
    auto changed = std::make_shared<packet>(*in.channel[index]);
    changed->held = held;
    in.channel[index] = std::move(changed);
}

void add_packet_faults(successors& next) {
    for (std::size_t i = 0; i < next.from.channel.size(); ++i) {
        const packet& one = *next.from.channel[i];
        if (one.held) {
            next.add([&](world& in) {
                set_held(in, i, false);
                deliver_packet(in, i);
            });
        } else if (next.may_fail() && is_deliverable(next.from, one)) {
            next.add_fault([&](world& in) {
                in.channel.erase(in.channel.begin() + static_cast<std::ptrdiff_t>(i));
            });
            next.add_fault([&](world& in) { set_held(in, i, true); });
        }
    }
}

void add_pauses(successors& next) {
    for (std::size_t i = 0; i < node_count; ++i) {
        next.add_switch([i](world& in) -> bool& { return in.paused[i]; });
    }
}

void add_switches(successors& next) {
    for (std::size_t i = 0; i < node_count; ++i) {
        if (next.wanted.link_faults) {
            next.add_switch([i](world& in) -> bool& { return in.cut[i]; });
        }
        if (next.wanted.notice_faults) {
            next.add_switch([i](world& in) -> bool& { return in.muted[i]; });
        }
    }
    if (next.wanted.store_faults) {
        next.add_switch([](world& in) -> bool& { return in.store_down; });
    }
}

std::vector<world> successors_of(const exploration& wanted, const world& from) {
    successors next{wanted, from, {}};
    const bool quiet = !has_deliverable(from);
    if (!quiet) {
        next.add([](world& in) { deliver_round(in); });
    } else if (from.steps < wanted.time_steps) {
        next.add([](world& in) { step_time(in); });
    }
    if (wanted.packet_faults) {
        add_packet_faults(next);
    }
    if (wanted.pauses) {
        add_pauses(next);
    }
    if (quiet) {
        add_switches(next);
    }
    return std::move(next.found);
}

bool has_later_settled(const world& in) {
    return std::ranges::any_of(in.nodes, [](const auto& one) {
        return one->newest.generation > 1 && one->newest.settled;
    });
}

}  // namespace

exploration_result explore(const exploration& wanted) {
    exploration_result result;
    std::unordered_set<std::uint64_t> seen;
    std::deque<world> frontier = {make_world(wanted)};
    seen.insert(fingerprint_of(frontier.front()));
    while (!frontier.empty() && seen.size() < wanted.max_states) {
        const world current = std::move(frontier.front());
        frontier.pop_front();
        for (auto& next : successors_of(wanted, current)) {
            if (!seen.insert(fingerprint_of(next)).second) {
                continue;
            }
            result.settled_later += has_later_settled(next) ? 1 : 0;
            if (is_violated(next)) {
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

exploration_result walk(const exploration& wanted, std::uint64_t seed, int walks) {
    constexpr int usual_share = 4;  // of five moves take the usual course
    exploration_result result;
    std::mt19937_64 random(seed);
    for (int i = 0; i < walks; ++i) {
        world current = make_world(wanted);
        while (current.steps < wanted.time_steps) {
            auto next = successors_of(wanted, current);
            const bool usual = random() % (usual_share + 1) < usual_share;
            current = std::move(usual ? next.front() : next[random() % next.size()]);
            current.faults = 0;
            ++result.states;
            result.settled_later += has_later_settled(current) ? 1 : 0;
            if (is_violated(current)) {
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
