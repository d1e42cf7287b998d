//! Cold start with a simulated clock: slots granted by each upstream's owner, compared with a
//! static split of the cold capacity and with no coordination.
//!
//! Eight instances with the same traffic and faults in every run. Prints the starts above the cold
//! capacity (from 1.5 s after an upstream turned cold), the maximum of attempts running on one cold
//! upstream, and the used fraction of the cold capacity.
#include "coordination/dispatch/tests/fake_fleet.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

constexpr milliseconds poll_period{500};

enum class policy { slots, static_split, no_owners };

const char* name_of(policy value) {
    switch (value) {
    case policy::slots:
        return "slots of homes";
    case policy::static_split:
        return "static 1/N";
    case policy::no_owners:
        return "no homes";
    }
    return "";
}

//! State of an upstream as of an instance's last poll, for the baselines without slots.
struct polled_upstream {
    bool warm{false};
    int in_flight{0};
    int local_at_poll{0};
};

struct baseline {
    policy kind{policy::no_owners};
    std::map<std::pair<std::size_t, upstream_id>, polled_upstream> polled;
    std::uint64_t next_choice{0};
};

int count_local_attempts(const fleet& all, std::size_t index, const upstream_id& id) {
    const auto& attempts = all.instances[index].attempts;
    return static_cast<int>(std::count_if(attempts.begin(), attempts.end(), [&](const auto& each) {
        return each.second.grant.upstream == id;
    }));
}

//! Returns this instance's fixed part of an upstream's cold capacity.
int static_limit(const fleet& all, std::size_t index, const upstream_id& id) {
    const std::size_t count = all.instances.size();
    const auto capacity = static_cast<std::size_t>(all.settings.cold_capacity);
    const std::size_t offset = std::hash<std::string>{}(id.value) % count;
    const std::size_t rank = (index + offset) % count;
    return static_cast<int>(capacity / count + (rank < capacity % count ? 1 : 0));
}

bool has_capacity(const fleet& all, const baseline& state, std::size_t index,
                  const upstream_id& id) {
    const auto found = state.polled.find({index, id});
    if (found == state.polled.end()) {
        return false;
    }
    const polled_upstream& polled = found->second;
    const int local = count_local_attempts(all, index, id);
    const int estimate = polled.in_flight + local - polled.local_at_poll;
    if (polled.warm) {
        return estimate < all.upstreams.at(id).capacity;
    }
    if (state.kind == policy::static_split) {
        return local < static_limit(all, index, id);
    }
    return std::max(estimate, local) < all.settings.cold_capacity;
}

std::optional<upstream_id> choose(const fleet& all, baseline& state, std::size_t index) {
    std::vector<upstream_id> free;
    for (const auto& [id, upstream] : all.upstreams) {
        if (has_capacity(all, state, index, id)) {
            free.push_back(id);
        }
    }
    if (free.empty()) {
        return std::nullopt;
    }
    return free[state.next_choice++ % free.size()];
}

void poll_all(fleet& all, baseline& state, std::size_t index) {
    for (const auto& [id, upstream] : all.upstreams) {
        state.polled[{index, id}] = {upstream.condition == upstream_condition::warm,
                                     static_cast<int>(upstream.running.size()),
                                     count_local_attempts(all, index, id)};
    }
    schedule(all, poll_period, [&all, &state, index] { poll_all(all, state, index); });
}

void set_baseline_chooser(fleet& all, baseline& state) {
    all.chooser = [&all, &state](std::size_t index) { return choose(all, state, index); };
    for (std::size_t i = 0; i < all.instances.size(); ++i) {
        schedule(all, milliseconds(61 * i), [&all, &state, i] { poll_all(all, state, i); });
    }
}

void set_all_conditions(fleet& all, upstream_condition condition, bool restart) {
    for (auto& [id, upstream] : all.upstreams) {
        if (condition == upstream_condition::warm) {
            turn_warm(all, id);
        } else {
            turn_cold(all, id, restart);
        }
    }
}

struct scenario {
    const char* name;
    std::function<void(fleet&)> run;  //!< runs the fleet up to the start of the measurement
};

std::vector<scenario> scenarios() {
    return {
        {"all start cold", [](fleet& all) { run_for(all, milliseconds(5000)); }},
        {"turn cold under load",
         [](fleet& all) {
             set_all_conditions(all, upstream_condition::warm, false);
             run_for(all, milliseconds(10000));
             set_all_conditions(all, upstream_condition::cold, false);
             run_for(all, milliseconds(1500));
         }},
        {"restart under load",
         [](fleet& all) {
             set_all_conditions(all, upstream_condition::warm, false);
             run_for(all, milliseconds(10000));
             set_all_conditions(all, upstream_condition::cold, true);
             run_for(all, milliseconds(1500));
         }},
        {"instance killed while cold",
         [](fleet& all) {
             run_for(all, milliseconds(5000));
             const std::size_t owner = owner_index(all, all.upstreams.begin()->first);
             kill_instance(all, owner);
             schedule(all, milliseconds(6000), [&all, owner] { change_generation(all, owner); });
         }},
        {"store down",
         [](fleet& all) {
             all.store.up = false;
             run_for(all, milliseconds(5000));
         }},
    };
}

void measure(const scenario& each, policy kind, milliseconds attempt_time) {
    auto all = std::make_unique<fleet>();
    auto state = std::make_unique<baseline>();
    state->kind = kind;
    fleet_settings settings;
    settings.attempt_time = attempt_time;
    start_fleet(*all, settings);
    if (kind != policy::slots) {
        set_baseline_chooser(*all, *state);
    }
    // Lets the instances read the instance list before the store goes down.
    run_for(*all, milliseconds(600));
    each.run(*all);
    reset_capacity_use(*all);
    int max_running = 0;
    for (int second = 0; second < 300; ++second) {
        run_for(*all, milliseconds(100));
        max_running = std::max(max_running, most_running_while_cold(*all));
    }
    std::printf("%-28s %8lld  %-16s %10d %12d %13.0f%%\n", each.name,
                static_cast<long long>(attempt_time.count()), name_of(kind),
                starts_over_cold_capacity(*all), max_running, 100 * cold_capacity_use(*all));
}

}  // namespace

int main() {
    std::printf("8 instances, 4 upstreams of cold capacity 2, 30 s measured, fake time\n");
    std::printf("%-28s %8s  %-16s %10s %12s %14s\n", "scenario", "took ms", "policy", "over cold",
                "most running", "capacity used");
    for (const auto attempt_time : {milliseconds(200), milliseconds(3000)}) {
        for (const scenario& each : scenarios()) {
            for (const policy kind : {policy::slots, policy::static_split, policy::no_owners}) {
                measure(each, kind, attempt_time);
            }
        }
    }
    return 0;
}
