//! The load patterns that a pool's packer answers, replayed on a fake clock.
#include "packing/packer.h"

#include <algorithm>
#include <ctime>
#include <deque>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};

stage_limits make_limits() {
    return {8, 150, 16, 36, 4000ms};
}

pool_upstream make_upstream(const std::string& id, const std::string& zone = "z1") {
    return {{id}, id + ":80", {zone}};
}

packer make_packer(std::vector<pool_upstream> upstreams, instant now = start) {
    packer state;
    reduce(state, pool_changed{make_limits(), std::move(upstreams)}, now);
    return state;
}

piece_order make_order(std::uint64_t number, int pieces, instant now = start) {
    piece_order order;
    order.id = {{"i"}, number};
    order.request = "r" + std::to_string(number);
    order.pieces = pieces;
    order.key = "k";
    order.aim = now + 1000ms;
    order.needed_by = now + 5000ms;
    return order;
}

template <typename Effect>
std::vector<Effect> all_of(const std::vector<packer_effect>& effects) {
    std::vector<Effect> found;
    for (const packer_effect& one : effects) {
        if (const auto* const effect = std::get_if<Effect>(&one)) {
            found.push_back(*effect);
        }
    }
    return found;
}

std::vector<packer_effect> answer(packer& state, const make_call& call, instant now) {
    call_answered answered{call.call, {}};
    for (std::size_t i = 0; i < call.items.size(); ++i) {
        answered.outcomes.push_back(
            {piece_status::made, call.address + "/" + std::to_string(call.call * 100 + i)});
    }
    return reduce(state, answered, now);
}

//! Processor time of this thread.
milliseconds processor_time() {
    timespec value{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return std::chrono::duration_cast<milliseconds>(std::chrono::seconds(value.tv_sec) +
                                                    std::chrono::nanoseconds(value.tv_nsec));
}

//! Upstreams that work as the limits say, for replaying arrivals, with the ticks of the desk's
//! user.
struct replay {
    static constexpr milliseconds tick_period{50};

    instant next_tick{start};
    packer state;
    std::deque<std::pair<instant, make_call>> running;
    int made{0};
    int on_time{0};
    int refused{0};
    int calls{0};
    std::map<order_id, instant> aims;

    void take(const std::vector<packer_effect>& effects, instant now) {
        for (const make_call& call : all_of<make_call>(effects)) {
            const auto takes = milliseconds(150 + 16 * static_cast<int>(call.items.size()));
            running.emplace_back(now + takes, call);
            ++calls;
        }
        for (const order_made& order : all_of<order_made>(effects)) {
            ++made;
            on_time += now <= aims.at(order.id) ? 1 : 0;
        }
        refused += static_cast<int>(all_of<order_refused>(effects).size());
    }

    void run_until(instant until) {
        while (!running.empty()) {
            const auto next =
                std::min_element(running.begin(), running.end(),
                                 [](const auto& a, const auto& b) { return a.first < b.first; });
            if (std::min(next->first, next_tick) > until) {
                return;
            }
            if (next_tick < next->first) {
                take(reduce(state, packer_tick{}, next_tick), next_tick);
                next_tick += tick_period;
                continue;
            }
            const auto [at, call] = *next;
            running.erase(next);
            take(answer(state, call, at), at);
        }
    }

    void place(const piece_order& order, instant now) {
        run_until(now);
        aims[order.id] = order.aim;
        take(reduce(state, order_placed{order}, now), now);
    }
};

}  // namespace

TEST_GROUP(packer){};

TEST(packer, an_idle_upstream_starts_at_once) {
    // GIVEN an idle pool
    packer state = make_packer({make_upstream("u1")});
    // WHEN an order comes
    const auto calls = all_of<make_call>(reduce(state, order_placed{make_order(1, 3)}, start));
    // THEN all its pieces are asked for in one call
    LONGS_EQUAL(1, calls.size());
    LONGS_EQUAL(3, calls[0].items.size());
    STRCMP_EQUAL("k", calls[0].items[0].key.c_str());
}

TEST(packer, orders_that_wait_share_the_next_call) {
    // GIVEN a busy upstream with two orders waiting
    packer state = make_packer({make_upstream("u1")});
    const auto first = all_of<make_call>(reduce(state, order_placed{make_order(1, 1)}, start));
    reduce(state, order_placed{make_order(2, 2)}, start + 10ms);
    reduce(state, order_placed{make_order(3, 2)}, start + 20ms);
    // WHEN the call ends
    const auto effects = answer(state, first[0], start + 166ms);
    // THEN the first order is made, and one call takes the pieces of both others
    LONGS_EQUAL(1, all_of<order_made>(effects).size());
    LONGS_EQUAL(4, all_of<make_call>(effects).at(0).items.size());
}

