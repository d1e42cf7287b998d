//! Packing agents of several instances and the messages between them, on a fake clock.
#include "packing/packing_agent.h"
#include "packing/tests/packing_fleet.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

TEST_GROUP(packing_agent){};

TEST(packing_agent, two_instances_submit_their_jobs_to_one_packer) {
    // GIVEN two instances that are members in each other's view
    const auto view = make_view({make_member("a"), make_member("b")});
    packing_agent a = make_packing_agent("a", view);
    packing_agent b = make_packing_agent("b", view);
    const std::string assigned_address = packer_address(a, pool, start);
    CHECK_TRUE(assigned_address == packer_address(b, pool, start));
    packing_agent& packer_instance = assigned_address == "a:7" ? a : b;
    packing_agent& requester = assigned_address == "a:7" ? b : a;
    // WHEN the instance that isn't the pool's packer instance submits a job
    const auto sent =
        all_of<send_to_peer>(reduce(requester, make_job_request(requester, 1), start));
    LONGS_EQUAL(1, sent.size());
    const auto calls = all_of<call_stage>(reduce(
        packer_instance, packing_message_received{requester.self.id, sent[0].message}, start));
    LONGS_EQUAL(1, calls.size());
    const auto replies = all_of<send_to_peer>(
        reduce(packer_instance, stage_call_answered{pool, make_answer(calls[0])}, start + 182ms));
    // THEN the packer instance calls the upstream, and its reply ends the job with the results
    const auto ended = all_of<job_ended>(
        reduce(requester, packing_message_received{packer_instance.self.id, replies.at(0).message},
               start + 183ms));
    LONGS_EQUAL(1, ended.size());
    CHECK_TRUE(ended[0].reply.verdict == pieces_verdict::made);
    LONGS_EQUAL(2, ended[0].reply.results.size());
}

TEST(packing_agent, an_instance_without_members_uses_its_own_packer) {
    // GIVEN an instance whose view has no members
    packing_agent alone = make_packing_agent("a", make_view({}));
    // WHEN it submits a job
    const auto calls = all_of<call_stage>(reduce(alone, make_job_request(alone, 1), start));
    // THEN its own packer makes the call
    LONGS_EQUAL(1, calls.size());
}

// Guards against pieces that are sent to upstreams which left after their pool was dropped.
TEST(packing_agent, a_pool_that_the_configuration_drops_is_packed_for_upstreams_that_stay) {
    // GIVEN packers whose pool the configuration then drops
    fleet_view dropped = *make_view({});
    dropped.config = std::make_shared<const serving_config>();
    packing_agent first = make_packing_agent("a", make_view({}));
    packing_agent second = make_packing_agent("b", make_view({}));
    for (packing_agent* agent : {&first, &second}) {
        reduce(*agent, view_changed{std::make_shared<const fleet_view>(dropped)}, start);
    }
    // WHEN a request that was admitted before submits a job, THEN it is sent to the upstream
    LONGS_EQUAL(1, all_of<call_stage>(reduce(first, make_job_request(first, 1), start)).size());
    // WHEN the upstream leaves, THEN no job is sent to it
    dropped.pools.clear();
    reduce(second, view_changed{std::make_shared<const fleet_view>(dropped)}, start);
    LONGS_EQUAL(0, all_of<call_stage>(reduce(second, make_job_request(second, 1), start)).size());
}

TEST(packing_agent, jobs_at_an_unresponsive_packer_instance_are_reassigned) {
    // GIVEN a job at a packer instance that has stopped responding
    const auto view = make_view({make_member("a"), make_member("b")});
    packing_agent requester = make_requester(view);
    reduce(requester, make_job_request(requester, 1), start);
    // WHEN it doesn't reply to pings
    std::vector<packing_agent_effect> effects;
    instant now = start;
    while (all_of<peer_status_changed>(effects).empty() && now < start + 2s) {
        now += 50ms;
        effects = reduce(requester, packing_agent_tick{}, now);
    }
    // THEN it counts as unresponsive within 0.8 s, and the next packer instance, here the
    // requester, makes the call
    CHECK_TRUE(now <= start + 800ms);
    CHECK_TRUE(all_of<peer_status_changed>(effects).at(0).status == peer_status::unresponsive);
    LONGS_EQUAL(1, all_of<call_stage>(effects).size());
}

