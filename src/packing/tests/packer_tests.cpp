//! Behaviour of a pool's packer, with replayed load patterns, on a fake clock.
#include "packing/packer.h"

#include <algorithm>
#include <ctime>
#include <deque>
#include <limits>

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

stage_job make_job(std::uint64_t number, int pieces, instant now = start) {
    stage_job job;
    job.id = {{"i"}, number};
    job.request = "r" + std::to_string(number);
    job.pieces = pieces;
    job.key = "k";
    job.soft_deadline = now + 1000ms;
    job.hard_deadline = now + 5000ms;
    return job;
}

template <typename Effect>
std::vector<Effect> all_of(const std::vector<packer_effect>& effects) {
    std::vector<Effect> found;
    for (const packer_effect& emitted : effects) {
        if (const auto* const effect = std::get_if<Effect>(&emitted)) {
            found.push_back(*effect);
        }
    }
    return found;
}

std::vector<packer_effect> complete_call(packer& state, const make_call& call, instant now) {
    call_answered answered{call.number, {}};
    for (std::size_t i = 0; i < call.items.size(); ++i) {
        answered.outcomes.push_back(
            {piece_status::made, call.address + "/" + std::to_string(call.number * 100 + i)});
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

//! Replays job arrivals at a packer whose upstreams respond after the nominal call duration;
//! includes the periodic ticks.
struct replay {
    static constexpr milliseconds tick_period{50};

    instant next_tick{start};
    packer state;
    std::deque<std::pair<instant, make_call>> calls_in_progress;
    int completed{0};
    int on_time{0};
    int rejected{0};
    int calls{0};
    std::map<job_id, instant> soft_deadlines;

    void apply(const std::vector<packer_effect>& effects, instant now) {
        for (const make_call& call : all_of<make_call>(effects)) {
            const auto duration = milliseconds(150 + 16 * static_cast<int>(call.items.size()));
            calls_in_progress.emplace_back(now + duration, call);
            ++calls;
        }
        for (const job_completed& job : all_of<job_completed>(effects)) {
            ++completed;
            on_time += now <= soft_deadlines.at(job.id) ? 1 : 0;
        }
        rejected += static_cast<int>(all_of<job_rejected>(effects).size());
    }

    void run_until(instant until) {
        while (!calls_in_progress.empty()) {
            const auto next =
                std::min_element(calls_in_progress.begin(), calls_in_progress.end(),
                                 [](const auto& a, const auto& b) { return a.first < b.first; });
            if (std::min(next->first, next_tick) > until) {
                return;
            }
            if (next_tick < next->first) {
                apply(reduce(state, packer_tick{}, next_tick), next_tick);
                next_tick += tick_period;
                continue;
            }
            const auto [at, call] = *next;
            calls_in_progress.erase(next);
            apply(complete_call(state, call, at), at);
        }
    }

    void submit(const stage_job& job, instant now) {
        run_until(now);
        soft_deadlines[job.id] = job.soft_deadline;
        apply(reduce(state, job_submitted{job}, now), now);
    }
};

}  // namespace

TEST_GROUP(packer){};

TEST(packer, an_idle_upstream_starts_at_once) {
    // GIVEN an idle pool
    packer state = make_packer({make_upstream("u1")});
    // WHEN a job is submitted
    const auto calls = all_of<make_call>(reduce(state, job_submitted{make_job(1, 3)}, start));
    // THEN one call with all its pieces starts at once
    LONGS_EQUAL(1, calls.size());
    LONGS_EQUAL(3, calls[0].items.size());
    STRCMP_EQUAL("k", calls[0].items[0].key.c_str());
}

TEST(packer, waiting_jobs_share_the_next_call) {
    // GIVEN a busy upstream and two waiting jobs
    packer state = make_packer({make_upstream("u1")});
    const auto first = all_of<make_call>(reduce(state, job_submitted{make_job(1, 1)}, start));
    reduce(state, job_submitted{make_job(2, 2)}, start + 10ms);
    reduce(state, job_submitted{make_job(3, 2)}, start + 20ms);
    // WHEN the call ends
    const auto effects = complete_call(state, first[0], start + 166ms);
    // THEN the first job is completed, and one call contains the pieces of both others
    LONGS_EQUAL(1, all_of<job_completed>(effects).size());
    LONGS_EQUAL(4, all_of<make_call>(effects).at(0).items.size());
}

TEST(packer, jobs_of_requests_with_more_completed_stages_go_first) {
    // GIVEN a busy upstream, an urgent job of a first stage and a less urgent job of a third stage
    packer state = make_packer({make_upstream("u1")});
    const auto first = all_of<make_call>(reduce(state, job_submitted{make_job(1, 1)}, start));
    stage_job urgent = make_job(2, 8);
    urgent.priority = 0;
    stage_job third_stage_job = make_job(3, 8);
    third_stage_job.priority = 2;
    third_stage_job.depth = 2;
    reduce(state, job_submitted{urgent}, start);
    reduce(state, job_submitted{third_stage_job}, start);
    // WHEN the upstream is free
    const auto calls = all_of<make_call>(complete_call(state, first[0], start + 166ms));
    // THEN the job whose request has completed two stages goes first
    STRCMP_EQUAL("r3", calls.at(0).items[0].request.c_str());
}

TEST(packer, a_job_that_can_meet_its_soft_deadline_goes_before_one_that_cannot) {
    // GIVEN a busy upstream, an urgent job that will miss its soft deadline and a less urgent one
    // that can meet it
    packer state = make_packer({make_upstream("u1")});
    const auto first = all_of<make_call>(reduce(state, job_submitted{make_job(1, 1)}, start));
    stage_job late_job = make_job(2, 8);
    late_job.soft_deadline = start + 200ms;
    late_job.priority = 0;
    stage_job in_time = make_job(3, 8);
    in_time.priority = 2;
    reduce(state, job_submitted{late_job}, start);
    reduce(state, job_submitted{in_time}, start);
    // WHEN the upstream is free
    const auto calls = all_of<make_call>(complete_call(state, first[0], start + 166ms));
    // THEN the one that can meet its soft deadline goes first
    STRCMP_EQUAL("r3", calls.at(0).items[0].request.c_str());
}

TEST(packer, a_job_that_cannot_meet_its_hard_deadline_is_rejected_at_once_with_a_retry_delay) {
    // GIVEN one upstream with two seconds of queued work
    packer state = make_packer({make_upstream("u1")});
    for (std::uint64_t i = 1; i <= 8; ++i) {
        reduce(state, job_submitted{make_job(i, 8)}, start);
    }
    // WHEN a job with a hard deadline in one second is submitted
    stage_job infeasible = make_job(99, 8);
    infeasible.hard_deadline = start + 1000ms;
    const auto rejected = all_of<job_rejected>(reduce(state, job_submitted{infeasible}, start));
    // THEN it is rejected at once, with a retry delay of the time that the queue needs to drain
    LONGS_EQUAL(1, rejected.size());
    CHECK_TRUE(rejected[0].why == pieces_verdict::overloaded);
    CHECK_TRUE(rejected[0].retry_after >= 1000ms);
}

// Guards against a call time that overflows to a negative one.
TEST(packer, a_job_whose_calls_take_longer_than_any_deadline_is_rejected_at_once) {
    // GIVEN a pool whose configured time of a call is beyond all bounds
    stage_limits limits = make_limits();
    limits.call_ms = 1e300;
    packer state;
    reduce(state, pool_changed{limits, {make_upstream("a"), make_upstream("b")}}, start);
    // WHEN a job comes
    const auto effects = reduce(state, job_submitted{make_job(1, 4)}, start);
    // THEN it isn't called but rejected
    LONGS_EQUAL(0, all_of<make_call>(effects).size());
    LONGS_EQUAL(1, all_of<job_rejected>(effects).size());
}

TEST(packer, results_use_memory_of_their_upstream_until_they_are_released) {
    // GIVEN an upstream with memory for 11 results of 3 MB that holds 8 of them
    packer state = make_packer({make_upstream("u1")});
    stage_job large = make_job(1, 8);
    large.result_bytes = 3'000'000;
    stage_job second = make_job(2, 8);
    second.result_bytes = 3'000'000;
    auto calls = all_of<make_call>(reduce(state, job_submitted{large}, start));
    const auto completed = all_of<job_completed>(complete_call(state, calls[0], start + 278ms));
    calls = all_of<make_call>(reduce(state, job_submitted{second}, start + 300ms));
    // THEN only three pieces of the second job fit
    LONGS_EQUAL(3, calls.at(0).items.size());
    LONGS_EQUAL(0, all_of<make_call>(complete_call(state, calls[0], start + 600ms)).size());
    // WHEN the first results are released
    const auto after = reduce(state, results_released{completed.at(0).results}, start + 700ms);
    // THEN the upstream gets a request to free them, and a call with the remaining pieces
    LONGS_EQUAL(1, all_of<release_results>(after).size());
    LONGS_EQUAL(5, all_of<make_call>(after).at(0).items.size());
}

TEST(packer, results_of_an_earlier_packer_are_released_at_their_upstream) {
    // GIVEN a packer that has just replaced another one
    packer state = make_packer({make_upstream("u1")});
    // WHEN a result that it has no record of is released
    const auto released =
        all_of<release_results>(reduce(state, results_released{{"u1:80/7"}}, start));
    // THEN the upstream that holds it gets a request to free it
    LONGS_EQUAL(1, released.size());
    STRCMP_EQUAL("u1:80/7", released[0].results.at(0).c_str());
}

TEST(packer, memory_held_by_other_packers_results_is_used_again_when_they_expire) {
    // GIVEN an upstream whose memory is full of other packers' results
    packer state = make_packer({make_upstream("u1")});
    stage_job large = make_job(1, 2);
    large.result_bytes = 3'000'000;
    const auto calls = all_of<make_call>(reduce(state, job_submitted{large}, start));
    const call_answered no_memory_response{
        calls[0].number, {{piece_status::no_memory, ""}, {piece_status::no_memory, ""}}};
    // WHEN it responds that it has no memory
    const auto after = all_of<make_call>(reduce(state, no_memory_response, start + 160ms));
    // THEN it isn't called again at once, since each call has a fixed cost
    LONGS_EQUAL(0, after.size());
    // AND it is called again when those results are assumed to have expired
    LONGS_EQUAL(1, all_of<make_call>(reduce(state, packer_tick{}, start + 1700ms)).size());
}

TEST(packer, pieces_of_a_job_stay_in_one_call_unless_many_pieces_wait) {
    // GIVEN two jobs of five pieces and a batch limit of eight
    packer state = make_packer({make_upstream("u1")});
    const auto first = all_of<make_call>(reduce(state, job_submitted{make_job(1, 1)}, start));
    reduce(state, job_submitted{make_job(2, 5)}, start);
    reduce(state, job_submitted{make_job(3, 5)}, start);
    // WHEN the upstream is free
    // THEN the call contains only the first job
    const auto calls = all_of<make_call>(complete_call(state, first[0], start + 166ms));
    LONGS_EQUAL(5, calls.at(0).items.size());
    // WHEN many more jobs wait
    for (std::uint64_t i = 4; i < 8; ++i) {
        reduce(state, job_submitted{make_job(i, 5)}, start + 200ms);
    }
    // THEN calls are filled
    LONGS_EQUAL(
        8, all_of<make_call>(complete_call(state, calls[0], start + 400ms)).at(0).items.size());
}

TEST(packer, pieces_of_a_failed_call_are_sent_to_another_upstream) {
    // GIVEN two upstreams, one of them processing a job
    packer state = make_packer({make_upstream("u1"), make_upstream("u2")});
    const auto calls = all_of<make_call>(reduce(state, job_submitted{make_job(1, 2)}, start));
    // WHEN its call fails without a valid response
    const auto again = all_of<make_call>(
        reduce(state, call_failed{calls[0].number, call_failure::broken}, start + 50ms));
    // THEN the other upstream is called
    LONGS_EQUAL(1, again.size());
    CHECK_TRUE(again[0].upstream != calls[0].upstream);
}

// Guards against a job that ends upstream after upstream, and takes its neighbours along.
TEST(packer, a_job_under_which_upstreams_crash_is_called_alone_and_fails_at_the_third_crash) {
    // GIVEN three jobs, and an upstream that crashed during a call for the first one
    packer state = make_packer(
        {make_upstream("u1"), make_upstream("u2"), make_upstream("u3"), make_upstream("u4")});
    const auto calls = all_of<make_call>(reduce(state, job_submitted{make_job(1, 1)}, start));
    (void)reduce(state, call_failed{calls[0].number, call_failure::crashed}, start);
    (void)reduce(state, job_submitted{make_job(2, 1)}, start);
    (void)reduce(state, job_submitted{make_job(3, 1)}, start);
    // WHEN each call for the first job ends in a crash, and all others are answered
    std::vector<job_rejected> failed;
    std::size_t completed = 0;
    for (instant now = start; now < start + 4s; now += 50ms) {
        (void)reduce(state, packer_tick{}, now);
        if (state.calls.empty()) {
            continue;
        }
        const auto [number, call] = *state.calls.begin();  // a copy; the call ends below
        // THEN the first job is in no call with others
        const bool has_first = std::ranges::any_of(
            call.pieces, [](const called_piece& piece) { return piece.job.number == 1; });
        CHECK_TRUE(!has_first || call.pieces.size() == 1);
        if (has_first) {
            failed = all_of<job_rejected>(
                reduce(state, call_failed{number, call_failure::crashed}, now));
        } else {
            const make_call answered{number, call.upstream, call.upstream.value + ":80", 0,
                                     std::vector<call_item>(call.pieces.size())};
            completed += all_of<job_completed>(complete_call(state, answered, now)).size();
        }
    }
    // AND it fails at the third crash, while the others are completed
    LONGS_EQUAL(1, failed.size());
    CHECK_TRUE(failed[0].id.number == 1 && failed[0].why == pieces_verdict::failed);
    LONGS_EQUAL(2, completed);
}

TEST(packer, a_timed_out_call_is_repeated_and_its_late_results_are_released) {
    // GIVEN two upstreams, one of them unresponsive during a call
    packer state = make_packer({make_upstream("u1"), make_upstream("u2")});
    const auto calls = all_of<make_call>(reduce(state, job_submitted{make_job(1, 1)}, start));
    // WHEN the call has timed out
    const auto again = all_of<make_call>(reduce(state, packer_tick{}, start + 600ms));
    LONGS_EQUAL(1, again.size());
    LONGS_EQUAL(1, all_of<job_completed>(complete_call(state, again[0], start + 800ms)).size());
    // THEN the result in the late response of the first upstream is released
    LONGS_EQUAL(1, all_of<release_results>(complete_call(state, calls[0], start + 900ms)).size());
}

// Guards against a piece in two calls at once, which a late failure of a third one would bring
// about.
TEST(packer, a_late_failure_of_a_timed_out_call_leaves_its_repetition_alone) {
    // GIVEN a call that has timed out, and whose piece is in a call to another upstream
    packer state = make_packer({make_upstream("u1"), make_upstream("u2"), make_upstream("u3")});
    const auto calls = all_of<make_call>(reduce(state, job_submitted{make_job(1, 1)}, start));
    const auto again = all_of<make_call>(reduce(state, packer_tick{}, start + 600ms));
    LONGS_EQUAL(1, again.size());
    // WHEN the first call fails after all
    const auto effects =
        reduce(state, call_failed{calls[0].number, call_failure::crashed}, start + 610ms);
    // THEN no third upstream is called while the second one still works on the piece
    LONGS_EQUAL(0, all_of<make_call>(effects).size());
    // AND the second one's response completes the job
    LONGS_EQUAL(1, all_of<job_completed>(complete_call(state, again[0], start + 700ms)).size());
}

TEST(packer, a_job_with_a_lost_input_is_rejected) {
    // GIVEN a job with inputs in a call
    packer state = make_packer({make_upstream("u1")});
    stage_job job = make_job(1, 1);
    job.inputs = std::make_shared<const std::vector<std::string>>(1, "x/1");
    const auto calls = all_of<make_call>(reduce(state, job_submitted{job}, start));
    // WHEN the upstream responds that an input is lost
    const auto rejected = all_of<job_rejected>(reduce(
        state, call_answered{calls[0].number, {{piece_status::input_lost, ""}}}, start + 160ms));
    // THEN the job is rejected with that reason
    CHECK_TRUE(rejected.at(0).why == pieces_verdict::input_lost);
}

TEST(packer, a_cancelled_job_is_not_called) {
    // GIVEN a busy upstream and a waiting job
    packer state = make_packer({make_upstream("u1")});
    const auto first = all_of<make_call>(reduce(state, job_submitted{make_job(1, 1)}, start));
    reduce(state, job_submitted{make_job(2, 4)}, start);
    // WHEN the job is cancelled
    reduce(state, job_cancelled{{{"i"}, 2}}, start + 50ms);
    // THEN the upstream stays idle afterwards
    LONGS_EQUAL(0, all_of<make_call>(complete_call(state, first[0], start + 166ms)).size());
}

TEST(packer, jobs_with_large_transfers_wait_for_an_upstream_in_their_preferred_zone) {
    // GIVEN an idle upstream in another zone, and a busy one in the preferred zone that is free
    // soon
    packer state = make_packer({make_upstream("far", "z2"), make_upstream("near", "z1")});
    stage_job first = make_job(1, 1);
    first.zone = {"z1"};
    first.bytes_to_zone = 3'000'000;
    const auto calls = all_of<make_call>(reduce(state, job_submitted{first}, start));
    STRCMP_EQUAL("near", calls.at(0).upstream.value.c_str());
    stage_job second = make_job(2, 1);
    second.zone = {"z1"};
    second.bytes_to_zone = 3'000'000;
    // WHEN the second job is submitted shortly before the upstream in its zone is free
    const auto waits = all_of<make_call>(reduce(state, job_submitted{second}, start + 100ms));
    // THEN the job waits for that upstream
    LONGS_EQUAL(0, waits.size());
    LONGS_EQUAL(1, all_of<make_call>(complete_call(state, calls[0], start + 166ms)).size());
}

TEST(packer, a_burst_of_twice_the_mean_load_meets_soft_deadlines_with_batched_calls) {
    // GIVEN three upstreams and a burst of 66 pieces per second in jobs of one to four pieces,
    // three jobs at a time; single-piece calls would complete 18 pieces per second
    replay load;
    load.state = make_packer({make_upstream("u1"), make_upstream("u2"), make_upstream("u3")});
    std::uint64_t number = 0;
    int pieces = 0;
    for (int group = 0; group < 50; ++group) {
        const instant at = start + milliseconds(group * 110);
        for (int i = 0; i < 3; ++i) {
            const int count = 1 + static_cast<int>((number * 7) % 4);
            pieces += count;
            load.submit(make_job(++number, count, at), at);
        }
    }
    // WHEN all calls have ended
    load.run_until(start + 60s);
    // THEN no job was rejected, at least 95% met their soft deadline of one second, and calls had
    // at least four pieces on average
    LONGS_EQUAL(0, load.rejected);
    CHECK_TRUE(load.on_time >= 95 * static_cast<int>(number) / 100);
    CHECK_TRUE(load.calls * 4 <= pieces);
}

TEST(packer, excess_jobs_are_rejected_at_three_times_the_capacity) {
    // GIVEN one upstream that completes 28 pieces per second, and 84 per second submitted for four
    // seconds
    replay load;
    load.state = make_packer({make_upstream("u1")});
    std::uint64_t number = 0;
    for (int i = 0; i < 168; ++i) {
        const instant at = start + milliseconds(i * 24);
        stage_job job = make_job(++number, 2, at);
        job.soft_deadline = at + 800ms;
        job.hard_deadline = at + 1600ms;
        load.submit(job, at);
    }
    // WHEN all calls have ended
    load.run_until(start + 60s);
    // THEN the jobs that fit are completed, and most of the others are rejected
    CHECK_TRUE(load.completed >= 40);
    CHECK_TRUE(load.rejected >= 80);
}

TEST(packer, a_burst_of_jobs_of_the_whole_fleet_leaves_time_to_reply_to_pings) {
    // GIVEN a pool of 17 upstreams whose packer has just started: 64 instances submit ten jobs each
    // at once, a quarter of them past their soft deadline
    std::vector<pool_upstream> upstreams;
    for (int i = 0; i < 17; ++i) {
        upstreams.push_back(make_upstream("u" + std::to_string(i)));
    }
    packer state = make_packer(upstreams);
    const milliseconds before = processor_time();
    for (std::uint64_t number = 0; number < 640; ++number) {
        stage_job job = make_job(number, 4);
        job.depth = static_cast<int>(number % 2);
        job.soft_deadline = start + (number % 4 == 0 ? -10ms : 600ms);
        job.hard_deadline = start + 7s;
        reduce(state, job_submitted{job}, start);
    }
    // WHEN half a second passes
    for (instant now = start; now < start + 500ms; now += 50ms) {
        reduce(state, packer_tick{}, now);
    }
    // THEN the packer used less processor time than a quarter of a core provides until a packer
    // instance counts as unresponsive
    CHECK_TRUE(processor_time() - before < 110ms);
}

TEST(packer, a_limited_upstream_gets_no_more_calls_and_releases_than_its_limit_allows) {
    // GIVEN an upstream that takes one request a second, and more work than that
    packer state = make_packer({make_upstream("u")});
    reduce(state, directives_received{{"u"}, {1.0, {}, false}, start}, start);
    std::vector<instant> requests;
    std::uint64_t number = 0;
    const auto carry_out = [&](const std::vector<packer_effect>& effects, instant now) {
        std::vector<make_call> calls = all_of<make_call>(effects);
        requests.insert(requests.end(), calls.size() + all_of<release_results>(effects).size(),
                        now);
        return calls;
    };
    // WHEN jobs come every 100 ms for 20 s, and their results are released at once
    std::deque<std::pair<instant, make_call>> open;
    for (instant now = start; now < start + 20s; now += 100ms) {
        while (!open.empty() && open.front().first <= now) {
            const auto effects = complete_call(state, open.front().second, now);
            open.pop_front();
            for (const make_call& call : carry_out(effects, now)) {
                open.emplace_back(now + 200ms, call);
            }
            for (const job_completed& done : all_of<job_completed>(effects)) {
                carry_out(reduce(state, results_released{done.results}, now), now);
            }
        }
        stage_job job = make_job(++number, 1, now);
        job.result_bytes = 1000;
        for (const make_call& call : carry_out(reduce(state, job_submitted{job}, now), now)) {
            open.emplace_back(now + 200ms, call);
        }
        for (const make_call& call : carry_out(reduce(state, packer_tick{}, now), now)) {
            open.emplace_back(now + 200ms, call);
        }
    }
    // THEN no 4 s hold more than one and a half times the limit, and 5 more
    CHECK_TRUE(requests.size() >= 16);
    for (auto first = requests.begin(); first != requests.end(); ++first) {
        const auto last = std::upper_bound(first, requests.end(), *first + 4s);
        CHECK_TRUE(last - first <= 11);
    }
}

TEST(packer, a_leaving_upstream_gets_no_calls_until_it_starts_again) {
    // GIVEN an upstream that said that it leaves, before the store did
    packer state = make_packer({make_upstream("u"), make_upstream("v")});
    reduce(state, directives_received{{"u"}, {{}, {}, true}, start}, start);
    // WHEN jobs come
    for (std::uint64_t number = 1; number <= 6; ++number) {
        const auto effects = reduce(state, job_submitted{make_job(number, 8)}, start);
        // THEN only the other upstream is called
        for (const make_call& call : all_of<make_call>(effects)) {
            CHECK_TRUE(call.upstream.value == "v");
        }
    }
    // WHEN it has started again under its id
    pool_upstream again = make_upstream("u");
    again.started_at_ms = 7;
    const auto effects =
        reduce(state, pool_changed{make_limits(), {again, make_upstream("v")}}, start + 1s);
    // THEN it is called
    LONGS_EQUAL(1, all_of<make_call>(effects).size());
    CHECK_TRUE(all_of<make_call>(effects)[0].upstream.value == "u");
}

TEST(packer, an_upstream_that_wants_no_requests_gets_neither_calls_nor_releases_meanwhile) {
    // GIVEN an upstream that holds a result and then asked for no requests for two seconds
    packer state = make_packer({make_upstream("u")});
    const auto called = reduce(state, job_submitted{make_job(1, 1)}, start);
    const auto done =
        all_of<job_completed>(complete_call(state, all_of<make_call>(called)[0], start + 200ms));
    reduce(state, directives_received{{"u"}, {{}, 2000ms, false}, start}, start + 200ms);
    // WHEN the result is no longer needed and another job comes
    const auto released = reduce(state, results_released{done[0].results}, start + 300ms);
    stage_job next = make_job(2, 1, start + 300ms);
    next.soft_deadline = start + 4s;  // still met after the time
    const auto waiting = reduce(state, job_submitted{next}, start + 300ms);
    const auto before = reduce(state, packer_tick{}, start + 2100ms);
    // THEN neither is sent
    CHECK_TRUE(all_of<release_results>(released).empty());
    CHECK_TRUE(all_of<make_call>(waiting).empty() && all_of<make_call>(before).empty());
    CHECK_TRUE(all_of<release_results>(before).empty());
    CHECK_TRUE(has_open_work(state));
    // AND both are sent once the time has passed
    const auto after = reduce(state, packer_tick{}, start + 2300ms);
    LONGS_EQUAL(1, all_of<release_results>(after).size());
    LONGS_EQUAL(1, all_of<make_call>(after).size());
}

// Guards against memory that one job takes in proportion to a number that a peer sent.
TEST(packer, a_job_with_more_pieces_than_the_pool_can_make_is_rejected_before_it_takes_memory) {
    for (const int pieces : {20'000, 30'000'000, std::numeric_limits<int>::max()}) {
        // GIVEN a packer with a job in progress
        packer state = make_packer({make_upstream("u1"), make_upstream("u2")});
        const auto calls = all_of<make_call>(reduce(state, job_submitted{make_job(1, 2)}, start));
        // WHEN a job with far too many pieces is submitted
        const milliseconds before = processor_time();
        const auto effects = reduce(state, job_submitted{make_job(2, pieces)}, start);
        // THEN it is rejected at once and leaves nothing behind
        const auto rejected = all_of<job_rejected>(effects);
        LONGS_EQUAL(1, rejected.size());
        CHECK_TRUE(rejected.at(0).why == pieces_verdict::overloaded);
        LONGS_EQUAL(1, state.jobs.size());
        CHECK_TRUE(processor_time() - before < 20ms);
        // AND the other job is completed
        LONGS_EQUAL(1,
                    all_of<job_completed>(complete_call(state, calls.at(0), start + 200ms)).size());
    }
}

// Guards against sound jobs that the bound refuses.
TEST(packer, a_job_with_as_many_pieces_as_the_pool_can_make_is_accepted) {
    // GIVEN two idle upstreams, whose full calls take 278 ms
    packer state = make_packer({make_upstream("u1"), make_upstream("u2")});
    // WHEN a job is submitted that takes them 4 s of its 5 s
    stage_job job = make_job(1, 2 * 14 * 8);
    job.soft_deadline = job.hard_deadline;
    const auto effects = reduce(state, job_submitted{job}, start);
    // THEN it is begun
    LONGS_EQUAL(0, all_of<job_rejected>(effects).size());
    LONGS_EQUAL(2, all_of<make_call>(effects).size());
}
