//! What each workspace gets of a pool that has too little room for all.
#include "packing/packer.h"
#include "packing/tests/pool_replay.h"
#include "serving/stage_admission.h"

#include <algorithm>
#include <cstdio>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

constexpr instant start{milliseconds(1'000'000)};

//! Jobs of one workspace that arrive at even intervals.
struct arrivals {
    std::string workspace;
    double per_s{1};
    int pieces{2};
    std::uint64_t result_bytes{3'000'000};
    int priority{0};
    milliseconds begins{0};
    milliseconds lasts{6000};
    std::string kind{};  //!< kind of request; empty: told by the workspace alone
};

//! Jobs of all workspaces, sorted by their arrival; `label` names the kind or the workspace of
//! each.
std::vector<submitted_job> make_load(std::span<const arrivals> kinds, bool with_workspaces = true) {
    std::vector<submitted_job> load;
    for (const arrivals& kind : kinds) {
        const int count =
            static_cast<int>(kind.per_s * static_cast<double>(kind.lasts.count()) / 1000);
        for (int i = 0; i < count; ++i) {
            submitted_job one;
            one.label = kind.kind.empty() ? kind.workspace : kind.kind;
            one.submitted_at = start + kind.begins +
                               milliseconds(static_cast<std::int64_t>(i * 1000.0 / kind.per_s));
            one.job.id = {{"i"}, load.size() + 1};
            one.job.request = "r" + std::to_string(load.size() + 1);
            one.job.pieces = kind.pieces;
            one.job.key = "k";
            one.job.result_bytes = kind.result_bytes;
            one.job.priority = with_workspaces ? competing_priority(kind.priority, one.job.request)
                                               : kind.priority;
            one.job.soft_deadline = one.submitted_at + 1000ms;
            one.job.hard_deadline = one.submitted_at + 5000ms;
            one.job.workspace = {with_workspaces ? kind.workspace : ""};
            load.push_back(std::move(one));
        }
    }
    std::ranges::stable_sort(load, {}, &submitted_job::submitted_at);
    return load;
}

std::map<std::string, int> count_by_label(std::span<const submitted_job> load) {
    std::map<std::string, int> counts;
    for (const submitted_job& one : load) {
        ++counts[one.label];
    }
    return counts;
}

//! Outcomes of a load with shares, in the order without them, and first in, first out.
struct comparison {
    std::map<std::string, int> submitted;
    replay_outcome shared;
    replay_outcome unshared;
    replay_outcome naive;
};

comparison compare(const char* name, const pool_model& pool, std::span<const arrivals> kinds) {
    const auto load = make_load(kinds);
    comparison result{count_by_label(load), replay_packer(pool, load),
                      replay_packer(pool, make_load(kinds, false)),
                      replay_first_in_first_out(pool, load)};
    std::printf("\n%s: on time of submitted, with shares / without / first in, first out\n", name);
    for (const auto& [label, submitted] : result.submitted) {
        std::printf("  %-8s %4d: %4d %4d %4d\n", label.c_str(), submitted,
                    result.shared.on_time_by_label[label], result.unshared.on_time_by_label[label],
                    result.naive.on_time_by_label[label]);
    }
    std::printf("  all          : %4d %4d %4d\n", result.shared.on_time, result.unshared.on_time,
                result.naive.on_time);
    return result;
}

//! True if each label is served at least a quarter as often as all together.
bool is_nobody_starved(comparison& result) {
    int submitted = 0;
    for (const auto& [label, count] : result.submitted) {
        submitted += count;
    }
    return std::ranges::all_of(result.submitted, [&](const auto& entry) {
        return 4 * result.shared.on_time_by_label[entry.first] * submitted >=
               result.shared.on_time * entry.second;
    });
}

//! True if shares leave no room unused: all together get at least 9 in 10 of what they get without.
bool is_room_used(const comparison& result) {
    return 10 * result.shared.on_time >= 9 * result.unshared.on_time;
}

std::vector<arrivals> steady_workspaces(double per_s) {
    std::vector<arrivals> kinds;
    for (const char* name : {"w1", "w2", "w3", "w4"}) {
        kinds.push_back({name, per_s});
    }
    return kinds;
}

}  // namespace

TEST_GROUP(workspace_shares){};

// Guards against a workspace that displaces others by sending many times its usual rate.
TEST(workspace_shares, a_workspace_at_ten_times_its_rate_displaces_no_other) {
    // GIVEN a pool for about 23 jobs a second, four workspaces with 4 jobs a second each, and one
    // with 40 instead of 4
    auto kinds = steady_workspaces(4);
    kinds.push_back({"flood", 40});
    // WHEN they are replayed
    comparison result = compare("one workspace at ten times its rate", pool_model{}, kinds);
    // THEN the others are on time nearly always, and the flood gets the rest of the room
    for (const char* name : {"w1", "w2", "w3", "w4"}) {
        CHECK_TRUE(10 * result.shared.on_time_by_label[name] >= 9 * result.submitted[name]);
    }
    CHECK_TRUE(is_room_used(result));
    CHECK_TRUE(is_nobody_starved(result));
}