TEST(packing_agent, a_reassigned_job_is_cancelled_at_its_previous_packer_instance) {
    // GIVEN a job at a packer instance that doesn't respond
    const auto view = make_view({make_member("a"), make_member("b")});
    packing_agent requester = make_requester(view);
    reduce(requester, make_job_request(requester, 1), start);
    // WHEN it counts as unresponsive
    std::vector<packing_agent_effect> effects;
    for (instant now = start; all_of<peer_status_changed>(effects).empty(); now += 50ms) {
        effects = reduce(requester, packing_agent_tick{}, now);
    }
    // THEN the job there is cancelled, in case the instance still receives it
    const auto sent = all_of<send_to_peer>(effects);
    CHECK_TRUE(std::ranges::any_of(sent, [](const send_to_peer& message) {
        return std::holds_alternative<pieces_cancel>(message.message);
    }));
}

TEST(packing_agent, a_packer_instance_that_replies_to_pings_keeps_its_jobs) {
    // GIVEN a slow job at a live packer instance
    const auto view = make_view({make_member("a"), make_member("b")});
    packing_agent requester = make_requester(view);
    const std::string assigned_address = packer_address(requester, pool, start);
    reduce(requester, make_job_request(requester, 1), start);
    // WHEN it replies to each ping
    for (instant now = start; now < start + 3s; now += 50ms) {
        const auto effects = reduce(requester, packing_agent_tick{}, now);
        // THEN it never counts as unresponsive
        LONGS_EQUAL(0, all_of<peer_status_changed>(effects).size());
        for (const send_to_peer& sent : all_of<send_to_peer>(effects)) {
            if (const auto* const request = std::get_if<ping>(&sent.message)) {
                pong answered;
                answered.sequence = request->sequence;
                reduce(requester, packing_message_received{{"home"}, answered}, now + 1ms);
            }
        }
    }
}

TEST(packing_agent, jobs_at_an_instance_that_is_no_longer_a_member_are_reassigned) {
    // GIVEN a job at the other instance
    const auto view = make_view({make_member("a"), make_member("b")});
    packing_agent requester = make_requester(view);
    reduce(requester, make_job_request(requester, 1), start);
    // WHEN this instance is the only member left
    const auto effects =
        reduce(requester, view_changed{make_view({requester.self})}, start + 100ms);
    // THEN its own packer makes the call
    LONGS_EQUAL(1, all_of<call_stage>(effects).size());
}

TEST(packing_agent, an_abandoned_job_is_cancelled_at_its_packer_instance) {
    // GIVEN a job at the other instance
    const auto view = make_view({make_member("a"), make_member("b")});
    packing_agent requester = make_requester(view);
    reduce(requester, make_job_request(requester, 1), start);
    // WHEN the job is abandoned
    const auto sent = all_of<send_to_peer>(reduce(requester, job_abandoned{1}, start + 10ms));
    // THEN it is cancelled at the packer instance
    CHECK_TRUE(std::holds_alternative<pieces_cancel>(sent.at(0).message));
}

TEST(packing_agent, a_restarted_packer_instance_gets_its_jobs_again) {
    // GIVEN a job at a packer instance that has replied to a ping
    const auto view = make_view({make_member("a"), make_member("b")});
    packing_agent requester = make_requester(view);
    reduce(requester, make_job_request(requester, 1), start);
    pong answered;
    answered.sequence = 1;
    reduce(requester, packing_agent_tick{}, start + 300ms);
    reduce(requester, packing_message_received{{"first"}, answered}, start + 301ms);
    // WHEN another process at its address replies to a ping
    reduce(requester, packing_agent_tick{}, start + 650ms);
    answered.sequence = 2;
    const auto sent = all_of<send_to_peer>(
        reduce(requester, packing_message_received{{"second"}, answered}, start + 651ms));
    // THEN the job is submitted to it again, without a change of the members
    LONGS_EQUAL(1, sent.size());
    CHECK_TRUE(std::holds_alternative<pieces_request>(sent[0].message));
}

