#include "placement/placement.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};
const pool_name pool{"p"};

serving_upstream make_upstream(const std::string& id, const std::string& zone, int slots = 8) {
    serving_upstream upstream;
    upstream.id = {id};
    upstream.pool = pool;
    upstream.zone = {zone};
    upstream.slots = slots;
    return upstream;
}

fleet_view make_view(std::vector<serving_upstream> upstreams, std::size_t instances = 2) {
    auto config = std::make_shared<serving_config>();
    pool_limits limits;
    limits.name = pool;
    limits.cold_per_second = 9.3;
    limits.max_connections = 100;
    config->pools[pool] = limits;
    fleet_view view;
    view.config = config;
    view.pools[pool] = std::move(upstreams);
    for (std::size_t i = 0; i < instances; ++i) {
        const std::string name = "i" + std::to_string(i);
        view.members.push_back({{name}, name + ":7", {"z1"}});
    }
    return view;
}

const std::vector<prompt_part> prompt{{"system", 2500}, {"subject", 3800}, {"own", 900}};

placement_request make_request(bool with_prompt) {
    placement_request wanted;
    wanted.pool = pool;
    if (with_prompt) {
        wanted.prompt = prompt;
    }
    return wanted;
}

}  // namespace

TEST_GROUP(placement){};

TEST(placement, prompts_with_the_same_shared_part_go_to_one_engine) {
    // GIVEN three engines
    placement_state state;
    const fleet_view view =
        make_view({make_upstream("a", "z1"), make_upstream("b", "z1"), make_upstream("c", "z2")});
    const auto first = place(state, view, make_request(true), start);
    // WHEN more prompts with the same shared part come
    for (int i = 0; i < 5; ++i) {
        const auto next = place(state, view, make_request(true), start);
        // THEN they go to the engine that has it cached
        CHECK_TRUE(next->id == first->id);
    }
    CHECK_TRUE(preferred_zone(state, view, make_request(true), start) == first->zone);
}

TEST(placement, prompts_for_a_busy_engine_go_to_another) {
    // GIVEN a preferred engine with all slots in use
    placement_state state;
    const fleet_view view = make_view({make_upstream("a", "z1"), make_upstream("b", "z1")});
    const auto first = place(state, view, make_request(true), start);
    record_load(state, first->id, {8, 3, 8}, start);
    // WHEN another prompt comes
    const auto next = place(state, view, make_request(true), start);
    // THEN it goes to the other engine
    CHECK_TRUE(next->id != first->id);
    // WHEN the load report is too old
    const auto later = place(state, view, make_request(true), start + 2s);
    // THEN it is ignored
    CHECK_TRUE(later->id == first->id);
}

// Guards against load control in deployments that don't call for it.
TEST(placement, load_control_takes_a_report_of_the_work_time_or_the_deployments_setting) {
    // GIVEN a pool whose upstreams report no work time
    placement_state state;
    record_load(state, pool, {"a"}, {1, 0, 8}, start);
    // THEN load control isn't in force
    CHECK_FALSE(has_load_control(state, pool));
    // WHEN one reports it
    record_load(state, pool, {"a"}, {1, 0, 8, 150}, start);
    // THEN load control is in force in that pool alone
    CHECK_TRUE(has_load_control(state, pool));
    CHECK_FALSE(has_load_control(state, {"other"}));
    // AND everywhere if the deployment calls for it
    state.settings.under_pressure = true;
    CHECK_TRUE(has_load_control(state, {"other"}));
}

TEST(placement, an_upstream_is_avoided_for_a_while_after_a_broken_request) {
    // GIVEN two upstreams, one of which closed the connection during a request
    placement_state state;
    const fleet_view view = make_view({make_upstream("a", "z1"), make_upstream("b", "z1")});
    record_sent(state, view.pools.at(pool)[0], 0, start);
    record_send_outcome(state, {"a"}, send_outcome::broken, start);
    // WHEN requests are placed soon after
    for (std::uint64_t draw = 0; draw < 20; ++draw) {
        placement_request wanted = make_request(false);
        wanted.random = draw * 0x9e3779b97f4a7c15U;
        // THEN they go to the other one
        STRCMP_EQUAL("b", place(state, view, wanted, start + 100ms)->id.value.c_str());
    }
    // AND the first one is used if there is no other
    placement_request only_a = make_request(false);
    only_a.excluded = {{"b"}};
    CHECK_TRUE(place(state, view, only_a, start + 100ms).has_value());
}

