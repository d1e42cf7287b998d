//! Compares shares divided by demand with a static equal split, under a load balancer that sends
//! 80% of the requests to one of eight instances, with and without a crash of the owner.
#include "coordination/shares/tests/share_fleet.h"

#include <algorithm>
#include <cstdio>
#include <random>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

constexpr std::size_t instance_count = 8;
constexpr double rate_limit = 400;
constexpr int steps_per_second = 20;
constexpr int run_seconds = 40;
constexpr milliseconds request_time{100};
constexpr int skew_percent = 80;
constexpr int crash_second = 15;
constexpr int roster_delay_seconds = 4;

struct outcome {
    double possible{0};  //!< requests offered, capped at the limit in each second
    double served{0};
    double max_per_second{0};
    double min_per_second{0};
};

allowance bench_limits() {
    allowance limits;
    limits.plan = {"gold"};
    limits.requests_per_second = rate_limit;
    limits.concurrent = 200;
    limits.tokens_per_minute = 10'000'000;
    return limits;
}

//! Baseline: one token bucket per instance, each refilled with an equal part of the limit.
struct static_split {
    std::vector<double> tokens = std::vector<double>(instance_count, 1.0);

    void step() {
        const double rate = rate_limit / static_cast<double>(instance_count);
        for (double& bucket : tokens) {
            bucket = std::min(rate, bucket + rate / steps_per_second);
        }
    }

    bool take(std::size_t index) {
        if (tokens[index] < 1.0) {
            return false;
        }
        tokens[index] -= 1.0;
        return true;
    }
};

struct bench_run {
    share_fleet fleet = make_share_fleet(instance_count, bench_limits());
    static_split split;
    bool is_static{false};
    std::mt19937_64 random{7};
    std::deque<std::pair<instant, std::size_t>> running;
    std::size_t favoured_instance{0};

    std::size_t choose() {
        std::size_t index = favoured_instance;
        if (random() % 100 >= skew_percent) {
            index = random() % instance_count;
        }
        return fleet.instances[index].dead ? (index + 1) % instance_count : index;
    }

    bool take(std::size_t index) {
        return is_static ? split.take(index) : fleet.take(index);
    }

    int step(int arrivals) {
        while (!running.empty() && running.front().first <= fleet.now) {
            fleet.end(running.front().second, 10);
            running.pop_front();
        }
        int served = 0;
        for (int count = 0; count < arrivals; ++count) {
            const std::size_t index = choose();
            if (!take(index)) {
                continue;
            }
            ++served;
            if (!is_static) {
                running.emplace_back(fleet.now + request_time, index);
            }
        }
        split.step();
        fleet.step();
        return served;
    }
};

void crash_owner(bench_run& run) {
    run.fleet.instances[run.fleet.owner()].dead = true;
}

void remove_crashed_from_roster(bench_run& run) {
    std::vector<std::size_t> rest;
    for (std::size_t index = 0; index < instance_count; ++index) {
        if (!run.fleet.instances[index].dead) {
            rest.push_back(index);
        }
    }
    run.fleet.set_roster(rest, 2);
}

//! Runs one simulation; with `burst`, only a third of the load is offered in its first half.
outcome measure(double offered, bool is_static, bool owner_crashes, bool burst) {
    bench_run run;
    run.is_static = is_static;
    run.favoured_instance = (run.fleet.owner() + 1) % instance_count;
    outcome measured{0, 0, 0, 1e9};
    const int full = static_cast<int>(offered / steps_per_second);
    for (int second = 0; second < run_seconds; ++second) {
        const int arrivals = burst && second < run_seconds / 2 ? full / 3 : full;
        if (owner_crashes && second == crash_second) {
            crash_owner(run);
        }
        if (owner_crashes && second == crash_second + roster_delay_seconds) {
            remove_crashed_from_roster(run);
        }
        int served = 0;
        for (int count = 0; count < steps_per_second; ++count) {
            served += run.step(arrivals);
        }
        measured.possible += std::min<double>(rate_limit, arrivals * steps_per_second);
        measured.served += served;
        measured.max_per_second = std::max<double>(measured.max_per_second, served);
        measured.min_per_second =
            std::min<double>(measured.min_per_second, second < 5 ? 1e9 : served);
    }
    return measured;
}

void print_row(double factor, bool owner_crashes, bool is_static, bool burst) {
    const outcome measured = measure(rate_limit * factor, is_static, owner_crashes, burst);
    std::printf("%-8s %7.0f%% %-9s %7.1f%% %12.0f %12.0f %9.1f%%\n",
                is_static ? "static" : "demand", factor * 100, owner_crashes ? "dies" : "lives",
                100 * measured.served / measured.possible, measured.min_per_second,
                measured.max_per_second,
                std::max(0.0, 100 * (measured.max_per_second - rate_limit) / rate_limit));
}

}  // namespace

int main() {
    std::printf("limit %.0f/s, %zu instances, %d%% of requests at one of them, %d s\n", rate_limit,
                instance_count, skew_percent, run_seconds);
    std::printf("%-8s %8s %-9s %8s %12s %12s %10s\n", "split", "offered", "home", "served",
                "least in 1s", "most in 1s", "overshoot");
    for (const double factor : {0.5, 0.9, 1.5}) {
        for (const bool owner_crashes : {false, true}) {
            print_row(factor, owner_crashes, true, false);
            print_row(factor, owner_crashes, false, false);
        }
    }
    std::printf("a third of the load, then all of it\n");
    print_row(1.5, false, true, true);
    print_row(1.5, false, false, true);
    return 0;
}