TEST(packer, work_that_is_further_along_goes_first) {
    // GIVEN a busy upstream, an urgent order at its first stage and another at its third
    packer state = make_packer({make_upstream("u1")});
    const auto first = all_of<make_call>(reduce(state, order_placed{make_order(1, 1)}, start));
    piece_order urgent = make_order(2, 8);
    urgent.priority = 0;
    piece_order deep = make_order(3, 8);
    deep.priority = 2;
    deep.depth = 2;
    reduce(state, order_placed{urgent}, start);
    reduce(state, order_placed{deep}, start);
    // WHEN the upstream is free
    const auto calls = all_of<make_call>(answer(state, first[0], start + 166ms));
    // THEN the request that has two stages behind it goes on
    STRCMP_EQUAL("r3", calls.at(0).items[0].request.c_str());
}

TEST(packer, an_order_that_can_still_be_on_time_goes_before_one_that_cannot) {
    // GIVEN a busy upstream, an urgent order that is late already and a less urgent one that isn't
    packer state = make_packer({make_upstream("u1")});
    const auto first = all_of<make_call>(reduce(state, order_placed{make_order(1, 1)}, start));
    piece_order late = make_order(2, 8);
    late.aim = start + 200ms;
    late.priority = 0;
    piece_order in_time = make_order(3, 8);
    in_time.priority = 2;
    reduce(state, order_placed{late}, start);
    reduce(state, order_placed{in_time}, start);
    // WHEN the upstream is free
    const auto calls = all_of<make_call>(answer(state, first[0], start + 166ms));
    // THEN the one that gains from it goes first
    STRCMP_EQUAL("r3", calls.at(0).items[0].request.c_str());
}

TEST(packer, a_hopeless_order_is_refused_at_once_with_the_time_the_queue_needs) {
    // GIVEN one upstream with two seconds of work ahead
    packer state = make_packer({make_upstream("u1")});
    for (std::uint64_t i = 1; i <= 8; ++i) {
        reduce(state, order_placed{make_order(i, 8)}, start);
    }
    // WHEN an order comes that is needed within one second
    piece_order hopeless = make_order(99, 8);
    hopeless.needed_by = start + 1000ms;
    const auto refused = all_of<order_refused>(reduce(state, order_placed{hopeless}, start));
    // THEN it is refused now, and told to come back when the queue has drained
    LONGS_EQUAL(1, refused.size());
    CHECK_TRUE(refused[0].why == pieces_verdict::overloaded);
    CHECK_TRUE(refused[0].retry_after >= 1000ms);
}

TEST(packer, results_fill_the_memory_of_their_maker_until_they_are_released) {
    // GIVEN an upstream with room for 11 results of 3 MB, and 8 made
    packer state = make_packer({make_upstream("u1")});
    piece_order large = make_order(1, 8);
    large.result_bytes = 3'000'000;
    piece_order more = make_order(2, 8);
    more.result_bytes = 3'000'000;
    auto calls = all_of<make_call>(reduce(state, order_placed{large}, start));
    const auto made = all_of<order_made>(answer(state, calls[0], start + 278ms));
    calls = all_of<make_call>(reduce(state, order_placed{more}, start + 300ms));
    // THEN only three of the second order fit
    LONGS_EQUAL(3, calls.at(0).items.size());
    LONGS_EQUAL(0, all_of<make_call>(answer(state, calls[0], start + 600ms)).size());
    // WHEN the first results are released
    const auto after = reduce(state, results_released{made.at(0).results}, start + 700ms);
    // THEN the maker is told, and the rest is made
    LONGS_EQUAL(1, all_of<release_results>(after).size());
    LONGS_EQUAL(5, all_of<make_call>(after).at(0).items.size());
}

TEST(packer, results_of_an_earlier_packer_are_released_at_their_maker) {
    // GIVEN a packer that has just taken over
    packer state = make_packer({make_upstream("u1")});
    // WHEN a result is released that it doesn't know
    const auto released =
        all_of<release_results>(reduce(state, results_released{{"u1:80/7"}}, start));
    // THEN its maker is told all the same
    LONGS_EQUAL(1, released.size());
    STRCMP_EQUAL("u1:80/7", released[0].results.at(0).c_str());
}