TEST(placement, an_upstream_with_a_much_higher_error_rate_is_avoided) {
    // GIVEN three upstreams, one of which responds to all requests with errors
    placement_state state;
    const fleet_view view =
        make_view({make_upstream("a", "z1"), make_upstream("b", "z1"), make_upstream("c", "z1")});
    for (int i = 0; i < 20; ++i) {
        record_send_outcome(state, {"a"}, send_outcome::error, start);
        record_send_outcome(state, {"b"}, send_outcome::answered, start);
        record_send_outcome(state, {"c"}, send_outcome::answered, start);
        record_send_outcome(state, {"b"}, send_outcome::answered, start);
        record_send_outcome(state, {"c"}, send_outcome::answered, start);
    }
    // WHEN requests are placed
    for (std::uint64_t draw = 0; draw < 20; ++draw) {
        placement_request wanted = make_request(false);
        wanted.random = draw * 0x9e3779b97f4a7c15U;
        // THEN none goes to that upstream
        CHECK_TRUE(place(state, view, wanted, start)->id.value != "a");
    }
}

TEST(placement, cold_upstreams_get_requests_only_without_warm_ones_and_up_to_their_limit) {
    // GIVEN 2 instances and one cold upstream with a limit of 9.3 x 1.5 + 5, rounded down to 18
    // requests per second
    placement_state state;
    state.settings.address = "i0:7";
    serving_upstream cold = make_upstream("cold", "z1", 64);
    cold.cold_until = start + 3s;
    const fleet_view alone = make_view({cold});
    const fleet_view with_warm = make_view({cold, make_upstream("warm", "z2")});
    // WHEN there is a warm upstream too
    // THEN it is chosen
    STRCMP_EQUAL("warm", place(state, with_warm, make_request(false), start)->id.value.c_str());
    // WHEN there is only the cold one
    int sent = 0;
    for (int i = 0; i < 30; ++i) {
        if (const auto chosen = place(state, alone, make_request(false), start)) {
            record_sent(state, *chosen, 0, start);
            ++sent;
        }
    }
    // THEN this instance sends half of the limit
    LONGS_EQUAL(9, sent);
    // AND it may send again after a second
    CHECK_TRUE(place(state, alone, make_request(false), start + 1001ms).has_value());
}

TEST(placement, a_fleet_with_more_instances_than_the_cold_limit_uses_exactly_the_limit) {
    // GIVEN 64 instances and a cold upstream with a limit of 18 requests per second
    serving_upstream cold = make_upstream("cold", "z1", 64);
    cold.cold_until = start + 3s;
    const fleet_view view = make_view({cold}, 64);
    int sent = 0;
    for (const member& instance : view.members) {
        // WHEN each instance has several requests at once
        placement_state state;
        state.settings.address = instance.address;
        for (int i = 0; i < 5; ++i) {
            if (const auto chosen = place(state, view, make_request(false), start)) {
                record_sent(state, *chosen, 0, start);
                ++sent;
            }
        }
    }
    // THEN together they send exactly the limit
    LONGS_EQUAL(18, sent);
}

// Guards against shares that sum up to more than the whole: the others don't count an instance that
// isn't listed.
TEST(placement, an_instance_that_is_not_listed_has_no_part_of_a_cold_upstream) {
    // GIVEN a cold upstream and an instance that is listed beside another one
    serving_upstream cold = make_upstream("cold", "z1", 64);
    cold.cold_until = start + 60s;
    fleet_view view = make_view({cold}, 2);
    view.members_known = true;
    view.number = 1;
    placement_state state;
    state.settings.address = "i1:7";
    LONGS_EQUAL(2, share_divisor(state, view, start));
    CHECK_TRUE(place(state, view, make_request(false), start).has_value());
    // WHEN its entry is gone THEN it keeps its part for as long as the others count it
    view.members.pop_back();
    view.number = 2;
    LONGS_EQUAL(2, share_divisor(state, view, start + 1s));
    CHECK_TRUE(place(state, view, make_request(false), start + 1s).has_value());
    // AND has none from then on, also where no instance is listed any more
    for (int number = 3; number <= 4; ++number) {
        view.number = static_cast<std::uint64_t>(number);
        LONGS_EQUAL(0, share_divisor(state, view, start + number * 10s));
        CHECK_FALSE(place(state, view, make_request(false), start + number * 10s).has_value());
        view.members.clear();
    }
    // WHEN it is listed again THEN it has its part
    view.members.push_back({{"i1"}, "i1:7", {"z1"}});
    view.number = 5;
    LONGS_EQUAL(1, share_divisor(state, view, start + 50s));
    CHECK_TRUE(place(state, view, make_request(false), start + 50s).has_value());
}

