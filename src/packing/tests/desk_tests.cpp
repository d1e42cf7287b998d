//! Packing agents of several instances and the messages between them, on a fake clock.
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

//! The packing agent of instance `a` or `b`, whichever isn't the pool's packer instance.
desk make_requester(const fleet_view_ptr& view) {
    const desk agent_of_a = make_desk("a", view);
    return make_desk(home_of(agent_of_a, pool, start) == "a:7" ? "b" : "a", view);
}

pieces_wanted make_job_request(const desk& state, std::uint64_t number) {
    piece_order job;
    job.id = {state.self.id, number};
    job.request = "r";
    job.pieces = 2;
    job.key = "k";
    job.aim = start + 1s;
    job.needed_by = start + 5s;
    return {pool, job};
}

template <typename Effect>
std::vector<Effect> all_of(const std::vector<desk_effect>& effects) {
    std::vector<Effect> found;
    for (const desk_effect& emitted : effects) {
        if (const auto* const effect = std::get_if<Effect>(&emitted)) {
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

TEST(desk, two_instances_submit_their_jobs_to_one_packer) {
    // GIVEN two instances that are members in each other's view
    const auto view = make_view({make_member("a"), make_member("b")});
    desk a = make_desk("a", view);
    desk b = make_desk("b", view);
    const std::string assigned_address = home_of(a, pool, start);
    CHECK_TRUE(assigned_address == home_of(b, pool, start));
    desk& packer_instance = assigned_address == "a:7" ? a : b;
    desk& requester = assigned_address == "a:7" ? b : a;
    // WHEN the instance that isn't the pool's packer instance submits a job
    const auto sent =
        all_of<send_to_peer>(reduce(requester, make_job_request(requester, 1), start));
    LONGS_EQUAL(1, sent.size());
    const auto calls = all_of<call_stage>(
        reduce(packer_instance, peer_said{requester.self.id, sent[0].message}, start));
    LONGS_EQUAL(1, calls.size());
    const auto replies = all_of<send_to_peer>(
        reduce(packer_instance, stage_call_answered{pool, make_answer(calls[0])}, start + 182ms));
    // THEN the packer instance calls the upstream, and its reply ends the job with the results
    const auto ended = all_of<pieces_ended>(reduce(
        requester, peer_said{packer_instance.self.id, replies.at(0).message}, start + 183ms));
    LONGS_EQUAL(1, ended.size());
    CHECK_TRUE(ended[0].reply.verdict == pieces_verdict::made);
    LONGS_EQUAL(2, ended[0].reply.results.size());
}

TEST(desk, an_instance_without_members_uses_its_own_packer) {
    // GIVEN an instance whose view has no members
    desk alone = make_desk("a", make_view({}));
    // WHEN it submits a job
    const auto calls = all_of<call_stage>(reduce(alone, make_job_request(alone, 1), start));
    // THEN its own packer makes the call
    LONGS_EQUAL(1, calls.size());
}

TEST(desk, jobs_at_an_unresponsive_packer_instance_are_reassigned) {
    // GIVEN a job at a packer instance that has stopped responding
    const auto view = make_view({make_member("a"), make_member("b")});
    desk requester = make_requester(view);
    reduce(requester, make_job_request(requester, 1), start);
    // WHEN it doesn't reply to pings
    std::vector<desk_effect> effects;
    instant now = start;
    while (all_of<peer_judged>(effects).empty() && now < start + 2s) {
        now += 50ms;
        effects = reduce(requester, desk_tick{}, now);
    }
    // THEN it counts as unresponsive within 0.8 s, and the next packer instance, here the
    // requester, makes the call
    CHECK_TRUE(now <= start + 800ms);
    CHECK_TRUE(all_of<peer_judged>(effects).at(0).verdict == peer_verdict::silent);
    LONGS_EQUAL(1, all_of<call_stage>(effects).size());
}

TEST(desk, a_reassigned_job_is_cancelled_at_its_previous_packer_instance) {
    // GIVEN a job at a packer instance that doesn't respond
    const auto view = make_view({make_member("a"), make_member("b")});
    desk requester = make_requester(view);
    reduce(requester, make_job_request(requester, 1), start);
    // WHEN it counts as unresponsive
    std::vector<desk_effect> effects;
    for (instant now = start; all_of<peer_judged>(effects).empty(); now += 50ms) {
        effects = reduce(requester, desk_tick{}, now);
    }
    // THEN the job there is cancelled, in case the instance still receives it
    const auto sent = all_of<send_to_peer>(effects);
    CHECK_TRUE(std::ranges::any_of(sent, [](const send_to_peer& message) {
        return std::holds_alternative<pieces_cancel>(message.message);
    }));
}

TEST(desk, a_packer_instance_that_replies_to_pings_keeps_its_jobs) {
    // GIVEN a slow job at a live packer instance
    const auto view = make_view({make_member("a"), make_member("b")});
    desk requester = make_requester(view);
    const std::string assigned_address = home_of(requester, pool, start);
    reduce(requester, make_job_request(requester, 1), start);
    // WHEN it replies to each ping
    for (instant now = start; now < start + 3s; now += 50ms) {
        const auto effects = reduce(requester, desk_tick{}, now);
        // THEN it never counts as unresponsive
        LONGS_EQUAL(0, all_of<peer_judged>(effects).size());
        for (const send_to_peer& sent : all_of<send_to_peer>(effects)) {
            if (const auto* const request = std::get_if<ping>(&sent.message)) {
                pong answered;
                answered.sequence = request->sequence;
                reduce(requester, peer_said{{"home"}, answered}, now + 1ms);
            }
        }
    }
}

TEST(desk, jobs_at_an_instance_that_is_no_longer_a_member_are_reassigned) {
    // GIVEN a job at the other instance
    const auto view = make_view({make_member("a"), make_member("b")});
    desk requester = make_requester(view);
    reduce(requester, make_job_request(requester, 1), start);
    // WHEN this instance is the only member left
    const auto effects =
        reduce(requester, view_changed{make_view({requester.self})}, start + 100ms);
    // THEN its own packer makes the call
    LONGS_EQUAL(1, all_of<call_stage>(effects).size());
}

TEST(desk, an_abandoned_job_is_cancelled_at_its_packer_instance) {
    // GIVEN a job at the other instance
    const auto view = make_view({make_member("a"), make_member("b")});
    desk requester = make_requester(view);
    reduce(requester, make_job_request(requester, 1), start);
    // WHEN the job is abandoned
    const auto sent = all_of<send_to_peer>(reduce(requester, pieces_abandoned{1}, start + 10ms));
    // THEN it is cancelled at the packer instance
    CHECK_TRUE(std::holds_alternative<pieces_cancel>(sent.at(0).message));
}

TEST(desk, a_restarted_packer_instance_gets_its_jobs_again) {
    // GIVEN a job at a packer instance that has replied to a ping
    const auto view = make_view({make_member("a"), make_member("b")});
    desk requester = make_requester(view);
    reduce(requester, make_job_request(requester, 1), start);
    pong answered;
    answered.sequence = 1;
    reduce(requester, desk_tick{}, start + 300ms);
    reduce(requester, peer_said{{"first"}, answered}, start + 301ms);
    // WHEN another process at its address replies to a ping
    reduce(requester, desk_tick{}, start + 650ms);
    answered.sequence = 2;
    const auto sent =
        all_of<send_to_peer>(reduce(requester, peer_said{{"second"}, answered}, start + 651ms));
    // THEN the job is submitted to it again, without a change of the members
    LONGS_EQUAL(1, sent.size());
    CHECK_TRUE(std::holds_alternative<pieces_request>(sent[0].message));
}

TEST(desk, members_with_little_processor_capacity_are_not_packer_instances) {
    // GIVEN one machine with much more processor capacity than the others
    std::vector<member> members;
    for (const char* id : {"a", "b", "c", "d", "e"}) {
        members.push_back(make_member(id));
        members.back().millicores = 120;
    }
    members[3].millicores = 500;
    const desk state = make_desk("a", make_view(members));
    // WHEN the packer instances of several pools are selected
    // THEN it is the packer instance of all these pools
    for (const char* name : {"p", "q", "r", "s"}) {
        STRCMP_EQUAL("d:7", home_of(state, {name}, start).c_str());
    }
}

TEST(desk, a_packer_instance_that_replies_is_not_pinged) {
    // GIVEN jobs at a packer instance that replies to each within 100 ms
    const auto view = make_view({make_member("a"), make_member("b")});
    desk requester = make_requester(view);
    for (std::uint64_t number = 1; number <= 20; ++number) {
        const instant now = start + milliseconds(number * 100);
        reduce(requester, make_job_request(requester, number), now);
        // WHEN time passes
        const auto sent = all_of<send_to_peer>(reduce(requester, desk_tick{}, now + 50ms));
        // THEN no ping is sent
        LONGS_EQUAL(0, sent.size());
        pieces_reply reply;
        reply.number = number;
        reduce(requester, peer_said{{"home"}, reply}, now + 100ms);
    }
}

TEST(desk, jobs_at_an_instance_without_upstream_list_are_reassigned_at_once) {
    // GIVEN a job at a packer instance that has restarted while the store is unreachable
    const auto view = make_view({make_member("a"), make_member("b")});
    desk agent_of_a = make_desk("a", view);
    const bool a_is_packer_instance = home_of(agent_of_a, pool, start) == "a:7";
    desk requester = make_desk(a_is_packer_instance ? "b" : "a", view);
    desk packer_instance;
    packer_instance.self = make_member(a_is_packer_instance ? "a" : "b");
    const auto sent =
        all_of<send_to_peer>(reduce(requester, make_job_request(requester, 1), start));
    // WHEN it receives the job
    const auto replies = all_of<send_to_peer>(
        reduce(packer_instance, peer_said{requester.self.id, sent.at(0).message}, start + 1ms));
    // THEN it replies that it isn't ready, and the requester's own packer makes the call at once
    const auto reassigned =
        reduce(requester, peer_said{packer_instance.self.id, replies.at(0).message}, start + 2ms);
    LONGS_EQUAL(0, all_of<pieces_ended>(reassigned).size());
    LONGS_EQUAL(1, all_of<call_stage>(reassigned).size());
    // AND the changed status is reported
    CHECK_TRUE(all_of<peer_judged>(reassigned).at(0).verdict == peer_verdict::not_ready);
}

TEST(desk, an_unresponsive_packer_instance_gets_no_jobs_until_it_replies_to_a_ping) {
    // GIVEN a packer instance that is cut off while jobs arrive steadily
    const auto view = make_view({make_member("a"), make_member("b")});
    desk requester = make_requester(view);
    const std::string assigned_address = home_of(requester, pool, start);
    reduce(requester, make_job_request(requester, 1), start);
    std::uint64_t last_ping = 0;
    std::uint64_t number = 1;
    int jobs_to_packer_instance = 0;
    // WHEN it is cut off for 12 s
    for (instant now = start + 50ms; now < start + 12s; now += 50ms) {
        auto effects = reduce(requester, make_job_request(requester, ++number), now);
        const auto ticked = reduce(requester, desk_tick{}, now);
        effects.insert(effects.end(), ticked.begin(), ticked.end());
        for (const send_to_peer& sent : all_of<send_to_peer>(effects)) {
            if (const auto* const request = std::get_if<ping>(&sent.message)) {
                last_ping = request->sequence;
            }
            const bool is_job = std::holds_alternative<pieces_request>(sent.message);
            jobs_to_packer_instance += is_job && now > start + 800ms ? 1 : 0;
        }
    }
    // THEN it gets no jobs once it counts as unresponsive
    LONGS_EQUAL(0, jobs_to_packer_instance);
    // AND a reply to a ping makes it the packer instance again
    pong answered;
    answered.sequence = last_ping;
    const auto after_reply = reduce(requester, peer_said{{"home"}, answered}, start + 12s);
    CHECK_TRUE(all_of<peer_judged>(after_reply).at(0).verdict == peer_verdict::heard);
    STRCMP_EQUAL(assigned_address.c_str(), home_of(requester, pool, start + 12s).c_str());
}

TEST(desk, an_unresponsive_instance_that_is_no_longer_a_member_is_not_pinged) {
    // GIVEN an unresponsive packer instance
    const auto view = make_view({make_member("a"), make_member("b")});
    desk requester = make_requester(view);
    reduce(requester, make_job_request(requester, 1), start);
    for (instant now = start; now < start + 2s; now += 50ms) {
        reduce(requester, desk_tick{}, now);
    }
    // WHEN this instance is the only member left
    reduce(requester, view_changed{make_view({requester.self})}, start + 2s);
    // THEN no more messages are sent
    for (instant now = start + 2s; now < start + 6s; now += 50ms) {
        LONGS_EQUAL(0, all_of<send_to_peer>(reduce(requester, desk_tick{}, now)).size());
    }
}