TEST(packer, memory_that_others_results_fill_is_found_and_used_again_when_they_expire) {
    // GIVEN an upstream whose memory is full of results that this packer doesn't know
    packer state = make_packer({make_upstream("u1")});
    piece_order large = make_order(1, 2);
    large.result_bytes = 3'000'000;
    const auto calls = all_of<make_call>(reduce(state, order_placed{large}, start));
    const call_answered full{calls[0].call,
                             {{piece_status::no_memory, ""}, {piece_status::no_memory, ""}}};
    // WHEN it says so
    const auto after = all_of<make_call>(reduce(state, full, start + 160ms));
    // THEN it isn't asked again at once, as each call costs its fixed time
    LONGS_EQUAL(0, after.size());
    // AND it is after a while
    LONGS_EQUAL(1, all_of<make_call>(reduce(state, packer_tick{}, start + 1700ms)).size());
}

TEST(packer, pieces_of_an_order_stay_together_unless_more_waits_than_calls_can_take) {
    // GIVEN two orders of five pieces and calls of eight
    packer state = make_packer({make_upstream("u1")});
    const auto first = all_of<make_call>(reduce(state, order_placed{make_order(1, 1)}, start));
    reduce(state, order_placed{make_order(2, 5)}, start);
    reduce(state, order_placed{make_order(3, 5)}, start);
    // WHEN the upstream is free
    // THEN only the first goes
    const auto calls = all_of<make_call>(answer(state, first[0], start + 166ms));
    LONGS_EQUAL(5, calls.at(0).items.size());
    // WHEN far more waits
    for (std::uint64_t i = 4; i < 8; ++i) {
        reduce(state, order_placed{make_order(i, 5)}, start + 200ms);
    }
    // THEN calls are filled
    LONGS_EQUAL(8, all_of<make_call>(answer(state, calls[0], start + 400ms)).at(0).items.size());
}

TEST(packer, pieces_of_a_broken_call_are_made_elsewhere) {
    // GIVEN two upstreams, one of them working on an order
    packer state = make_packer({make_upstream("u1"), make_upstream("u2")});
    const auto calls = all_of<make_call>(reduce(state, order_placed{make_order(1, 2)}, start));
    // WHEN its call breaks
    const auto again = all_of<make_call>(
        reduce(state, call_failed{calls[0].call, call_failure::broken}, start + 50ms));
    // THEN the other upstream is asked
    LONGS_EQUAL(1, again.size());
    CHECK_TRUE(again[0].upstream != calls[0].upstream);
}

TEST(packer, a_silent_call_is_asked_for_again_and_its_late_answer_is_released) {
    // GIVEN two upstreams, one of them silent with an order
    packer state = make_packer({make_upstream("u1"), make_upstream("u2")});
    const auto calls = all_of<make_call>(reduce(state, order_placed{make_order(1, 1)}, start));
    // WHEN the call is overdue by far
    const auto again = all_of<make_call>(reduce(state, packer_tick{}, start + 600ms));
    LONGS_EQUAL(1, again.size());
    LONGS_EQUAL(1, all_of<order_made>(answer(state, again[0], start + 800ms)).size());
    // THEN the answer of the silent one, when it comes, is given back
    LONGS_EQUAL(1, all_of<release_results>(answer(state, calls[0], start + 900ms)).size());
}

TEST(packer, lost_inputs_send_the_request_back_to_its_first_stage) {
    // GIVEN an order with inputs in a call
    packer state = make_packer({make_upstream("u1")});
    piece_order order = make_order(1, 1);
    order.inputs = std::make_shared<const std::vector<std::string>>(1, "x/1");
    const auto calls = all_of<make_call>(reduce(state, order_placed{order}, start));
    // WHEN the upstream says that the input is gone
    const auto refused = all_of<order_refused>(reduce(
        state, call_answered{calls[0].call, {{piece_status::input_lost, ""}}}, start + 160ms));
    // THEN the order ends with that reason
    CHECK_TRUE(refused.at(0).why == pieces_verdict::input_lost);
}