TEST(placement, requests_stay_in_their_zone_until_it_is_full) {
    // GIVEN upstreams in two zones
    placement_state state;
    const fleet_view view = make_view({make_upstream("a", "z1", 2), make_upstream("b", "z2", 2)});
    placement_request wanted = make_request(false);
    wanted.zone = {"z2"};
    // WHEN there is no load
    // THEN the upstream in the preferred zone is chosen
    STRCMP_EQUAL("b", place(state, view, wanted, start)->id.value.c_str());
    // WHEN its slots and its queue are full
    for (int i = 0; i < 4; ++i) {
        record_sent(state, view.pools.at(pool)[1], 0, start);
    }
    // THEN the upstream in the other zone is chosen
    STRCMP_EQUAL("a", place(state, view, wanted, start)->id.value.c_str());
}

TEST(placement, prompts_beyond_an_engines_limit_go_to_others) {
    // GIVEN a preferred engine that takes one request a second from eight instances
    placement_state state;
    const fleet_view view =
        make_view({make_upstream("a", "z1", 64), make_upstream("b", "z1", 64)}, 8);
    const auto preferred = place(state, view, make_request(true), start);
    CHECK_TRUE(record_directives(state, *preferred, {1.0, {}, false}, start, start));
    // WHEN forty prompts come within a second
    int sent_to_preferred = 0;
    for (int i = 0; i < 40; ++i) {
        const instant now = start + i * 25ms;
        const auto chosen = place(state, view, make_request(true), now);
        CHECK_TRUE(chosen.has_value());
        sent_to_preferred += chosen->id == preferred->id ? 1 : 0;
        record_sent(state, *chosen, 0, now);
        record_send_outcome(state, chosen->id, send_outcome::answered, now);
    }
    // THEN at most this instance's part of the limit goes to the preferred engine
    CHECK_TRUE(sent_to_preferred <= 1);
    // AND without another engine the time is known until there is room
    const fleet_view alone = make_view({*preferred}, 8);
    LONGS_EQUAL(0, pool_room_at(state, alone, pool, start + 1s, start + 1s).value());
    const milliseconds room = time_to_room(state, alone, pool, start + 1s);
    CHECK_TRUE(room > 0ms && room < milliseconds::max());
    CHECK_TRUE(pool_room_at(state, alone, pool, start + 1s + room, start + 1s).value() > 0);
    CHECK_FALSE(pool_room_at(state, view, pool, start + 1s, start + 1s).has_value());
}

TEST(placement, long_prompts_get_the_places_at_limited_engines) {
    // GIVEN long prompts and short ones, and a preferred engine that limits its requests
    placement_state state;
    const fleet_view view =
        make_view({make_upstream("a", "z1", 64), make_upstream("b", "z1", 64)}, 1);
    const auto preferred = place(state, view, make_request(true), start);
    record_directives(state, *preferred, {1.0, {}, false}, start, start);
    const std::vector<prompt_part> short_prompt{prompt[0], prompt[1], {"own", 10}};
    placement_request short_request = make_request(true);
    short_request.prompt = short_prompt;
    // WHEN both come
    const auto long_choice = place(state, view, make_request(true), start);
    const auto short_choice = place(state, view, short_request, start);
    // THEN the long one is sent to the limited engine, the short one to the other
    CHECK_TRUE(long_choice->id == preferred->id);
    CHECK_TRUE(short_choice->id != preferred->id);
    // AND alone, the limited engine gets short ones too
    const fleet_view alone = make_view({*preferred}, 1);
    CHECK_TRUE(place(state, alone, short_request, start)->id == preferred->id);
}

