//! Several instances' desks and what they send each other, on a fake clock.
#include "packing/desk.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};
const pool_name pool{"p"};

member make_member(const std::string& id) {
    return {{id}, id + ":7", {"z1"}};
}

fleet_view_ptr make_view(std::vector<member> members) {
    auto lists = std::make_shared<catalogue>();
    pool_limits limits;
    limits.name = pool;
    limits.stage = stage_limits{8, 150, 16, 36, 4000ms};
    lists->pools[pool] = limits;
    auto view = std::make_shared<fleet_view>();
    view->lists = lists;
    serving_upstream upstream;
    upstream.id = {"u1"};
    upstream.pool = pool;
    upstream.address = "u1:80";
    view->pools[pool] = {upstream};
    view->members = std::move(members);
    view->upstreams_known = true;
    return view;
}

desk make_desk(const std::string& self, const fleet_view_ptr& view) {
    desk state;
    state.self = make_member(self);
    reduce(state, view_changed{view}, start);
    return state;
}

//! Of two instances, `a` and `b`, the one that isn't the pool's home.
desk make_asker(const fleet_view_ptr& view) {
    const desk any = make_desk("a", view);
    return make_desk(home_of(any, pool, start) == "a:7" ? "b" : "a", view);
}

pieces_wanted make_wanted(const desk& state, std::uint64_t number) {
    piece_order order;
    order.id = {state.self.id, number};
    order.request = "r";
    order.pieces = 2;
    order.key = "k";
    order.aim = start + 1s;
    order.needed_by = start + 5s;
    return {pool, order};
}

template <typename Effect>
std::vector<Effect> all_of(const std::vector<desk_effect>& effects) {
    std::vector<Effect> found;
    for (const desk_effect& one : effects) {
        if (const auto* const effect = std::get_if<Effect>(&one)) {
            found.push_back(*effect);
        }
    }
    return found;
}

call_answered make_answer(const call_stage& wanted) {
    call_answered answered{wanted.call.call, {}};
    for (std::size_t i = 0; i < wanted.call.items.size(); ++i) {
        answered.outcomes.push_back({piece_status::made, "u1:80/" + std::to_string(i)});
    }
    return answered;
}

}  // namespace

TEST_GROUP(desk){};

TEST(desk, two_instances_send_their_orders_to_one_packer) {
    // GIVEN two instances that know each other
    const auto view = make_view({make_member("a"), make_member("b")});
    desk a = make_desk("a", view);
    desk b = make_desk("b", view);
    const std::string home = home_of(a, pool, start);
    CHECK_TRUE(home == home_of(b, pool, start));
    desk& packs = home == "a:7" ? a : b;
    desk& asks = home == "a:7" ? b : a;
    // WHEN the other one orders pieces
    const auto sent = all_of<send_to_peer>(reduce(asks, make_wanted(asks, 1), start));
    LONGS_EQUAL(1, sent.size());
    const auto calls =
        all_of<call_stage>(reduce(packs, peer_said{asks.self.id, sent[0].message}, start));
    LONGS_EQUAL(1, calls.size());
    const auto replies = all_of<send_to_peer>(
        reduce(packs, stage_call_answered{pool, make_answer(calls[0])}, start + 182ms));
    // THEN the home calls, and its reply ends the order with the results
    const auto ended = all_of<pieces_ended>(
        reduce(asks, peer_said{packs.self.id, replies.at(0).message}, start + 183ms));
    LONGS_EQUAL(1, ended.size());
    CHECK_TRUE(ended[0].reply.verdict == pieces_verdict::made);
    LONGS_EQUAL(2, ended[0].reply.results.size());
}

TEST(desk, an_instance_that_knows_nobody_packs_for_itself) {
    // GIVEN an instance that the store hasn't told of any member
    desk alone = make_desk("a", make_view({}));
    // WHEN it orders pieces
    const auto calls = all_of<call_stage>(reduce(alone, make_wanted(alone, 1), start));
    // THEN it makes the call
    LONGS_EQUAL(1, calls.size());
}

TEST(desk, orders_at_a_silent_home_are_placed_again) {
    // GIVEN an order at a home that has just frozen
    const auto view = make_view({make_member("a"), make_member("b")});
    desk asks = make_asker(view);
    reduce(asks, make_wanted(asks, 1), start);
    // WHEN it doesn't answer pings
    std::vector<desk_effect> effects;
    instant now = start;
    while (all_of<peer_judged>(effects).empty() && now < start + 2s) {
        now += 50ms;
        effects = reduce(asks, desk_tick{}, now);
    }
    // THEN within 0.8 s it counts as silent, and the next home, here this instance, calls
    CHECK_TRUE(now <= start + 800ms);
    CHECK_TRUE(all_of<peer_judged>(effects).at(0).verdict == peer_verdict::silent);
    LONGS_EQUAL(1, all_of<call_stage>(effects).size());
}