TEST(packing_agent, members_with_little_processor_capacity_are_not_packer_instances) {
    // GIVEN one machine with much more processor capacity than the others
    std::vector<member> members;
    for (const char* id : {"a", "b", "c", "d", "e"}) {
        members.push_back(make_member(id));
        members.back().millicores = 120;
    }
    members[3].millicores = 500;
    const packing_agent state = make_packing_agent("a", make_view(members));
    // WHEN the packer instances of several pools are selected
    // THEN it is the packer instance of all these pools
    for (const char* name : {"p", "q", "r", "s"}) {
        STRCMP_EQUAL("d:7", packer_address(state, {name}, start).c_str());
    }
}

TEST(packing_agent, a_packer_instance_that_replies_is_not_pinged) {
    // GIVEN jobs at a packer instance that replies to each within 100 ms
    const auto view = make_view({make_member("a"), make_member("b")});
    packing_agent requester = make_requester(view);
    for (std::uint64_t number = 1; number <= 20; ++number) {
        const instant now = start + milliseconds(number * 100);
        reduce(requester, make_job_request(requester, number), now);
        // WHEN time passes
        const auto sent = all_of<send_to_peer>(reduce(requester, packing_agent_tick{}, now + 50ms));
        // THEN no ping is sent
        LONGS_EQUAL(0, sent.size());
        pieces_reply reply;
        reply.number = number;
        reduce(requester, packing_message_received{{"home"}, reply}, now + 100ms);
    }
}

TEST(packing_agent, jobs_at_an_instance_without_upstream_list_are_reassigned_at_once) {
    // GIVEN a job at a packer instance that has restarted while the store is unreachable
    const auto view = make_view({make_member("a"), make_member("b")});
    packing_agent agent_of_a = make_packing_agent("a", view);
    const bool a_is_packer_instance = packer_address(agent_of_a, pool, start) == "a:7";
    packing_agent requester = make_packing_agent(a_is_packer_instance ? "b" : "a", view);
    packing_agent packer_instance;
    packer_instance.self = make_member(a_is_packer_instance ? "a" : "b");
    const auto sent =
        all_of<send_to_peer>(reduce(requester, make_job_request(requester, 1), start));
    // WHEN it receives the job
    const auto replies = all_of<send_to_peer>(
        reduce(packer_instance, packing_message_received{requester.self.id, sent.at(0).message},
               start + 1ms));
    // THEN it replies that it isn't ready, and the requester's own packer makes the call at once
    const auto reassigned =
        reduce(requester, packing_message_received{packer_instance.self.id, replies.at(0).message},
               start + 2ms);
    LONGS_EQUAL(0, all_of<job_ended>(reassigned).size());
    LONGS_EQUAL(1, all_of<call_stage>(reassigned).size());
    // AND the changed status is reported
    CHECK_TRUE(all_of<peer_status_changed>(reassigned).at(0).status == peer_status::not_ready);
}

// Guards against jobs that stay away for seconds from a packer instance that started a moment later
// than the others, as after a loss of power of all instances.
TEST(packing_agent, a_packer_instance_that_was_not_ready_soon_gets_jobs_again) {
    // GIVEN a packer instance that had no list of upstreams when two jobs reached it
    const auto view = make_view({make_member("a"), make_member("b")});
    packing_agent requester = make_requester(view);
    const std::string assigned_address = packer_address(requester, pool, start);
    pieces_reply not_ready;
    not_ready.verdict = pieces_verdict::not_ready;
    for (const std::uint64_t number : {1, 2}) {
        reduce(requester, make_job_request(requester, number), start);
    }
    for (const std::uint64_t number : {1, 2}) {
        not_ready.number = number;
        reduce(requester, packing_message_received{{"p"}, not_ready}, start + 2ms);
    }
    CHECK_FALSE(packer_address(requester, pool, start + 100ms) == assigned_address);
    // WHEN a quarter of a second has passed
    const instant later = start + 250ms;
    // THEN it gets jobs again
    CHECK_TRUE(packer_address(requester, pool, later) == assigned_address);
    // AND the pause grows while it stays as it is
    reduce(requester, make_job_request(requester, 3), later);
    not_ready.number = 3;
    reduce(requester, packing_message_received{{"p"}, not_ready}, later + 2ms);
    CHECK_FALSE(packer_address(requester, pool, later + 350ms) == assigned_address);
    CHECK_TRUE(packer_address(requester, pool, later + 450ms) == assigned_address);
}

