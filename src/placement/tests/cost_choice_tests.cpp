//! Tests of the choice by cost, which is in force under load control.
#include "placement/placement.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};
const pool_name pool{"p"};
const std::vector<prompt_part> prompt{{"system", 2500}, {"subject", 3800}, {"own", 900}};

fleet_view make_view(int engines, std::uint64_t cache_tokens = 0, int slots = 128) {
    auto config = std::make_shared<serving_config>();
    pool_limits limits;
    limits.name = pool;
    limits.cold_per_second = 9.3;
    limits.engine = engine_limits{slots, cache_tokens};
    config->pools[pool] = limits;
    fleet_view view;
    view.config = config;
    for (int i = 0; i < engines; ++i) {
        serving_upstream upstream;
        upstream.id = {"e" + std::to_string(i)};
        upstream.pool = pool;
        upstream.zone = {"z" + std::to_string(i % 3)};
        upstream.slots = slots;
        view.pools[pool].push_back(upstream);
    }
    return view;
}

placement_state make_state() {
    placement_state state;
    state.settings.under_pressure = true;
    state.settings.chooses_by_cost = true;
    return state;
}

placement_request make_request(std::uint64_t draw, std::span<const prompt_part> of = prompt) {
    placement_request wanted;
    wanted.pool = pool;
    wanted.prompt = of;
    wanted.expected_events = 10;
    wanted.random = (draw + 1) * 0x9e3779b97f4a7c15U;
    return wanted;
}

upstream_key key_of(const serving_upstream& upstream) {
    return make_upstream_key(upstream.id, upstream.started_at_ms);
}

//! Lets the state learn the time between the events of one engine.
void observe_gaps(placement_state& state, const serving_upstream& from, milliseconds gap,
                  instant now, int responses = 20) {
    for (int i = 0; i < responses; ++i) {
        reduce(state.costs, events_observed{key_of(from), "r", 10, 9 * gap, true, 0}, now);
    }
}

//! Number of requests, each with a prefix of its own, that go to each engine.
std::map<upstream_id, int> place_many(placement_state& state, const fleet_view& view, int count,
                                      instant now) {
    std::map<upstream_id, int> placed;
    for (int i = 0; i < count; ++i) {
        const std::vector<prompt_part> one{{"s" + std::to_string(i), 3000},
                                           {"o" + std::to_string(i), 900}};
        const auto chosen =
            place(state, view, make_request(static_cast<std::uint64_t>(i), one), now);
        ++placed[chosen->id];
    }
    return placed;
}

}  // namespace

TEST_GROUP(cost_choice){};

// Guards against a change of the choices in deployments that don't call for load control.
TEST(cost_choice, choices_without_load_control_are_those_of_before) {
    // GIVEN a state with learned speeds and one without, neither under load control
    placement_state plain;
    placement_state learned;
    const fleet_view view = make_view(12);
    for (std::size_t i = 0; i < 12; ++i) {
        observe_gaps(learned, view.pools.at(pool)[i], milliseconds(20 + 10 * i), start);
    }
    std::uint64_t digest = 0;
    for (std::uint64_t draw = 0; draw < 400; ++draw) {
        const std::vector<prompt_part> one{{"s" + std::to_string(draw % 7), 3000}, {"o", 900}};
        placement_request wanted = make_request(draw, one);
        if (draw % 3 == 0) {
            wanted.prompt = {};
            wanted.zone = {"z1"};
        }
        const instant now = start + milliseconds(draw);
        // WHEN both place the same requests
        const auto first = place(plain, view, wanted, now);
        const auto second = place(learned, view, wanted, now);
        // THEN the choices are the same
        CHECK_TRUE(first->id == second->id);
        record_sent(plain, *first, 900, now);
        record_sent(learned, *second, 900, now);
        if (draw % 2 == 0) {
            record_load(plain, first->id, {static_cast<int>(draw % 128), 0, 128}, now);
            record_load(learned, second->id, {static_cast<int>(draw % 128), 0, 128}, now);
        }
        digest = digest * 31 + std::stoull(first->id.value.substr(1));
    }
    // AND the same as those of the version before the choice by cost
    CHECK_TRUE(digest == 11936315963441268872U);
}

// Guards against as many requests to slow engines as to fast ones.
TEST(cost_choice, nearly_all_prompts_go_to_the_fastest_engines_at_low_load) {
    // GIVEN engines of three speeds
    placement_state state = make_state();
    const fleet_view view = make_view(12);
    for (std::size_t i = 0; i < 12; ++i) {
        const milliseconds gaps[] = {30ms, 50ms, 80ms};
        observe_gaps(state, view.pools.at(pool)[i], gaps[i % 3], start);
    }
    // WHEN many prompts are placed
    const auto placed = place_many(state, view, 1000, start);
    // THEN more than nine tenths go to the fastest third
    int fast = 0;
    for (const auto& [id, count] : placed) {
        fast += std::stoi(id.value.substr(1)) % 3 == 0 ? count : 0;
    }
    CHECK_TRUE(fast > 900);
}

