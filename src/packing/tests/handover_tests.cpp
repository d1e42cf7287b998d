//! Handover of jobs and results between packer instances, on a fake clock.
#include "packing/packing_agent.h"
#include "packing/tests/packing_fleet.h"

#include <algorithm>
#include <limits>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

//! Ticks until the peer that a job was submitted to counts as unresponsive; returns the last
//! effects.
std::vector<packing_agent_effect> tick_until_unresponsive(packing_agent& state, instant& now) {
    std::vector<packing_agent_effect> effects;
    const instant latest = now + 2s;
    while (all_of<peer_status_changed>(effects).empty() && now < latest) {
        now += 50ms;
        effects = reduce(state, packing_agent_tick{}, now);
    }
    return effects;
}

template <typename Message>
std::vector<Message> messages_of(const std::vector<packing_agent_effect>& effects) {
    std::vector<Message> found;
    for (const send_to_peer& sent : all_of<send_to_peer>(effects)) {
        if (const auto* const message = std::get_if<Message>(&sent.message)) {
            found.push_back(*message);
        }
    }
    return found;
}

//! Two instances that know each other: the pool's packer instance and another one.
struct pair_of_instances {
    packing_agent packer_instance;
    packing_agent requester;

    pair_of_instances() {
        const auto view = make_view({make_member("a"), make_member("b")});
        requester = make_requester(view);
        packer_instance = make_packing_agent(requester.self.id.value == "a" ? "b" : "a", view);
    }

    packing_message_received from_requester(peer_message message) const {
        return {requester.self.id, std::move(message)};
    }

    packing_message_received from_packer(peer_message message) const {
        return {packer_instance.self.id, std::move(message)};
    }

    //! Submits a job of the requester; returns the calls that the packer instance starts.
    std::vector<call_stage> submit(std::uint64_t number, instant now) {
        const auto sent = messages_of<pieces_request>(
            reduce(requester, make_job_request(requester, number), now));
        return all_of<call_stage>(reduce(packer_instance, from_requester(sent.at(0)), now));
    }
};

}  // namespace

TEST_GROUP(handover){};

TEST(handover, releases_that_a_lost_packer_instance_may_have_missed_are_sent_to_the_next_one) {
    // GIVEN results that were released through a packer instance shortly before it is lost
    pair_of_instances both;
    instant now = start;
    reduce(both.requester, results_unneeded{pool, {"u1:80/1", "u1:80/2"}}, now);
    reduce(both.requester, make_job_request(both.requester, 1), now);
    // WHEN it counts as unresponsive
    const auto effects = tick_until_unresponsive(both.requester, now);
    // THEN the next packer instance, here the requester itself, releases them
    const auto released = all_of<release_results>(effects);
    LONGS_EQUAL(1, released.size());
    LONGS_EQUAL(2, released[0].results.size());
}

TEST(handover, a_release_is_sent_again_only_if_it_is_recent) {
    // GIVEN a result that was released long before the packer instance is lost
    pair_of_instances both;
    reduce(both.requester, results_unneeded{pool, {"u1:80/1"}}, start - 3s);
    instant now = start;
    reduce(both.requester, make_job_request(both.requester, 1), now);
    // WHEN it counts as unresponsive
    const auto effects = tick_until_unresponsive(both.requester, now);
    // THEN the release isn't repeated
    LONGS_EQUAL(0, all_of<release_results>(effects).size());
}

TEST(handover, a_waiting_job_moves_back_to_a_packer_instance_that_responds_again) {
    // GIVEN a lost packer instance
    pair_of_instances both;
    instant now = start;
    reduce(both.requester, make_job_request(both.requester, 1), now);
    const auto calls = all_of<call_stage>(tick_until_unresponsive(both.requester, now));
    reduce(both.requester, stage_call_answered{pool, make_answer(calls.at(0))}, now);
    std::uint64_t last_ping = 0;
    while (last_ping == 0 && now < start + 4s) {
        now += 50ms;
        const auto pings = messages_of<ping>(reduce(both.requester, packing_agent_tick{}, now));
        last_ping = pings.empty() ? 0 : pings[0].sequence;
    }
    // AND two jobs that the requester's own packer runs meanwhile: one is called, one waits
    reduce(both.requester, make_job_request(both.requester, 2), now);
    reduce(both.requester, make_job_request(both.requester, 3), now);
    // WHEN the packer instance replies to a ping again
    pong answered;
    answered.sequence = last_ping;
    reduce(both.requester, both.from_packer(answered), now);
    const auto effects = reduce(both.requester, packing_agent_tick{}, now + 50ms);
    // THEN the waiting job is submitted to it, and the called one stays
    const auto requests = messages_of<pieces_request>(effects);
    LONGS_EQUAL(1, requests.size());
    LONGS_EQUAL(3, requests[0].number);
    LONGS_EQUAL(0, messages_of<pieces_cancel>(effects).size());
}