// Guards against ready instances that get no jobs since another one replied to several jobs that it
// isn't ready: the first reply has moved all of them to the next instance.
TEST(packing_agent, only_the_instance_that_replied_counts_as_not_ready) {
    // GIVEN two jobs at a packer instance that isn't ready, one of three instances
    const auto view = make_view({make_member("a"), make_member("b"), make_member("c")});
    packing_agent requester = make_packing_agent("a", view);
    if (packer_address(requester, pool, start) == requester.self.address) {
        requester = make_packing_agent("b", view);
    }
    const std::string assigned_address = packer_address(requester, pool, start);
    const auto packer_instance =
        std::ranges::find(view->members, assigned_address, &member::address);
    for (const std::uint64_t number : {1, 2}) {
        reduce(requester, make_job_request(requester, number), start);
    }
    // WHEN it replies so to both
    pieces_reply not_ready;
    not_ready.verdict = pieces_verdict::not_ready;
    not_ready.number = 1;
    reduce(requester, packing_message_received{packer_instance->id, not_ready}, start + 2ms);
    const std::string next_address = packer_address(requester, pool, start + 2ms);
    not_ready.number = 2;
    reduce(requester, packing_message_received{packer_instance->id, not_ready}, start + 2ms);
    // THEN the next instance still gets jobs
    CHECK_FALSE(next_address == assigned_address);
    CHECK_TRUE(packer_address(requester, pool, start + 3ms) == next_address);
}