TEST(placement, parts_of_instances_that_leave_are_not_used_at_once) {
    // GIVEN eight instances that share the limit of one engine
    constexpr std::size_t count = 8;
    std::vector<placement_state> fleet(count);
    fleet_view before = make_view({make_upstream("a", "z1", 64)}, count);
    before.number = 1;
    fleet_view after = make_view({make_upstream("a", "z1", 64)}, count / 2);
    after.number = 2;
    int sent = 0;
    const auto send_all = [&](std::size_t index, const fleet_view& view, instant now) {
        placement_state& state = fleet[index];
        state.settings.address = "i" + std::to_string(index) + ":7";
        while (const auto chosen = place(state, view, make_request(true), now)) {
            record_sent(state, *chosen, 0, now);
            record_send_outcome(state, chosen->id, send_outcome::answered, now);
            ++sent;
        }
    };
    for (std::size_t i = 0; i < count; ++i) {
        record_known_limit(fleet[i], before.pools.at(pool)[0], 1.5, start);
        send_all(i, before, start);
    }
    // WHEN half of them leave after all have used their parts
    for (std::size_t i = 0; i < count / 2; ++i) {
        send_all(i, after, start + 1s);
    }
    // THEN the engine gets no more than its limit allows in 4 s
    CHECK_TRUE(sent <= 1.5 * 1.5 * 4 + 5);
    CHECK_TRUE(sent >= 4);
    // AND later the others use the whole limit
    for (std::size_t i = 0; i < count / 2; ++i) {
        sent = i == 0 ? 0 : sent;
        send_all(i, after, start + 10s);
    }
    CHECK_TRUE(sent >= 8);
}

TEST(placement, a_pool_that_is_only_busy_has_no_limit_on_its_room) {
    // GIVEN upstreams whose slots are all taken, and which limit nothing
    placement_state state;
    const fleet_view view = make_view({make_upstream("a", "z1", 2), make_upstream("b", "z1", 2)});
    record_load(state, {"a"}, {2, 1, 2}, start);
    record_load(state, {"b"}, {2, 1, 2}, start);
    // WHEN a request arrives
    // THEN its admission isn't bounded by directives
    CHECK_FALSE(pool_room_at(state, view, pool, start, start).has_value());
    // WHEN one of them wants no requests and the other one has a queue that isn't full
    record_directives(state, view.pools.at(pool)[0], {{}, 2000ms, false}, start, start);
    // THEN the other one still takes requests
    CHECK_FALSE(pool_room_at(state, view, pool, start, start).has_value());
    // WHEN both want none
    record_directives(state, view.pools.at(pool)[1], {{}, 2000ms, false}, start, start);
    // THEN there is no room
    LONGS_EQUAL(0, pool_room_at(state, view, pool, start, start).value());
}

TEST(placement, a_request_for_one_software_version_goes_to_no_other) {
    // GIVEN a busy upstream of the version and an idle one of another
    placement_state state;
    serving_upstream busy = make_upstream("a", "z1");
    busy.version = {"v1"};
    serving_upstream idle = make_upstream("b", "z1");
    idle.version = {"v2"};
    const fleet_view view = make_view({busy, idle});
    for (int i = 1; i < busy.slots; ++i) {
        record_sent(state, busy, 0, start);
    }
    placement_request wanted = make_request(true);
    wanted.versions = {{{"v1"}}};
    // THEN
    CHECK_TRUE(place(state, view, wanted, start)->id == busy.id);
    // AND without an upstream of the version there is none
    wanted.excluded = {busy.id};
    CHECK_FALSE(place(state, view, wanted, start).has_value());
}

// Guards against a cold upstream that gets nothing, as its rate doesn't fit an integer.
TEST(placement, a_cold_upstream_with_a_rate_beyond_all_counts_gets_requests) {
    // GIVEN a pool whose cold upstreams tolerate a rate that can't be counted, and no warm one
    serving_upstream cold = make_upstream("cold", "z1");
    cold.cold_until = start + 3s;
    fleet_view view = make_view({cold});
    auto config = std::make_shared<serving_config>(*view.config);
    config->pools[pool].cold_per_second = 1e300;
    view.config = config;
    placement_state state;
    // WHEN a request is placed
    const auto chosen = place(state, view, make_request(false), start);
    // THEN the cold upstream gets it
    CHECK_TRUE(chosen.has_value());
    STRCMP_EQUAL("cold", chosen->id.value.c_str());
}
