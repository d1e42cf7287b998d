//! Upstream choice in a small discrete model: the project's choice, round robin, least loaded.
//!
//! Entry instances hear a runner's load with its responses and every half second. A runner works
//! on a bounded number of attempts and queues the rest; a cached prefix shortens an attempt.
//! Prints the wait from arrival to the start of work, network included, and the whole time.
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
constexpr double cached_part = 0.6;
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
    int runners;
    double zone_ms;
    int capacity;
};

struct request {
    double arrived{0};
    int instance{0};
    std::size_t prefix{0};
};

struct runner {
    int zone{0};
    int working{0};
    std::deque<request> queue;
    std::list<std::size_t> cache;  //!< newest first
};

struct view {
    int reported{0};
    int own{0};
    int own_at_report{0};
};

struct model {
    deployment place;
    policy kind{policy::project};
    std::vector<runner> runners;
    std::vector<std::vector<view>> views;  //!< by instance and runner
    std::vector<std::size_t> turn;
    std::multimap<double, std::function<void()>> agenda;
    double now{0};
    std::mt19937_64 random{fixed_seed};
    std::vector<double> waits;
    std::vector<double> wholes;  //!< from arrival to the end of work
    long crossed{0};
    long hits{0};
    std::discrete_distribution<std::size_t> popularity;
};

int zone_of_instance(const model& all, int instance) {
    return instance % all.place.zones;
}

double network_ms(const model& all, int instance, std::size_t target) {
    const bool near = zone_of_instance(all, instance) == all.runners[target].zone;
    return near ? same_zone_ms : all.place.zone_ms;
}

void later(model& all, double after, std::function<void()> action) {
    all.agenda.emplace(all.now + after, std::move(action));
}

void report(model& all, int instance, std::size_t target) {
    view& seen = all.views[instance][target];
    const runner& from = all.runners[target];
    seen.reported = from.working + static_cast<int>(from.queue.size());
    seen.own_at_report = seen.own;
}