// Guards against a part of the engines that gets nothing although all are alike.
TEST(cost_choice, engines_of_which_nothing_is_known_share_the_prompts) {
    placement_state state = make_state();
    const auto placed = place_many(state, make_view(12), 1200, start);
    LONGS_EQUAL(12, placed.size());
    for (const auto& [id, count] : placed) {
        CHECK_TRUE_TEXT(count > 40 && count < 250, id.value.c_str());
    }
}

// Guards against reading a prefix anew at every engine.
TEST(cost_choice, prompts_with_the_same_prefix_keep_to_a_home) {
    // GIVEN engines that are alike, without load
    placement_state state = make_state();
    const fleet_view view = make_view(12);
    std::map<upstream_id, int> placed;
    // WHEN prompts with one prefix are placed
    for (std::uint64_t draw = 0; draw < 200; ++draw) {
        ++placed[place(state, view, make_request(draw), start)->id];
    }
    // THEN nearly all go to one engine
    const auto most =
        std::ranges::max_element(placed, {}, [](const auto& entry) { return entry.second; });
    CHECK_TRUE(most->second > 180);
    // AND the zone for the results of stages is that of this engine
    const auto home = preferred_zone(state, view, make_request(1), start);
    CHECK_TRUE(home.value == "z" + std::to_string(std::stoi(most->first.value.substr(1)) % 3));
}

// Guards against a queue at the home of a hot prefix that costs more than reading the prefix
// elsewhere.
TEST(cost_choice, a_hot_prefix_is_spread_once_its_home_has_more_to_read_than_the_prefix) {
    // GIVEN a prefix of 6,300 tokens
    placement_state state = make_state();
    const fleet_view view = make_view(12);
    std::map<upstream_id, std::uint64_t> unread;
    // WHEN prompts are sent while none is read
    for (std::uint64_t draw = 0; draw < 100; ++draw) {
        const auto chosen = place(state, view, make_request(draw), start);
        const auto load = record_sent(state, *chosen, sent_request{prompt, 10}, start);
        unread[chosen->id] += load.unread_tokens;
    }
    // THEN several engines share them, none with more than twice the prefix beyond the least
    std::uint64_t most = 0;
    for (const auto& [id, tokens] : unread) {
        most = std::max(most, tokens);
    }
    CHECK_TRUE(unread.size() >= 3);
    CHECK_TRUE(most < 100 * 900 / 2);
}

// Guards against herding of all instances to one idle engine, whose load they learn of later.
TEST(cost_choice, instances_with_the_same_knowledge_do_not_all_choose_one_engine) {
    // GIVEN 40 instances that know the same
    const fleet_view view = make_view(12);
    std::map<upstream_id, int> placed;
    for (std::uint64_t instance = 0; instance < 40; ++instance) {
        placement_state state = make_state();
        const std::vector<prompt_part> one{{"s" + std::to_string(instance), 100}, {"o", 900}};
        // WHEN each places one request
        ++placed[place(state, view, make_request(instance, one), start)->id];
    }
    // THEN no engine gets more than a third
    for (const auto& [id, count] : placed) {
        CHECK_TRUE_TEXT(count <= 13, id.value.c_str());
    }
}

// Guards against sending to an engine that the other instances have filled.
TEST(cost_choice, unread_tokens_of_other_instances_count) {
    // GIVEN the home of a prefix, where other instances have 60,000 tokens unread
    placement_state state = make_state();
    const fleet_view view = make_view(6);
    const auto home = place(state, view, make_request(1), start);
    shared_observation busy;
    busy.upstream = key_of(*home);
    busy.work = {30, 60'000, 60'000};
    const shared_observation sums[] = {busy};
    apply_shared(state.costs, sums, start);
    // WHEN another prompt is placed
    const auto next = place(state, view, make_request(1), start + 200ms);
    // THEN it goes elsewhere
    CHECK_TRUE(next->id != home->id);
    // AND again to the home once the report is too old
    CHECK_TRUE(place(state, view, make_request(1), start + 2s)->id == home->id);
}