TEST(desk, a_home_that_was_only_slow_does_not_make_moved_orders_for_nobody) {
    // GIVEN an order at a home that answers nothing
    const auto view = make_view({make_member("a"), make_member("b")});
    desk asks = make_asker(view);
    reduce(asks, make_wanted(asks, 1), start);
    // WHEN it counts as silent
    std::vector<desk_effect> effects;
    for (instant now = start; all_of<peer_judged>(effects).empty(); now += 50ms) {
        effects = reduce(asks, desk_tick{}, now);
    }
    // THEN the order there is cancelled, in case it is read after all
    const auto sent = all_of<send_to_peer>(effects);
    CHECK_TRUE(std::ranges::any_of(sent, [](const send_to_peer& one) {
        return std::holds_alternative<pieces_cancel>(one.message);
    }));
}

TEST(desk, a_home_that_answers_pings_keeps_its_orders) {
    // GIVEN an order that takes long at a living home
    const auto view = make_view({make_member("a"), make_member("b")});
    desk asks = make_asker(view);
    const std::string home = home_of(asks, pool, start);
    reduce(asks, make_wanted(asks, 1), start);
    // WHEN it answers each ping
    for (instant now = start; now < start + 3s; now += 50ms) {
        const auto effects = reduce(asks, desk_tick{}, now);
        // THEN it never counts as silent
        LONGS_EQUAL(0, all_of<peer_judged>(effects).size());
        for (const send_to_peer& sent : all_of<send_to_peer>(effects)) {
            if (const auto* const asked = std::get_if<ping>(&sent.message)) {
                pong answered;
                answered.sequence = asked->sequence;
                reduce(asks, peer_said{{"home"}, answered}, now + 1ms);
            }
        }
    }
}

TEST(desk, a_home_that_left_the_list_loses_its_orders) {
    // GIVEN an order at the other instance
    const auto view = make_view({make_member("a"), make_member("b")});
    desk asks = make_asker(view);
    reduce(asks, make_wanted(asks, 1), start);
    // WHEN the store's list has only this one left
    const auto effects = reduce(asks, view_changed{make_view({asks.self})}, start + 100ms);
    // THEN it packs itself
    LONGS_EQUAL(1, all_of<call_stage>(effects).size());
}

TEST(desk, an_abandoned_order_is_cancelled_at_its_home) {
    // GIVEN an order at the other instance
    const auto view = make_view({make_member("a"), make_member("b")});
    desk asks = make_asker(view);
    reduce(asks, make_wanted(asks, 1), start);
    // WHEN its caller leaves
    const auto sent = all_of<send_to_peer>(reduce(asks, pieces_abandoned{1}, start + 10ms));
    // THEN the home is told
    CHECK_TRUE(std::holds_alternative<pieces_cancel>(sent.at(0).message));
}

TEST(desk, a_home_that_started_again_gets_its_orders_again) {
    // GIVEN an order at a home that has answered a ping
    const auto view = make_view({make_member("a"), make_member("b")});
    desk asks = make_asker(view);
    reduce(asks, make_wanted(asks, 1), start);
    pong answered;
    answered.sequence = 1;
    reduce(asks, desk_tick{}, start + 300ms);
    reduce(asks, peer_said{{"first"}, answered}, start + 301ms);
    // WHEN another process answers at its address
    reduce(asks, desk_tick{}, start + 650ms);
    answered.sequence = 2;
    const auto sent =
        all_of<send_to_peer>(reduce(asks, peer_said{{"second"}, answered}, start + 651ms));
    // THEN the order is sent to it, whatever the store says of that member
    LONGS_EQUAL(1, sent.size());
    CHECK_TRUE(std::holds_alternative<pieces_request>(sent[0].message));
}

TEST(desk, weak_machines_are_no_homes) {
    // GIVEN a strong machine among weak ones
    std::vector<member> members;
    for (const char* id : {"a", "b", "c", "d", "e"}) {
        members.push_back(make_member(id));
        members.back().millicores = 120;
    }
    members[3].millicores = 500;
    const desk state = make_desk("a", make_view(members));
    // WHEN the homes of several pools are asked for
    // THEN the strong one is the home of all
    for (const char* name : {"p", "q", "r", "s"}) {
        STRCMP_EQUAL("d:7", home_of(state, {name}, start).c_str());
    }
}