bool use_cache(runner& target, std::size_t prefix) {
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

void start_work(model& all, std::size_t target, const request& value);

void end_work(model& all, std::size_t target, const request& value) {
    runner& at = all.runners[target];
    --at.working;
    all.wholes.push_back(all.now - value.arrived);
    if (!at.queue.empty()) {
        const request next = at.queue.front();
        at.queue.pop_front();
        start_work(all, target, next);
    }
    later(all, network_ms(all, value.instance, target), [&all, target, value] {
        --all.views[value.instance][target].own;
        report(all, value.instance, target);
    });
}

void start_work(model& all, std::size_t target, const request& value) {
    runner& at = all.runners[target];
    ++at.working;
    const bool hit = use_cache(at, value.prefix);
    all.hits += hit ? 1 : 0;
    all.waits.push_back(all.now - value.arrived);
    std::lognormal_distribution<double> spread(0, 0.4);
    const double takes = work_ms * spread(all.random) * (hit ? cached_part : 1);
    later(all, takes, [&all, target, value] { end_work(all, target, value); });
}

std::optional<std::size_t> choose(model& all, const request& value) {
    const std::size_t count = all.runners.size();
    const auto& seen = all.views[value.instance];
    if (all.kind == policy::round_robin) {
        return all.turn[value.instance]++ % count;
    }
    if (all.kind == policy::least_loaded) {
        const auto least =
            std::min_element(seen.begin(), seen.end(), [](const view& left, const view& right) {
                return left.reported < right.reported;
            });
        return static_cast<std::size_t>(least - seen.begin());
    }
    std::vector<candidate> candidates;
    for (std::size_t i = 0; i < count; ++i) {
        candidates.push_back({upstream_id{"r" + std::to_string(i)},
                              zone_name{std::to_string(all.runners[i].zone)}, seen[i].reported,
                              seen[i].own, seen[i].own_at_report, all.place.capacity, false});
    }
    const zone_name own{std::to_string(zone_of_instance(all, value.instance))};
    return choose_upstream(candidates, {own, value.prefix + 1, all.random()});
}

void route(model& all, const request& value) {
    const auto target = choose(all, value);
    if (!target) {
        later(all, retry_ms, [&all, value] { route(all, value); });
        return;
    }
    ++all.views[value.instance][*target].own;
    all.crossed += zone_of_instance(all, value.instance) != all.runners[*target].zone ? 1 : 0;
    later(all, network_ms(all, value.instance, *target), [&all, value, at = *target] {
        runner& there = all.runners[at];
        if (there.working < all.place.capacity) {
            start_work(all, at, value);
        } else {
            there.queue.push_back(value);
        }
    });
}

void arrive(model& all, double mean_gap_ms) {
    const request value{all.now, static_cast<int>(all.random() % instances),
                        all.popularity(all.random)};
    route(all, value);
    std::exponential_distribution<double> gap(1 / mean_gap_ms);
    later(all, gap(all.random), [&all, mean_gap_ms] { arrive(all, mean_gap_ms); });
}

void report_all(model& all) {
    for (int i = 0; i < instances; ++i) {
        for (std::size_t r = 0; r < all.runners.size(); ++r) {
            report(all, i, r);
        }
    }
    later(all, report_period_ms, [&all] { report_all(all); });
}

double quantile(std::vector<double>& values, double q) {
    const auto index = static_cast<std::size_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

void prepare(model& all) {
    all.runners.resize(all.place.runners);
    for (int i = 0; i < all.place.runners; ++i) {
        all.runners[i].zone = i % all.place.zones;
    }
    all.views.assign(instances, std::vector<view>(all.place.runners));
    all.turn.assign(instances, 0);
    std::vector<double> weights;
    for (std::size_t i = 0; i < prefixes; ++i) {
        weights.push_back(1.0 / std::pow(static_cast<double>(i + 1), 0.8));
    }
    all.popularity = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

void measure(const deployment& place, policy kind, double load) {
    model all;
    all.place = place;
    all.kind = kind;
    prepare(all);
    // Load 1 is what the runners carry with no prefix cached.
    const double mean_work = work_ms * std::exp(0.4 * 0.4 / 2);
    report_all(all);
    arrive(all, mean_work / (load * place.runners * place.capacity));
    while (all.agenda.begin()->first < simulated_ms) {
        auto node = all.agenda.extract(all.agenda.begin());
        all.now = node.key();
        node.mapped()();
    }
    const auto count = static_cast<double>(all.waits.size());
    std::printf("%-14s %5.2f  %-13s %8.0f %8.1f %8.1f %8.1f %10.1f %10.1f %9.0f%% %9.0f%%\n",
                place.name, load, policy_names.at(static_cast<std::size_t>(kind)), count,
                quantile(all.waits, 0.5), quantile(all.waits, 0.95), quantile(all.waits, 0.99),
                quantile(all.wholes, 0.5), quantile(all.wholes, 0.95),
                100 * static_cast<double>(all.crossed) / count,
                100 * static_cast<double>(all.hits) / count);
}

}  // namespace

int main() {
    const std::array<deployment, 2> places = {
        deployment{"Gwledd Encil", 3, 10, 0.5, 8},
        deployment{"Playsafe", 4, 20, 1.5, 8},
    };
    std::printf("%d s simulated, %d instances, seed %u; waits in ms\n",
                static_cast<int>(simulated_ms / 1000), instances, fixed_seed);
    std::printf("%-14s %5s  %-13s %8s %8s %8s %8s %10s %10s %10s %10s\n", "deployment", "load",
                "choice", "requests", "p50", "p95", "p99", "whole p50", "whole p95", "other zone",
                "prefix hit");
    for (const deployment& place : places) {
        for (const double load : {0.5, 0.8, 0.95}) {
            for (const policy kind : {policy::project, policy::round_robin, policy::least_loaded}) {
                measure(place, kind, load);
            }
        }
    }
    return 0;
}
