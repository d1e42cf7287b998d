//! Bootstrapping, joining, leaving, ownership of keys and tenure.
#include "coordination/roster/internal/roster_object.h"
#include "coordination/roster/tests/fleet.h"
#include "types/store_limits.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

TEST_GROUP(roster){};

TEST(roster, several_starts_share_the_first_generation) {
    // GIVEN an empty store and five instances started together
    fleet all = make_fleet();
    for (const char* id : {"a", "b", "c", "d", "e"}) {
        start_node(all, id);
    }
    // WHEN they have pinged each other
    CHECK_TRUE(run_until(all, 10s, [&] { return all_settled(all, "a b c d e"); }));
    // THEN the first generation contains all of them, and each key has exactly one owner
    LONGS_EQUAL(1, generation(all.nodes[0].state));
    run_for(all, 1s);
    for (const auto& key : all.keys) {
        LONGS_EQUAL(1, actors(all, key).size());
    }
    LONGS_EQUAL(0, all.counters.violations);
}

TEST(roster, mass_join_takes_one_generation) {
    // GIVEN a settled roster of three
    fleet all = make_fleet();
    start_settled(all, {"a", "b", "c"});
    run_for(all, 1s);
    // WHEN five more start at the same time
    for (const char* id : {"d", "e", "f", "g", "h"}) {
        start_node(all, id);
    }
    CHECK_TRUE(run_until(all, 20s, [&] { return all_settled(all, "a b c d e f g h"); }));
    // THEN one generation adds all of them, and no key ever had two owners
    LONGS_EQUAL(2, generation(all.nodes[0].state));
    LONGS_EQUAL(0, all.counters.violations);
}

TEST(roster, unchanged_owners_act_during_a_change) {
    // GIVEN a settled roster of three
    fleet all = make_fleet();
    start_settled(all, {"a", "b", "c"});
    run_for(all, 1s);
    // WHEN a fourth joins
    start_node(all, "d");
    CHECK_TRUE(run_until(all, 10s, [&] { return !find_node(all, "a").state.newest.settled; }));
    run_for(all, all.timing.tick);
    CHECK_FALSE(find_node(all, "a").state.newest.settled);
    // THEN until the generation settles, a key has an acting owner only if its owner stays the same
    while (!find_node(all, "a").state.newest.settled) {
        for (const auto& key : all.keys) {
            const bool moves = owner_of(find_node(all, "a").state, key)->id.value == "d";
            LONGS_EQUAL(moves ? 0 : 1, actors(all, key).size());
        }
        run_for(all, all.timing.tick);
    }
    CHECK_TRUE(run_until(all, 10s, [&] { return all_settled(all, "a b c d"); }));
    LONGS_EQUAL(0, all.counters.violations);
}

TEST(roster, leaving_instance_hands_over_and_may_exit) {
    // GIVEN a settled roster of three
    fleet all = make_fleet();
    start_settled(all, {"a", "b", "c"});
    run_for(all, 1s);
    // WHEN one member is requested to stop
    node& b = find_node(all, "b");
    post_event(all, b, stop_wanted{});
    CHECK_FALSE(may_exit(b.state, b.env, all.now));
    // THEN the others take over and it may exit
    CHECK_TRUE(run_until(all, 10s, [&] { return may_exit(b.state, b.env, all.now); }));
    CHECK_TRUE(roster_text(b) == "a c");
    LONGS_EQUAL(0, all.counters.violations);
}

TEST(roster, leaving_is_bounded_without_store_or_successor) {
    struct {
        const char* name;
        bool store_down;
        std::vector<std::string> ids;
    } const cases[] = {{"store down", true, {"a", "b", "c"}}, {"last instance", false, {"a"}}};

    for (const auto& row : cases) {
        fleet all = make_fleet();
        start_settled(all, row.ids);
        run_for(all, 1s);
        all.store_down = row.store_down;
        node& a = find_node(all, "a");
        post_event(all, a, stop_wanted{});
        CHECK_TRUE_TEXT(run_until(all, 15s, [&] { return may_exit(a.state, a.env, all.now); }),
                        row.name);
    }
}

TEST(roster, settled_roster_costs_no_store_calls) {
    // GIVEN a settled roster
    fleet all = make_fleet();
    start_settled(all, {"a", "b", "c"});
    run_for(all, 2s);
    const int before = all.counters.store_calls;
    // WHEN a minute passes
    run_for(all, 60s);
    // THEN the roster object was neither read nor written
    LONGS_EQUAL(before, all.counters.store_calls);
}

TEST(roster, new_generation_after_all_members_were_replaced) {
    // GIVEN a settled roster whose members all end and are replaced by new instances
    fleet all = make_fleet();
    start_settled(all, {"a", "b", "c"});
    run_for(all, 2s);
    for (const char* id : {"a", "b", "c"}) {
        kill_node(all, id);
        drop_from_list(all, id);
    }
    for (const char* id : {"x", "y", "z"}) {
        start_node(all, id);
    }
    // WHEN the instance list has not contained the old members for a while
    CHECK_TRUE(run_until(all, 40s, [&] { return all_settled(all, "x y z"); }));
    // THEN a generation of the new instances settles, and no key ever had two owners
    LONGS_EQUAL(0, all.counters.violations);
}

TEST(roster, restart_at_the_same_address_counts_as_the_end_of_the_old_process) {
    fleet all = make_fleet();
    start_settled(all, {"a", "b"});
    run_for(all, 2s);
    // WHEN one of two members is killed and another process starts at its address
    kill_node(all, "b");
    start_node(all, "b2", "b:1");
    // THEN a new roster settles, although the address never disappeared from the instance list
    CHECK_TRUE(run_until(all, 30s, [&] { return all_settled(all, "a b2"); }));
    LONGS_EQUAL(0, all.counters.violations);
}