TEST(handover, a_stopping_packer_instance_completes_called_jobs_and_returns_waiting_ones) {
    // GIVEN a packer instance with a called and a waiting job
    pair_of_instances both;
    const auto calls = both.submit(1, start);
    LONGS_EQUAL(1, calls.size());
    LONGS_EQUAL(0, both.submit(2, start).size());
    // WHEN it announces its stop
    const auto announced =
        messages_of<ping>(reduce(both.packer_instance, packing_agent_stopping{}, start + 10ms));
    LONGS_EQUAL(1, announced.size());
    CHECK_TRUE(announced[0].leaving);
    reduce(both.requester, both.from_packer(announced[0]), start + 11ms);
    const auto ticked = reduce(both.requester, packing_agent_tick{}, start + 50ms);
    const auto withdrawn = messages_of<pieces_withdraw>(ticked);
    // THEN both jobs are asked back, none is cancelled, and only the waiting one is returned
    LONGS_EQUAL(2, withdrawn.size());
    LONGS_EQUAL(0, messages_of<pieces_cancel>(ticked).size());
    std::vector<pieces_reply> replies;
    for (const pieces_withdraw& request : withdrawn) {
        for (const auto& reply : messages_of<pieces_reply>(
                 reduce(both.packer_instance, both.from_requester(request), start + 51ms))) {
            replies.push_back(reply);
        }
    }
    LONGS_EQUAL(1, replies.size());
    LONGS_EQUAL(2, replies[0].number);
    CHECK_TRUE(replies[0].verdict == pieces_verdict::returned);
    // AND the requester's own packer takes the returned job
    const auto moved = reduce(both.requester, both.from_packer(replies[0]), start + 52ms);
    LONGS_EQUAL(0, all_of<job_ended>(moved).size());
    LONGS_EQUAL(1, all_of<call_stage>(moved).size());
}

TEST(handover, a_stopping_packer_instance_gets_no_new_jobs_until_another_process_takes_its_place) {
    // GIVEN an instance that has announced its stop
    pair_of_instances both;
    ping stop;
    stop.from = both.packer_instance.self;
    stop.leaving = true;
    const auto changed = reduce(both.requester, both.from_packer(stop), start);
    CHECK_TRUE(all_of<peer_status_changed>(changed).at(0).status == peer_status::stopping);
    // WHEN a job arrives
    // THEN the requester's own packer makes the call
    LONGS_EQUAL(
        1, all_of<call_stage>(reduce(both.requester, make_job_request(both.requester, 1), start))
               .size());
    // AND a new process at the address gets jobs again
    member restarted = both.packer_instance.self;
    restarted.id = {"restarted"};
    reduce(both.requester, view_changed{make_view({both.requester.self, restarted})}, start + 2s);
    STRCMP_EQUAL(restarted.address.c_str(),
                 packer_address(both.requester, pool, start + 2s).c_str());
}

TEST(handover, results_of_a_replaced_requester_are_released) {
    // GIVEN a packer instance that holds results and a waiting job of a requester
    pair_of_instances both;
    const auto calls = both.submit(1, start);
    reduce(both.packer_instance, stage_call_answered{pool, make_answer(calls.at(0))},
           start + 180ms);
    both.submit(2, start + 181ms);
    both.submit(3, start + 182ms);
    // WHEN another process at the requester's address submits a job
    packing_agent restarted = both.requester;
    restarted.self.id = {"restarted"};
    const auto sent = messages_of<pieces_request>(
        reduce(restarted, make_job_request(restarted, 1), start + 300ms));
    const auto effects =
        reduce(both.packer_instance, packing_message_received{restarted.self.id, sent.at(0)},
               start + 301ms);
    // THEN the results are released, and the job of the earlier process is dropped
    const auto released = all_of<release_results>(effects);
    LONGS_EQUAL(1, released.size());
    LONGS_EQUAL(2, released[0].results.size());
    const packer& state = both.packer_instance.packers.at(pool);
    CHECK_TRUE(std::ranges::none_of(state.jobs, [&](const auto& entry) {
        return entry.first.requester == both.requester.self.id;
    }));
}

// Guards against times of a peer that overflow the clock.
TEST(handover, a_job_with_times_out_of_range_is_answered) {
    pair_of_instances both;
    const auto sent = messages_of<pieces_request>(
        reduce(both.requester, make_job_request(both.requester, 1), start));
    for (const milliseconds odd : {milliseconds::max(), milliseconds::min()}) {
        // GIVEN a peer's job whose deadlines, result size and number of pieces are out of range
        pieces_request request = sent.at(0);
        request.aim_in = request.needed_in = odd;
        request.result_bytes = std::numeric_limits<std::uint64_t>::max();
        request.pieces = std::numeric_limits<int>::max();
        // WHEN the packer instance gets it
        const auto effects = reduce(both.packer_instance, both.from_requester(request), start);
        // THEN it rejects it
        const auto replies = messages_of<pieces_reply>(effects);
        LONGS_EQUAL(1, replies.size());
        CHECK_TRUE(replies.at(0).verdict == pieces_verdict::overloaded);
    }
}