TEST(packer, a_cancelled_order_is_not_called_for) {
    // GIVEN a busy upstream and an order that waits
    packer state = make_packer({make_upstream("u1")});
    const auto first = all_of<make_call>(reduce(state, order_placed{make_order(1, 1)}, start));
    reduce(state, order_placed{make_order(2, 4)}, start);
    // WHEN its caller leaves
    reduce(state, order_cancelled{{{"i"}, 2}}, start + 50ms);
    // THEN the upstream stays idle afterwards
    LONGS_EQUAL(0, all_of<make_call>(answer(state, first[0], start + 166ms)).size());
}

TEST(packer, large_results_are_made_near_their_consumer_if_that_is_soon) {
    // GIVEN an idle upstream in another zone, and one in the consumer's zone that is free soon
    packer state = make_packer({make_upstream("far", "z2"), make_upstream("near", "z1")});
    piece_order first = make_order(1, 1);
    first.zone = {"z1"};
    first.bytes_to_zone = 3'000'000;
    const auto calls = all_of<make_call>(reduce(state, order_placed{first}, start));
    STRCMP_EQUAL("near", calls.at(0).upstream.value.c_str());
    piece_order second = make_order(2, 1);
    second.zone = {"z1"};
    second.bytes_to_zone = 3'000'000;
    // WHEN the second order comes shortly before the near one is free
    const auto waits = all_of<make_call>(reduce(state, order_placed{second}, start + 100ms));
    // THEN it waits for it
    LONGS_EQUAL(0, waits.size());
    LONGS_EQUAL(1, all_of<make_call>(answer(state, calls[0], start + 166ms)).size());
}

TEST(packer, a_burst_of_twice_the_mean_load_is_served_on_time_in_full_calls) {
    // GIVEN three upstreams and the load of a burst: 66 pieces a second in orders of one to four,
    // clumped in threes, where single-piece calls would make 18 a second
    replay run;
    run.state = make_packer({make_upstream("u1"), make_upstream("u2"), make_upstream("u3")});
    std::uint64_t number = 0;
    int pieces = 0;
    for (int clump = 0; clump < 50; ++clump) {
        const instant at = start + milliseconds(clump * 110);
        for (int i = 0; i < 3; ++i) {
            const int count = 1 + static_cast<int>((number * 7) % 4);
            pieces += count;
            run.place(make_order(++number, count, at), at);
        }
    }
    // WHEN all has run
    run.run_until(start + 60s);
    // THEN nothing was refused, nearly all was made within the aim of a second, and calls were
    // packed
    LONGS_EQUAL(0, run.refused);
    CHECK_TRUE(run.on_time >= 95 * static_cast<int>(number) / 100);
    CHECK_TRUE(run.calls * 4 <= pieces);
}

TEST(packer, three_times_what_the_pool_can_make_is_refused_early_and_the_rest_is_on_time) {
    // GIVEN one upstream, which makes 28 pieces a second, and 84 a second for four seconds
    replay run;
    run.state = make_packer({make_upstream("u1")});
    std::uint64_t number = 0;
    for (int i = 0; i < 168; ++i) {
        const instant at = start + milliseconds(i * 24);
        piece_order order = make_order(++number, 2, at);
        order.aim = at + 800ms;
        order.needed_by = at + 1600ms;
        run.place(order, at);
    }
    // WHEN all has run
    run.run_until(start + 60s);
    // THEN about what fits is made, and what can't be is refused
    CHECK_TRUE(run.made >= 40);
    CHECK_TRUE(run.refused >= 80);
}

TEST(packer, a_whole_fleets_orders_at_once_leave_the_home_time_to_answer) {
    // GIVEN a pool of 17 upstreams whose packer has just become the home: 64 instances place ten
    // orders each within a moment, a quarter of them beyond their aim
    std::vector<pool_upstream> upstreams;
    for (int i = 0; i < 17; ++i) {
        upstreams.push_back(make_upstream("u" + std::to_string(i)));
    }
    packer state = make_packer(upstreams);
    const milliseconds before = processor_time();
    for (std::uint64_t number = 0; number < 640; ++number) {
        piece_order order = make_order(number, 4);
        order.depth = static_cast<int>(number % 2);
        order.aim = start + (number % 4 == 0 ? -10ms : 600ms);
        order.needed_by = start + 7s;
        reduce(state, order_placed{order}, start);
    }
    // WHEN half a second passes
    for (instant now = start; now < start + 500ms; now += 50ms) {
        reduce(state, packer_tick{}, now);
    }
    // THEN that took less processor time than a quarter of a core has until a home counts as silent
    CHECK_TRUE(processor_time() - before < 110ms);
}