TEST(packing_agent, an_unresponsive_packer_instance_gets_no_jobs_until_it_replies_to_a_ping) {
    // GIVEN a packer instance that is cut off while jobs arrive steadily
    const auto view = make_view({make_member("a"), make_member("b")});
    packing_agent requester = make_requester(view);
    const std::string assigned_address = packer_address(requester, pool, start);
    reduce(requester, make_job_request(requester, 1), start);
    std::uint64_t last_ping = 0;
    std::uint64_t number = 1;
    int jobs_to_packer_instance = 0;
    // WHEN it is cut off for 12 s
    for (instant now = start + 50ms; now < start + 12s; now += 50ms) {
        auto effects = reduce(requester, make_job_request(requester, ++number), now);
        const auto ticked = reduce(requester, packing_agent_tick{}, now);
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
    const auto after_reply =
        reduce(requester, packing_message_received{{"home"}, answered}, start + 12s);
    CHECK_TRUE(all_of<peer_status_changed>(after_reply).at(0).status == peer_status::responsive);
    STRCMP_EQUAL(assigned_address.c_str(), packer_address(requester, pool, start + 12s).c_str());
}

TEST(packing_agent, an_unresponsive_instance_that_is_no_longer_a_member_is_not_pinged) {
    // GIVEN an unresponsive packer instance
    const auto view = make_view({make_member("a"), make_member("b")});
    packing_agent requester = make_requester(view);
    reduce(requester, make_job_request(requester, 1), start);
    for (instant now = start; now < start + 2s; now += 50ms) {
        reduce(requester, packing_agent_tick{}, now);
    }
    // WHEN this instance is the only member left
    reduce(requester, view_changed{make_view({requester.self})}, start + 2s);
    // THEN no more messages are sent
    for (instant now = start + 2s; now < start + 6s; now += 50ms) {
        LONGS_EQUAL(0, all_of<send_to_peer>(reduce(requester, packing_agent_tick{}, now)).size());
    }
}

TEST(packing_agent, reported_queueing_times_depend_on_priority_and_result_size) {
    // GIVEN the report of a pool whose memory is full: 900 ms for large results of low priority
    packing_agent state = make_packing_agent("a", make_view({make_member("a"), make_member("b")}));
    reduce(state, make_job_request(state, 1), start);
    state.outstanding[1].assigned_address = "b:7";
    pieces_reply reply;
    reply.number = 1;
    reply.call_waits = {0ms, 40ms};
    reply.memory_waits = {100ms, 900ms};
    reply.drained_in = 1200ms;
    reduce(state, packing_message_received{{"b"}, reply}, start);
    // WHEN requests of other priorities and result sizes ask for their queueing time
    // THEN the last entry stands for all lower priorities, and small results don't wait for memory
    LONGS_EQUAL(100, reported_wait(state, pool, {}, 0, 3'000'000, start).count());
    LONGS_EQUAL(900, reported_wait(state, pool, {}, 2, 3'000'000, start).count());
    LONGS_EQUAL(40, reported_wait(state, pool, {}, 2, 8'000, start).count());
    LONGS_EQUAL(1200, reported_drain_time(state, pool, {}, start).count());
    // AND an old report isn't used
    LONGS_EQUAL(0, reported_wait(state, pool, {}, 2, 3'000'000, start + 700ms).count());
}

// Guards against jobs that lose their workspace on the way to the packer.
TEST(packing_agent, the_packer_instance_accounts_the_work_of_a_workspace) {
    // GIVEN two instances
    const auto view = make_view({make_member("a"), make_member("b")});
    packing_agent requester = make_requester(view);
    packing_agent packer_instance =
        make_packing_agent(requester.self.id.value == "a" ? "b" : "a", view);
    // WHEN one submits a job of a workspace, and one without, as an earlier version does
    for (const char* workspace : {"w", ""}) {
        job_requested request = make_job_request(requester, *workspace == 0 ? 2 : 1);
        request.job.workspace = {workspace};
        const auto sent = all_of<send_to_peer>(reduce(requester, request, start));
        reduce(packer_instance, packing_message_received{requester.self.id, sent.at(0).message},
               start);
    }
    // THEN the packer accounts the first one alone, and serves the second one too
    const packer& pool_packer = packer_instance.packers.at(pool);
    LONGS_EQUAL(1, pool_packer.shares.accounts.size());
    CHECK_TRUE(pool_packer.shares.accounts.contains({"w"}));
    LONGS_EQUAL(2, pool_packer.jobs.size());
}

// Guards against requests of a flood that are admitted on the short wait of others, and against
// others that are refused for the long wait of a flood.
TEST(packing_agent, reported_waits_depend_on_the_share_of_the_workspace) {
    // GIVEN the report of a pool in which one workspace is beyond its share
    packing_agent state = make_packing_agent("a", make_view({make_member("a"), make_member("b")}));
    reduce(state, make_job_request(state, 1), start);
    state.outstanding[1].assigned_address = "b:7";
    pieces_reply reply;
    reply.number = 1;
    reply.call_waits = {10ms};
    reply.memory_waits = {50ms};
    reply.drained_in = 60ms;
    reply.beyond_share = {{{"flood"}}, {700ms}, {900ms}, 1500ms};
    reduce(state, packing_message_received{{"b"}, reply}, start);
    // WHEN the wait of a job is asked for, THEN it is the one that applies to its workspace
    LONGS_EQUAL(700, reported_wait(state, pool, {"flood"}, 0, 8'000, start).count());
    LONGS_EQUAL(900, reported_wait(state, pool, {"flood"}, 0, 3'000'000, start).count());
    LONGS_EQUAL(1500, reported_drain_time(state, pool, {"flood"}, start).count());
    LONGS_EQUAL(10, reported_wait(state, pool, {"light"}, 0, 8'000, start).count());
    LONGS_EQUAL(50, reported_wait(state, pool, {}, 0, 3'000'000, start).count());
    LONGS_EQUAL(60, reported_drain_time(state, pool, {"light"}, start).count());
    // AND an earlier version's report without the waits beyond a share applies to all
    reduce(state, make_job_request(state, 2), start);
    state.outstanding[2].assigned_address = "b:7";
    reply.number = 2;
    reply.beyond_share = {};
    reduce(state, packing_message_received{{"b"}, reply}, start);
    LONGS_EQUAL(50, reported_wait(state, pool, {"flood"}, 0, 3'000'000, start).count());
}