TEST(desk, a_home_that_replies_is_not_pinged) {
    // GIVEN orders at a home that answers each within 100 ms
    const auto view = make_view({make_member("a"), make_member("b")});
    desk asks = make_asker(view);
    for (std::uint64_t number = 1; number <= 20; ++number) {
        const instant now = start + milliseconds(number * 100);
        reduce(asks, make_wanted(asks, number), now);
        // WHEN time passes
        const auto sent = all_of<send_to_peer>(reduce(asks, desk_tick{}, now + 50ms));
        // THEN nothing but orders is sent
        LONGS_EQUAL(0, sent.size());
        pieces_reply reply;
        reply.number = number;
        reduce(asks, peer_said{{"home"}, reply}, now + 100ms);
    }
}

TEST(desk, orders_at_a_process_that_knows_no_upstreams_yet_are_moved_at_once) {
    // GIVEN an order at a home that has just started again while the store is down
    const auto view = make_view({make_member("a"), make_member("b")});
    desk any = make_desk("a", view);
    const bool a_is_home = home_of(any, pool, start) == "a:7";
    desk asks = make_desk(a_is_home ? "b" : "a", view);
    desk home;
    home.self = make_member(a_is_home ? "a" : "b");
    const auto sent = all_of<send_to_peer>(reduce(asks, make_wanted(asks, 1), start));
    // WHEN it is asked
    const auto replies = all_of<send_to_peer>(
        reduce(home, peer_said{asks.self.id, sent.at(0).message}, start + 1ms));
    // THEN it says that it isn't ready, and the asker packs itself without waiting
    const auto moved = reduce(asks, peer_said{home.self.id, replies.at(0).message}, start + 2ms);
    LONGS_EQUAL(0, all_of<pieces_ended>(moved).size());
    LONGS_EQUAL(1, all_of<call_stage>(moved).size());
    // AND the changed belief is reported
    CHECK_TRUE(all_of<peer_judged>(moved).at(0).verdict == peer_verdict::not_ready);
}

TEST(desk, a_silent_home_gets_no_orders_until_it_answers_a_ping) {
    // GIVEN a home that is cut off while orders come steadily
    const auto view = make_view({make_member("a"), make_member("b")});
    desk asks = make_asker(view);
    const std::string home = home_of(asks, pool, start);
    reduce(asks, make_wanted(asks, 1), start);
    std::uint64_t last_ping = 0;
    std::uint64_t number = 1;
    int orders_to_home = 0;
    // WHEN it is cut off for 12 s
    for (instant now = start + 50ms; now < start + 12s; now += 50ms) {
        auto effects = reduce(asks, make_wanted(asks, ++number), now);
        const auto ticked = reduce(asks, desk_tick{}, now);
        effects.insert(effects.end(), ticked.begin(), ticked.end());
        for (const send_to_peer& sent : all_of<send_to_peer>(effects)) {
            if (const auto* const asked = std::get_if<ping>(&sent.message)) {
                last_ping = asked->sequence;
            }
            const bool is_order = std::holds_alternative<pieces_request>(sent.message);
            orders_to_home += is_order && now > start + 800ms ? 1 : 0;
        }
    }
    // THEN it gets no order once it has been found silent
    LONGS_EQUAL(0, orders_to_home);
    // AND the answer to a ping makes it the home again
    pong answered;
    answered.sequence = last_ping;
    const auto heard = reduce(asks, peer_said{{"home"}, answered}, start + 12s);
    CHECK_TRUE(all_of<peer_judged>(heard).at(0).verdict == peer_verdict::heard);
    STRCMP_EQUAL(home.c_str(), home_of(asks, pool, start + 12s).c_str());
}

TEST(desk, a_silent_home_that_left_the_list_is_not_pinged) {
    // GIVEN a home that was found silent
    const auto view = make_view({make_member("a"), make_member("b")});
    desk asks = make_asker(view);
    reduce(asks, make_wanted(asks, 1), start);
    for (instant now = start; now < start + 2s; now += 50ms) {
        reduce(asks, desk_tick{}, now);
    }
    // WHEN the store's list has only this instance left
    reduce(asks, view_changed{make_view({asks.self})}, start + 2s);
    // THEN nothing more is sent
    for (instant now = start + 2s; now < start + 6s; now += 50ms) {
        LONGS_EQUAL(0, all_of<send_to_peer>(reduce(asks, desk_tick{}, now)).size());
    }
}
