//! Compares upstream choices in a discrete-event simulation: the project's choice, round robin and
//! least loaded.
//!
//! Instances receive an upstream's load with its responses and every half second. An upstream runs
//! a bounded number of attempts and queues the rest; a cached prefix shortens an attempt. Prints
//! the time from arrival to the start of work, including the network, and to the end of work.
#include "routing/choose.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace cyclamenmount;

namespace {

constexpr double report_period_ms = 500;
constexpr double same_zone_ms = 0.1;
constexpr double work_ms = 400;
constexpr double cached_time_fraction = 0.6;
constexpr double retry_ms = 5;
constexpr std::size_t cached_prefixes = 24;
constexpr std::size_t prefixes = 400;
constexpr int instances = 8;
constexpr double simulated_ms = 120'000;
constexpr unsigned fixed_seed = 7;

enum class policy { project, round_robin, least_loaded };

constexpr std::array<const char*, 3> policy_names = {"project", "round robin", "least loaded"};

struct deployment {
    const char* name;
    int zones;
    int upstreams;
    double zone_ms;
    int capacity;
};

struct request {
    double arrived{0};
    int instance{0};
    std::size_t prefix{0};
};

struct simulated_upstream {
    int zone{0};
    int working{0};
    std::deque<request> queue;
    std::list<std::size_t> cache;  //!< cached prefixes, most recently used first
};

struct view {
    int reported{0};
    int local{0};
    int local_at_report{0};
};

struct simulation {
    deployment setup;
    policy kind{policy::project};
    std::vector<simulated_upstream> upstreams;
    std::vector<std::vector<view>> views;  //!< indexed by instance, then upstream
    std::vector<std::size_t> next_target;
    std::multimap<double, std::function<void()>> pending_events;
    double now{0};
    std::mt19937_64 random{fixed_seed};
    std::vector<double> wait_times;
    std::vector<double> total_times;  //!< ms from arrival to the end of work
    long cross_zone{0};
    long hits{0};
    std::discrete_distribution<std::size_t> popularity;
};

int zone_of_instance(const simulation& sim, int instance) {
    return instance % sim.setup.zones;
}

double network_ms(const simulation& sim, int instance, std::size_t target) {
    const bool near = zone_of_instance(sim, instance) == sim.upstreams[target].zone;
    return near ? same_zone_ms : sim.setup.zone_ms;
}

void schedule(simulation& sim, double after, std::function<void()> action) {
    sim.pending_events.emplace(sim.now + after, std::move(action));
}

void report(simulation& sim, int instance, std::size_t target) {
    view& target_view = sim.views[instance][target];
    const simulated_upstream& reporting = sim.upstreams[target];
    target_view.reported = reporting.working + static_cast<int>(reporting.queue.size());
    target_view.local_at_report = target_view.local;
}

bool use_cache(simulated_upstream& target, std::size_t prefix) {
    const auto found = std::find(target.cache.begin(), target.cache.end(), prefix);
    const bool hit = found != target.cache.end();
    if (hit) {
        target.cache.erase(found);
    }
    target.cache.push_front(prefix);
    if (target.cache.size() > cached_prefixes) {
        target.cache.pop_back();
    }
    return hit;
}

void start_work(simulation& sim, std::size_t target, const request& arrived_request);

void end_work(simulation& sim, std::size_t target, const request& arrived_request) {
    simulated_upstream& target_upstream = sim.upstreams[target];
    --target_upstream.working;
    sim.total_times.push_back(sim.now - arrived_request.arrived);
    if (!target_upstream.queue.empty()) {
        const request next = target_upstream.queue.front();
        target_upstream.queue.pop_front();
        start_work(sim, target, next);
    }
    schedule(sim, network_ms(sim, arrived_request.instance, target),
             [&sim, target, arrived_request] {
                 --sim.views[arrived_request.instance][target].local;
                 report(sim, arrived_request.instance, target);
             });
}

void start_work(simulation& sim, std::size_t target, const request& arrived_request) {
    simulated_upstream& target_upstream = sim.upstreams[target];
    ++target_upstream.working;
    const bool hit = use_cache(target_upstream, arrived_request.prefix);
    sim.hits += hit ? 1 : 0;
    sim.wait_times.push_back(sim.now - arrived_request.arrived);
    std::lognormal_distribution<double> spread(0, 0.4);
    const double duration = work_ms * spread(sim.random) * (hit ? cached_time_fraction : 1);
    schedule(sim, duration,
             [&sim, target, arrived_request] { end_work(sim, target, arrived_request); });
}

std::optional<std::size_t> choose(simulation& sim, const request& arrived_request) {
    const std::size_t count = sim.upstreams.size();
    const auto& upstream_views = sim.views[arrived_request.instance];
    if (sim.kind == policy::round_robin) {
        return sim.next_target[arrived_request.instance]++ % count;
    }
    if (sim.kind == policy::least_loaded) {
        const auto least_loaded_view = std::min_element(
            upstream_views.begin(), upstream_views.end(),
            [](const view& left, const view& right) { return left.reported < right.reported; });
        return static_cast<std::size_t>(least_loaded_view - upstream_views.begin());
    }
    std::vector<candidate> candidates;
    for (std::size_t i = 0; i < count; ++i) {
        candidates.push_back({upstream_id{"r" + std::to_string(i)},
                              zone_name{std::to_string(sim.upstreams[i].zone)},
                              upstream_views[i].reported, upstream_views[i].local,
                              upstream_views[i].local_at_report, sim.setup.capacity, false});
    }
    const zone_name local_zone{std::to_string(zone_of_instance(sim, arrived_request.instance))};
    return choose_upstream(candidates, {local_zone, arrived_request.prefix + 1, sim.random()});
}

void route(simulation& sim, const request& arrived_request) {
    const auto target = choose(sim, arrived_request);
    if (!target) {
        schedule(sim, retry_ms, [&sim, arrived_request] { route(sim, arrived_request); });
        return;
    }
    ++sim.views[arrived_request.instance][*target].local;
    sim.cross_zone +=
        zone_of_instance(sim, arrived_request.instance) != sim.upstreams[*target].zone ? 1 : 0;
    schedule(sim, network_ms(sim, arrived_request.instance, *target),
             [&sim, arrived_request, at = *target] {
                 simulated_upstream& target_upstream = sim.upstreams[at];
                 if (target_upstream.working < sim.setup.capacity) {
                     start_work(sim, at, arrived_request);
                 } else {
                     target_upstream.queue.push_back(arrived_request);
                 }
             });
}

void arrive(simulation& sim, double mean_gap_ms) {
    const request arrived_request{sim.now, static_cast<int>(sim.random() % instances),
                                  sim.popularity(sim.random)};
    route(sim, arrived_request);
    std::exponential_distribution<double> gap(1 / mean_gap_ms);
    schedule(sim, gap(sim.random), [&sim, mean_gap_ms] { arrive(sim, mean_gap_ms); });
}

void report_all(simulation& sim) {
    for (int i = 0; i < instances; ++i) {
        for (std::size_t r = 0; r < sim.upstreams.size(); ++r) {
            report(sim, i, r);
        }
    }
    schedule(sim, report_period_ms, [&sim] { report_all(sim); });
}

double quantile(std::vector<double>& values, double q) {
    const auto index = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

void prepare(simulation& sim) {
    sim.upstreams.resize(sim.setup.upstreams);
    for (int i = 0; i < sim.setup.upstreams; ++i) {
        sim.upstreams[i].zone = i % sim.setup.zones;
    }
    sim.views.assign(instances, std::vector<view>(sim.setup.upstreams));
    sim.next_target.assign(instances, 0);
    std::vector<double> weights;
    for (std::size_t i = 0; i < prefixes; ++i) {
        weights.push_back(1.0 / std::pow(static_cast<double>(i + 1), 0.8));
    }
    sim.popularity = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

void measure(const deployment& setup, policy kind, double load) {
    simulation sim;
    sim.setup = setup;
    sim.kind = kind;
    prepare(sim);
    // Load 1 is the full capacity of the upstreams when no prefix is cached.
    const double mean_work = work_ms * std::exp(0.4 * 0.4 / 2);
    report_all(sim);
    arrive(sim, mean_work / (load * setup.upstreams * setup.capacity));
    while (sim.pending_events.begin()->first < simulated_ms) {
        auto node = sim.pending_events.extract(sim.pending_events.begin());
        sim.now = node.key();
        node.mapped()();
    }
    const auto count = static_cast<double>(sim.wait_times.size());
    std::printf("%-14s %5.2f  %-13s %8.0f %8.1f %8.1f %8.1f %10.1f %10.1f %9.0f%% %9.0f%%\n",
                setup.name, load, policy_names.at(static_cast<std::size_t>(kind)), count,
                quantile(sim.wait_times, 0.5), quantile(sim.wait_times, 0.95),
                quantile(sim.wait_times, 0.99), quantile(sim.total_times, 0.5),
                quantile(sim.total_times, 0.95), 100 * static_cast<double>(sim.cross_zone) / count,
                100 * static_cast<double>(sim.hits) / count);
}

}  // namespace

int main() {
    const std::array<deployment, 2> setups = {
        deployment{"Gwledd Encil", 3, 10, 0.5, 8},
        deployment{"Playsafe", 4, 20, 1.5, 8},
    };
    std::printf("%d s simulated, %d instances, seed %u; waits in ms\n",
                static_cast<int>(simulated_ms / 1000), instances, fixed_seed);
    std::printf("%-14s %5s  %-13s %8s %8s %8s %8s %10s %10s %10s %10s\n", "deployment", "load",
                "choice", "requests", "p50", "p95", "p99", "whole p50", "whole p95", "other zone",
                "prefix hit");
    for (const deployment& setup : setups) {
        for (const double load : {0.5, 0.8, 0.95}) {
            for (const policy kind : {policy::project, policy::round_robin, policy::least_loaded}) {
                measure(setup, kind, load);
            }
        }
    }
    return 0;
}