TEST(roster, gets_the_roster_from_peers_while_the_store_is_down) {
    // GIVEN a settled roster and a store that is down
    fleet all = make_fleet();
    start_settled(all, {"a", "b", "c"});
    run_for(all, 2s);
    all.store_down = true;
    // WHEN an instance is replaced at its address
    kill_node(all, "c");
    node& replaced = start_node(all, "c2", "c:1");
    run_for(all, 3s);
    // THEN it has received the roster, but isn't a member yet
    LONGS_EQUAL(1, generation(replaced.state));
    CHECK_FALSE(is_member(replaced.state));
}

TEST(roster, tenure_lasts_while_no_other_instance_could_have_been_owner) {
    struct {
        const char* name;
        generation_number last_generation;
        generation_number newest;
        bool settled;
        bool is_owner;
        generation_number expected_through;
        bool expected_kept;
    } const cases[] = {
        {"first settled", 0, 4, true, true, 4, false},
        {"same generation", 4, 4, true, true, 4, true},
        {"next one settled, still home", 4, 5, true, true, 5, true},
        {"next one unsettled, still home", 4, 5, false, true, 4, true},
        {"unsettled and new", 0, 5, false, true, 0, false},
        {"skipped a generation", 4, 6, true, true, 6, false},
        {"skipped, unsettled", 4, 6, false, true, 0, false},
        {"home elsewhere", 4, 5, true, false, 0, false},
        {"home elsewhere, unsettled", 4, 5, false, false, 0, false},
    };

    for (const auto& row : cases) {
        environment env;
        env.self = {{"a"}, "a:1", {}};
        const member other{{"b"}, "b:1", {}};
        const member owner = row.is_owner ? env.self : other;
        roster_state state =
            make_settled_roster(env, std::span(&owner, 1), row.newest, instant(9s));
        state.newest.settled = row.settled;
        tenure ownership{row.last_generation, instant(5s)};
        renew_tenure(ownership, state, "key", instant(9s));
        LONGS_EQUAL_TEXT(row.expected_through, ownership.last_generation, row.name);
        CHECK_EQUAL_TEXT(row.expected_kept,
                         ownership.last_generation != 0 && ownership.since == instant(5s),
                         row.name);
    }
}

TEST(roster, object_survives_a_round_trip_and_malformed_text_is_rejected) {
    const roster value{7, true, {{{"a"}, "a:1", {"z"}}}, "a-3"};
    const member before{{"b"}, "b:1", {"z"}};
    const auto text = detail::write_roster(value, std::span(&before, 1));
    const auto read = detail::parse_roster(text);
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(read.value().value == value);
    CHECK_TRUE(read.value().previous == std::vector{before});
    for (const char* bad : {"", "{}", "[1]", "{\"generation\":0}", "not json"}) {
        CHECK_FALSE(detail::parse_roster(bad).has_value());
    }
}

TEST(roster, ranked_owners_are_all_members_with_the_owner_first) {
    fleet all = make_fleet();
    start_settled(all, {"a", "b", "c"});
    const auto& state = all.nodes[0].state;
    for (const auto& key : all.keys) {
        std::set<instance_id> seen;
        for (std::size_t rank = 0; rank < 3; ++rank) {
            seen.insert(ranked_owner(state, key, rank)->id);
        }
        LONGS_EQUAL(3, seen.size());
        CHECK_TRUE(ranked_owner(state, key, 0) == owner_of(state, key));
        CHECK_FALSE(ranked_owner(state, key, 3).has_value());
    }
}

// Guards against a list that is asked for again while it arrives: the copies share the slow link.
TEST(roster, a_list_that_arrives_slowly_is_not_asked_for_again) {
    // GIVEN an instance that has asked for the instance list
    environment env;
    instant now{milliseconds(1'000'000)};
    roster_state state = make_roster(env, now);
    const auto lists_wanted = [&](milliseconds time) {
        std::ptrdiff_t count = 0;
        for (const instant end = now + time; now < end; now += env.timing.tick) {
            effects out;
            reduce_roster(state, env, tick{}, now, out);
            count += std::ranges::count_if(out, [](const effect& each) {
                return std::holds_alternative<list_instances>(each);
            });
        }
        return count;
    };
    LONGS_EQUAL(1, lists_wanted(env.timing.tick));
    // WHEN the list takes as long as its client allows THEN it isn't asked for again
    LONGS_EQUAL(0, lists_wanted(env.timing.store_timeout + longest_store_response));
    // AND it is asked for again if its client never reports
    LONGS_EQUAL(1, lists_wanted(2 * env.timing.store_timeout));
}

// Guards against x86-64 and arm64 instances that choose different owners.
TEST(roster, rendezvous_weights_are_the_same_on_all_architectures) {
    // GIVEN members and keys of several lengths; WHEN they are weighed, THEN the results are fixed
    UNSIGNED_LONGLONGS_EQUAL(13541275757435531382U, rendezvous_weight({"i-1"}, "share/w"));
    UNSIGNED_LONGLONGS_EQUAL(7444292396773721819U,
                             rendezvous_weight({"i-1"}, std::string(300, 'k')));
    UNSIGNED_LONGLONGS_EQUAL(6828289939674497532U, rendezvous_weight({"\xff\x80"}, ""));
}