// Guards against a flood that gains by trying again at once.
TEST(workspace_shares, immediate_retries_of_a_flood_displace_no_other) {
    // GIVEN the same load; refused callers try again at once, up to 20 times
    auto kinds = steady_workspaces(4);
    kinds.push_back({"flood", 40});
    pool_model pool;
    pool.retries = 20;
    // WHEN it is replayed
    comparison result = compare("immediate retries", pool, kinds);
    // THEN the others are on time nearly always, and no room is lost
    for (const char* name : {"w1", "w2", "w3", "w4"}) {
        CHECK_TRUE(10 * result.shared.on_time_by_label[name] >= 9 * result.submitted[name]);
    }
    CHECK_TRUE(is_room_used(result));
}

// Guards against shares that cost capacity when all workspaces want more.
TEST(workspace_shares, a_burst_of_all_workspaces_is_shared_equally) {
    // GIVEN 1.6 times as many jobs as the pool serves, from four workspaces alike
    const auto kinds = steady_workspaces(9.2);
    // WHEN they are replayed
    comparison result = compare("all workspaces at 1.6 times", pool_model{}, kinds);
    // THEN all get about the same, and as much as without shares
    CHECK_TRUE(is_room_used(result));
    CHECK_TRUE(is_nobody_starved(result));
    const auto [least, most] = std::ranges::minmax_element(
        result.shared.on_time_by_label, {}, [](const auto& entry) { return entry.second; });
    CHECK_TRUE(3 * most->second <= 4 * least->second);
}

// Guards against a kind of request that is displaced by a burst of another one of the same
// priority.
TEST(workspace_shares, a_burst_of_one_kind_starves_no_other) {
    // GIVEN two workspaces that send two kinds of jobs, and one kind at 2.5 times its rate for 5 s
    std::vector<arrivals> kinds;
    for (const char* name : {"w1", "w2"}) {
        kinds.push_back({name, 5, 2, 3'000'000, 0, 0ms, 6000ms, "usual"});
        kinds.push_back({name, 12.5, 2, 3'000'000, 0, 500ms, 5000ms, "burst"});
    }
    // WHEN they are replayed
    comparison result = compare("one kind at 2.5 times", pool_model{}, kinds);
    // THEN both kinds are served, and no room is lost
    CHECK_TRUE(is_nobody_starved(result));
    CHECK_TRUE(is_room_used(result));
}

// Guards against a kind of low priority that is starved by a burst of an urgent one.
TEST(workspace_shares, a_burst_of_an_urgent_kind_starves_no_less_urgent_one) {
    // GIVEN urgent jobs at 1.6 times the pool's capacity, and less urgent ones
    std::vector<arrivals> kinds;
    for (const char* name : {"w1", "w2"}) {
        kinds.push_back({name, 18, 2, 3'000'000, 0, 0ms, 6000ms, "urgent"});
        kinds.push_back({name, 8, 2, 3'000'000, 2, 0ms, 6000ms, "other"});
    }
    // WHEN they are replayed
    comparison result = compare("a burst of an urgent kind", pool_model{}, kinds);
    // THEN the less urgent ones are served at least a quarter as often as all, and no room is lost
    CHECK_TRUE(is_nobody_starved(result));
    CHECK_TRUE(is_room_used(result));
}

// Guards against capacity that is kept back for workspaces that don't want it.
TEST(workspace_shares, a_lone_workspace_uses_the_whole_pool) {
    // GIVEN one workspace that wants twice the pool's capacity
    const std::vector<arrivals> kinds{{"lone", 46}};
    // WHEN its jobs are replayed with and without the workspace
    comparison result = compare("a lone workspace", pool_model{}, kinds);
    // THEN the outcomes are the same
    LONGS_EQUAL(result.unshared.on_time, result.shared.on_time);
    LONGS_EQUAL(result.unshared.rejected, result.shared.rejected);
}

// Guards against a share that delays a workspace although the pool has room.
TEST(workspace_shares, a_large_workspace_is_not_limited_while_there_is_room) {
    // GIVEN a workspace that takes 15 jobs a second of a pool for 23, and a light one
    const std::vector<arrivals> kinds{{"large", 15}, {"light", 1}};
    // WHEN they are replayed
    comparison result = compare("a large workspace with room", pool_model{}, kinds);
    // THEN all jobs are on time
    LONGS_EQUAL(result.submitted["large"], result.shared.on_time_by_label["large"]);
    LONGS_EQUAL(result.submitted["light"], result.shared.on_time_by_label["light"]);
}