// Guards against preempted requests.
TEST(cost_choice, an_engine_without_memory_is_not_a_candidate_while_another_has_some) {
    // GIVEN two engines, one of which holds nearly as many tokens as it can
    placement_state state = make_state();
    const fleet_view view = make_view(2, 20'000);
    state.records[{"e0"}].kv_tokens = 15'000;
    // WHEN prompts of 7,200 tokens are placed
    for (std::uint64_t draw = 0; draw < 50; ++draw) {
        // THEN all go to the other one
        CHECK_TRUE(place(state, view, make_request(draw), start)->id.value == "e1");
    }
    // AND if none has room, they are still placed
    state.records[{"e1"}].kv_tokens = 15'000;
    CHECK_TRUE(place(state, view, make_request(1), start).has_value());
}

// Guards against use of a machine that is slow at the moment, and against trusting old reports.
TEST(cost_choice, the_reported_work_time_counts_by_its_age) {
    // GIVEN the home of a prefix, whose machine works four times as slowly as usual
    placement_state state = make_state();
    const fleet_view view = make_view(6);
    const std::vector<prompt_part> one{{"s", 500}, {"o", 900}};
    const auto home = place(state, view, make_request(1, one), start);
    record_load(state, pool, home->id, {1, 0, 128, 400}, start);
    // WHEN a prompt is placed at once, and much later
    // THEN it is placed elsewhere only at once
    CHECK_TRUE(place(state, view, make_request(1, one), start + 200ms)->id != home->id);
    CHECK_TRUE(place(state, view, make_request(1, one), start + 3s)->id == home->id);
}

// Guards against work that remains counted after requests have ended.
TEST(cost_choice, ended_requests_leave_nothing_behind) {
    // GIVEN a request that was sent
    placement_state state = make_state();
    const fleet_view view = make_view(2);
    const auto chosen = place(state, view, make_request(1), start);
    const auto load = record_sent(state, *chosen, sent_request{prompt, 10}, start);
    CHECK_TRUE(load.unread_tokens > 0 && load.kv_tokens > 0);
    // WHEN its first event and its end come
    record_first_event(state, chosen->id, load.unread_tokens);
    record_released(state, chosen->id, load);
    record_send_outcome(state, chosen->id, send_outcome::answered, start);
    // THEN nothing is outstanding
    const upstream_record& record = state.records.at(chosen->id);
    LONGS_EQUAL(0, record.unread_tokens);
    LONGS_EQUAL(0, record.kv_tokens);
    LONGS_EQUAL(0, record.in_flight);
}

// Guards against a restarted engine that counts as fast or slow as before.
TEST(cost_choice, a_new_incarnation_begins_without_observations) {
    // GIVEN a slow engine
    placement_state state = make_state();
    fleet_view view = make_view(2);
    observe_gaps(state, view.pools.at(pool)[0], 200ms, start);
    observe_gaps(state, view.pools.at(pool)[1], 20ms, start);
    CHECK_TRUE(place_many(state, view, 100, start)[{"e0"}] < 10);
    // WHEN it restarts
    view.pools.at(pool)[0].started_at_ms = 5;
    // THEN it gets a part of the prompts again
    CHECK_TRUE(place_many(state, view, 100, start)[{"e0"}] > 10);
}

// Guards against plain requests that are spread evenly over uneven upstreams.
TEST(cost_choice, plain_requests_prefer_the_faster_of_two) {
    // GIVEN two upstreams, one of which takes three times as long
    placement_state state = make_state();
    const fleet_view view = make_view(2);
    for (int i = 0; i < 60; ++i) {
        reduce(state.costs, response_observed{key_of(view.pools.at(pool)[0]), "r", 30ms}, start);
        reduce(state.costs, response_observed{key_of(view.pools.at(pool)[1]), "r", 90ms}, start);
    }
    // WHEN plain requests are placed one after another
    std::map<upstream_id, int> placed;
    for (std::uint64_t draw = 0; draw < 100; ++draw) {
        placement_request wanted = make_request(draw, {});
        ++placed[place(state, view, wanted, start)->id];
    }
    // THEN the faster one gets most
    CHECK_TRUE(placed[{"e0"}] > 80);
}

// Guards against more requests to cold engines than their rate allows, and to avoided or excluded
// ones.
TEST(cost_choice, limits_of_upstreams_hold) {
    // GIVEN a cold engine, an excluded one and one that leaves
    placement_state state = make_state();
    fleet_view view = make_view(3);
    view.pools.at(pool)[0].cold_until = start + 10s;
    state.records[{"e1"}].directives.is_leaving = true;
    placement_request wanted = make_request(1);
    wanted.excluded.insert({"e2"});
    // WHEN many requests are placed within a second
    int placed = 0;
    for (int i = 0; i < 50; ++i) {
        const auto chosen = place(state, view, wanted, start);
        if (chosen) {
            CHECK_TRUE(chosen->id.value == "e0");
            (void)record_sent(state, *chosen, sent_request{prompt, 10}, start);
            ++placed;
        }
    }
    // THEN the cold one gets no more than its rate: 9.3 x 1.5 + 5
    LONGS_EQUAL(18, placed);
}
