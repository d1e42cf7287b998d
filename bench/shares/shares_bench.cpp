//! Shares divided by demand against a static even split, under a balancer that sends 80% of the
//! requests to one of eight instances, and through the death of the home.
#include "coordination/shares/tests/share_fleet.h"

#include <algorithm>
#include <cstdio>
#include <random>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

constexpr std::size_t instance_count = 8;
constexpr double rate_limit = 400;
constexpr int steps_a_second = 20;
constexpr int run_seconds = 40;
constexpr milliseconds request_time{100};
constexpr int skew_percent = 80;
constexpr int death_second = 15;
constexpr int roster_delay_seconds = 4;

struct outcome {
    double possible{0};  //!< offered and within the limit
    double served{0};
    double most_in_a_second{0};
    double least_in_a_second{0};
};

allowance limits_of_bench() {
    allowance limits;
    limits.plan = {"gold"};
    limits.requests_per_second = rate_limit;
    limits.concurrent = 200;
    limits.tokens_per_minute = 10'000'000;
    return limits;
}

//! Refills by the even split and nothing else.
struct static_split {
    std::vector<double> tokens = std::vector<double>(instance_count, 1.0);

    void step() {
        const double rate = rate_limit / static_cast<double>(instance_count);
        for (double& bucket : tokens) {
            bucket = std::min(rate, bucket + rate / steps_a_second);
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
    share_fleet fleet = make_share_fleet(instance_count, limits_of_bench());
    static_split even;
    bool is_static{false};
    std::mt19937_64 random{7};
    std::deque<std::pair<instant, std::size_t>> running;
    std::size_t favourite{0};

    std::size_t choose() {
        std::size_t index = favourite;
        if (random() % 100 >= skew_percent) {
            index = random() % instance_count;
        }
        return fleet.instances[index].dead ? (index + 1) % instance_count : index;
    }

    bool take(std::size_t index) {
        return is_static ? even.take(index) : fleet.take(index);
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
        even.step();
        fleet.step();
        return served;
    }
};

void kill_home(bench_run& run) {
    run.fleet.instances[run.fleet.home()].dead = true;
}

void leave_out_dead(bench_run& run) {
    std::vector<std::size_t> rest;
    for (std::size_t index = 0; index < instance_count; ++index) {
        if (!run.fleet.instances[index].dead) {
            rest.push_back(index);
        }
    }
    run.fleet.set_roster(rest, 2);
}

//! With `burst`, a third is offered until the middle of the run.
outcome measure(double offered, bool is_static, bool home_dies, bool burst) {
    bench_run run;
    run.is_static = is_static;
    run.favourite = (run.fleet.home() + 1) % instance_count;
    outcome seen{0, 0, 0, 1e9};
    const int full = static_cast<int>(offered / steps_a_second);
    for (int second = 0; second < run_seconds; ++second) {
        const int arrivals = burst && second < run_seconds / 2 ? full / 3 : full;
        if (home_dies && second == death_second) {
            kill_home(run);
        }
        if (home_dies && second == death_second + roster_delay_seconds) {
            leave_out_dead(run);
        }
        int served = 0;
        for (int count = 0; count < steps_a_second; ++count) {
            served += run.step(arrivals);
        }
        seen.possible += std::min<double>(rate_limit, arrivals * steps_a_second);
        seen.served += served;
        seen.most_in_a_second = std::max<double>(seen.most_in_a_second, served);
        seen.least_in_a_second =
            std::min<double>(seen.least_in_a_second, second < 5 ? 1e9 : served);
    }
    return seen;
}

void print_row(double factor, bool home_dies, bool is_static, bool burst) {
    const outcome seen = measure(rate_limit * factor, is_static, home_dies, burst);
    std::printf("%-8s %7.0f%% %-9s %7.1f%% %12.0f %12.0f %9.1f%%\n",
                is_static ? "static" : "demand", factor * 100, home_dies ? "dies" : "lives",
                100 * seen.served / seen.possible, seen.least_in_a_second, seen.most_in_a_second,
                std::max(0.0, 100 * (seen.most_in_a_second - rate_limit) / rate_limit));
}

}  // namespace

int main() {
    std::printf("limit %.0f/s, %zu instances, %d%% of requests at one of them, %d s\n", rate_limit,
                instance_count, skew_percent, run_seconds);
    std::printf("%-8s %8s %-9s %8s %12s %12s %10s\n", "split", "offered", "home", "served",
                "least in 1s", "most in 1s", "overshoot");
    for (const double factor : {0.5, 0.9, 1.5}) {
        for (const bool home_dies : {false, true}) {
            print_row(factor, home_dies, true, false);
            print_row(factor, home_dies, false, false);
        }
    }
    std::printf("a third of the load, then all of it\n");
    print_row(1.5, false, true, true);
    print_row(1.5, false, false, true);
    return 0;
}