// Guards against a change of the order in deployments without workspaces in jobs, and against jobs
// of earlier versions that rank behind others.
TEST(workspace_shares, jobs_without_a_workspace_rank_by_priority_and_deadline_alone) {
    // GIVEN a busy upstream, a workspace that was served much, and waiting jobs of that one, of
    // another one and without any
    packer state;
    reduce(state, pool_changed{{2, 150, 16, 360, 4000ms}, {{{"u1"}, "u1:80", {"z1"}}}}, start);
    const auto submit = [&](std::uint64_t number, const char* workspace, int priority) {
        stage_job job;
        job.id = {{"i"}, number};
        job.request = std::to_string(number);
        job.pieces = 2;
        job.key = "k";
        job.priority = priority;
        job.soft_deadline = start + 5000ms + milliseconds(number);
        job.hard_deadline = start + 9000ms;
        job.workspace = {workspace};
        return reduce(state, job_submitted{job}, start);
    };
    const auto first = submit(1, "flood", 0);
    record_served(state.shares, {"flood"}, 10, start);
    submit(2, "flood", 0);
    submit(3, "", 1);
    submit(4, "light", 1);
    submit(5, "", 0);
    // WHEN the upstream ends call after call
    std::string order;
    auto effects = first;
    instant now = start;
    while (!effects.empty()) {
        const auto call = std::ranges::find_if(effects, [](const packer_effect& effect) {
            return std::holds_alternative<make_call>(effect);
        });
        if (call == effects.end()) {
            break;
        }
        const make_call made = std::get<make_call>(*call);
        order += made.items[0].request;
        now += 182ms;
        effects = reduce(state,
                         call_answered{made.number,
                                       {{piece_status::made, "u1:80/a" + made.items[0].request},
                                        {piece_status::made, "u1:80/b" + made.items[0].request}}},
                         now);
    }
    // THEN those without a workspace are served by priority and deadline with those within their
    // share, and the flood last
    STRCMP_EQUAL("15342", order.c_str());
}

// Guards against accounts that a restarted packer would need to serve at all.
TEST(workspace_shares, a_restarted_packer_shares_equally_after_its_first_calls) {
    // GIVEN a flood and a light workspace, and a packer that starts without accounts in the midst
    auto kinds = steady_workspaces(4);
    kinds.push_back({"flood", 40, 2, 3'000'000, 0, 0ms, 1500ms});
    // WHEN the first 1.5 s are replayed alone
    for (arrivals& kind : kinds) {
        kind.lasts = 1500ms;
    }
    comparison result = compare("the first 1.5 s of a packer", pool_model{}, kinds);
    // THEN the light ones get at least three quarters already
    for (const char* name : {"w1", "w2", "w3", "w4"}) {
        CHECK_TRUE(4 * result.shared.on_time_by_label[name] >= 3 * result.submitted[name]);
    }
}

// Guards against waits that are reported alike to a flood and to the others.
TEST(workspace_shares, waits_beyond_the_share_are_longer_than_those_within) {
    // GIVEN a busy upstream, a workspace with 40 waiting jobs and one with one
    packer state;
    reduce(state, pool_changed{{8, 150, 16, 360, 4000ms}, {{{"u1"}, "u1:80", {"z1"}}}}, start);
    for (std::uint64_t number = 1; number <= 41; ++number) {
        stage_job job;
        job.id = {{"i"}, number};
        job.pieces = 2;
        job.key = "k";
        job.soft_deadline = start + 20s;
        job.hard_deadline = start + 30s;
        job.workspace = {number == 41 ? "light" : "flood"};
        reduce(state, job_submitted{job}, start);
    }
    reduce(state, packer_tick{}, start + 50ms);
    // WHEN the waits are reported
    const queueing_times waits = waiting_times(state, start + 50ms);
    // THEN the flood is named, and its new jobs wait for all its waiting ones: over nine calls
    LONGS_EQUAL(1, waits.beyond_share.workspaces.size());
    STRCMP_EQUAL("flood", waits.beyond_share.workspaces[0].value.c_str());
    CHECK_TRUE(waits.beyond_share.call_waits.at(0) >= 9 * 278ms);
    CHECK_TRUE(waits.beyond_share.drained_in >= waits.beyond_share.call_waits.at(0));
    // AND a new job within its share waits for a part of that
    CHECK_TRUE(4 * waits.for_calls.at(0) <= waits.beyond_share.call_waits.at(0));
}
