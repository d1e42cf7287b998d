//! Prints the time of one choice by cost among 60 and 2,500 upstreams, with and without a prompt.
#include "placement/placement.h"

#include <cstdio>
#include <ctime>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};
constexpr int choices = 4000;
constexpr std::uint64_t random_step = 0x9e3779b97f4a7c15U;
const pool_name pool{"p"};

fleet_view make_view(int upstreams) {
    auto config = std::make_shared<serving_config>();
    config->pools[pool].name = pool;
    config->pools[pool].engine = engine_limits{128, 200'000};
    fleet_view view;
    view.config = config;
    view.number = 1;
    for (int i = 0; i < upstreams; ++i) {
        serving_upstream upstream;
        upstream.id = {"upstream-" + std::to_string(i)};
        upstream.pool = pool;
        upstream.zone = {"z" + std::to_string(i % 3)};
        upstream.slots = 128;
        view.pools[pool].push_back(upstream);
    }
    return view;
}

//! Mean processor time of one choice in µs. Time passes as at 200 requests a second, so that the
//! refreshes of the learned figures count in.
double mean_time_us(int upstreams, bool has_prompt) {
    const fleet_view view = make_view(upstreams);
    placement_state state;
    state.settings.under_pressure = true;
    state.settings.chooses_by_cost = true;
    for (int i = 0; i < upstreams; ++i) {
        const upstream_key key = make_upstream_key(view.pools.at(pool)[i].id, 0);
        reduce(state.costs, events_observed{key, "r", 10, milliseconds(300 + i), true, 0}, start);
    }
    const std::clock_t began = std::clock();
    for (int i = 0; i < choices; ++i) {
        const std::vector<prompt_part> prompt{
            {"system", 2500}, {"s" + std::to_string(i % 300), 3800}, {"own", 900}};
        placement_request wanted;
        wanted.pool = pool;
        wanted.random = static_cast<std::uint64_t>(i + 1) * random_step;
        wanted.expected_events = 10;
        if (has_prompt) {
            wanted.prompt = prompt;
        }
        const instant now = start + milliseconds(5 * i);
        const auto chosen = place(state, view, wanted, now);
        if (chosen) {
            const auto load = record_sent(state, *chosen, sent_request{wanted.prompt, 10}, now);
            record_first_event(state, chosen->id, load.unread_tokens);
            record_released(state, chosen->id, load);
            record_send_outcome(state, chosen->id, send_outcome::answered, now);
        }
    }
    constexpr double us_per_second = 1e6;
    return static_cast<double>(std::clock() - began) * us_per_second / CLOCKS_PER_SEC / choices;
}

}  // namespace

int main() {
    std::printf("upstreams  prompt  us per choice\n");
    for (const int upstreams : {60, 2500}) {
        for (const bool has_prompt : {true, false}) {
            std::printf("%9d  %-6s  %13.1f\n", upstreams, has_prompt ? "yes" : "no",
                        mean_time_us(upstreams, has_prompt));
        }
    }
    return 0;
}
