//! Cold start in fake time: slots of homes against a static split and against no homes.
//!
//! Eight instances with the same traffic and faults in every run. Prints starts above the cold
//! capacity (1.5 s after an upstream turned cold), the most attempts running on one cold upstream,
//! and the share of the cold capacity in use.
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

enum class policy { slots, static_split, no_homes };

const char* name_of(policy value) {
    switch (value) {
    case policy::slots:
        return "slots of homes";
    case policy::static_split:
        return "static 1/N";
    case policy::no_homes:
        return "no homes";
    }
    return "";
}

//! What one instance of a baseline knows of an upstream from its own last poll.
struct polled_upstream {
    bool warm{false};
    int in_flight{0};
    int own_at_poll{0};
};

struct baseline {
    policy kind{policy::no_homes};
    std::map<std::pair<std::size_t, upstream_id>, polled_upstream> known;
    std::uint64_t turn{0};
};

int own_running(const fleet& all, std::size_t index, const upstream_id& id) {
    const auto& attempts = all.instances[index].attempts;
    return static_cast<int>(std::count_if(attempts.begin(), attempts.end(), [&](const auto& each) {
        return each.second.grant.upstream == id;
    }));
}

//! Part of an upstream's cold capacity that is this instance's for good.
int static_part(const fleet& all, std::size_t index, const upstream_id& id) {
    const std::size_t count = all.instances.size();
    const auto capacity = static_cast<std::size_t>(all.settings.cold_capacity);
    const std::size_t offset = std::hash<std::string>{}(id.value) % count;
    const std::size_t rank = (index + offset) % count;
    return static_cast<int>(capacity / count + (rank < capacity % count ? 1 : 0));
}

bool has_room(const fleet& all, const baseline& state, std::size_t index, const upstream_id& id) {
    const auto found = state.known.find({index, id});
    if (found == state.known.end()) {
        return false;
    }
    const polled_upstream& known = found->second;
    const int own = own_running(all, index, id);
    const int estimate = known.in_flight + own - known.own_at_poll;
    if (known.warm) {
        return estimate < all.upstreams.at(id).capacity;
    }
    if (state.kind == policy::static_split) {
        return own < static_part(all, index, id);
    }
    return std::max(estimate, own) < all.settings.cold_capacity;
}

std::optional<upstream_id> choose(const fleet& all, baseline& state, std::size_t index) {
    std::vector<upstream_id> free;
    for (const auto& [id, upstream] : all.upstreams) {
        if (has_room(all, state, index, id)) {
            free.push_back(id);
        }
    }
    if (free.empty()) {
        return std::nullopt;
    }
    return free[state.turn++ % free.size()];
}

void poll_all(fleet& all, baseline& state, std::size_t index) {
    for (const auto& [id, upstream] : all.upstreams) {
        state.known[{index, id}] = {upstream.condition == upstream_condition::warm,
                                    static_cast<int>(upstream.running.size()),
                                    own_running(all, index, id)};
    }
    later(all, poll_period, [&all, &state, index] { poll_all(all, state, index); });
}

void use_baseline(fleet& all, baseline& state) {
    all.chooser = [&all, &state](std::size_t index) { return choose(all, state, index); };
    for (std::size_t i = 0; i < all.instances.size(); ++i) {
        later(all, milliseconds(61 * i), [&all, &state, i] { poll_all(all, state, i); });
    }
}

void make_all(fleet& all, upstream_condition condition, bool restart) {
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
    std::function<void(fleet&)> run;  //!< until the measured part
};

std::vector<scenario> scenarios() {
    return {
        {"all start cold", [](fleet& all) { run_for(all, milliseconds(5000)); }},
        {"turn cold under load",
         [](fleet& all) {
             make_all(all, upstream_condition::warm, false);
             run_for(all, milliseconds(10000));
             make_all(all, upstream_condition::cold, false);
             run_for(all, milliseconds(1500));
         }},
        {"restart under load",
         [](fleet& all) {
             make_all(all, upstream_condition::warm, false);
             run_for(all, milliseconds(10000));
             make_all(all, upstream_condition::cold, true);
             run_for(all, milliseconds(1500));
         }},
        {"instance killed while cold",
         [](fleet& all) {
             run_for(all, milliseconds(5000));
             const std::size_t home = home_index(all, all.upstreams.begin()->first);
             kill_instance(all, home);
             later(all, milliseconds(6000), [&all, home] { change_generation(all, home); });
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
        use_baseline(*all, *state);
    }
    // The list is read before the store goes down.
    run_for(*all, milliseconds(600));
    each.run(*all);
    reset_use(*all);
    int most = 0;
    for (int second = 0; second < 300; ++second) {
        run_for(*all, milliseconds(100));
        most = std::max(most, most_running_while_cold(*all));
    }
    std::printf("%-28s %8lld  %-16s %10d %12d %13.0f%%\n", each.name,
                static_cast<long long>(attempt_time.count()), name_of(kind), over_cold(*all), most,
                100 * cold_capacity_used(*all));
}

}  // namespace

int main() {
    std::printf("8 instances, 4 upstreams of cold capacity 2, 30 s measured, fake time\n");
    std::printf("%-28s %8s  %-16s %10s %12s %14s\n", "scenario", "took ms", "policy", "over cold",
                "most running", "capacity used");
    for (const auto attempt_time : {milliseconds(200), milliseconds(3000)}) {
        for (const scenario& each : scenarios()) {
            for (const policy kind : {policy::slots, policy::static_split, policy::no_homes}) {
                measure(each, kind, attempt_time);
            }
        }
    }
    return 0;
}
