#include "coordination/dispatch/dispatch.h"

#include <array>
#include <functional>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

const upstream_id target{"u1"};

//! One instance before one cold upstream whose home is another instance.
struct runner_fixture {
    environment env;
    std::array<member, 3> everybody;
    roster_state roster;
    documents_state documents;
    slots_state slots;
    quarantine_state quarantine;
    dispatch_state dispatch;
    instant now{milliseconds(1'000'000)};
    effects out;
};

runner_fixture make_runner() {
    runner_fixture fixture;
    for (std::size_t i = 0; i < 3; ++i) {
        fixture.everybody.at(i) = {instance_id{"i" + std::to_string(i)},
                                   "127.0.0.1:" + std::to_string(9000 + i), zone_name{"a"}};
    }
    fixture.env.self = fixture.everybody[0];
    fixture.env.pools.pools[pool_name{"p"}].name = pool_name{"p"};
    fixture.roster = make_settled_roster(fixture.env, fixture.everybody, 5, fixture.now);
    const auto home = home_of(fixture.roster, home_key(target));
    fixture.env.self = *home == fixture.everybody[0] ? fixture.everybody[1] : fixture.everybody[0];
    fixture.roster = make_settled_roster(fixture.env, fixture.everybody, 5, fixture.now);
    fixture.documents = make_documents_with(fixture.env, {}, {}, fixture.now);
    fixture.dispatch = make_dispatch(fixture.env);
    return fixture;
}

void reduce(runner_fixture& fixture, const event& happened) {
    reduce_slots(fixture.slots, fixture.env, fixture.roster, fixture.documents, happened,
                 fixture.now, fixture.out);
    reduce_dispatch(fixture.dispatch, fixture.env, fixture.roster, fixture.documents, fixture.slots,
                    fixture.quarantine, happened, fixture.now, fixture.out);
}

void list_target(runner_fixture& fixture, bool leaving) {
    const listed_instance listed{"u1", "127.0.0.1:2", zone_name{"a"}, "p", leaving};
    reduce(fixture, instances_listed{store_status::ok, {listed}});
}

void want(runner_fixture& fixture, milliseconds time_left = milliseconds(5000)) {
    attempt_wanted wanted;
    wanted.number = 1;
    wanted.attempt = attempt_id{"a"};
    wanted.pool = pool_name{"p"};
    wanted.time_left = time_left;
    wanted.restartable = true;
    reduce(fixture, wanted);
}

void answer_slot(runner_fixture& fixture, const std::string& slot, generation_number generation) {
    const slot_reply reply{generation, target, attempt_id{slot}, true};
    reduce(fixture, peer_message_received{fixture.everybody[2].id, reply});
}

const attempt_decided* decision(const runner_fixture& fixture) {
    for (const effect& each : fixture.out) {
        if (const auto* found = std::get_if<attempt_decided>(&each)) {
            return found;
        }
    }
    return nullptr;
}

template <typename Message>
std::optional<Message> sent(const runner_fixture& fixture) {
    for (const effect& each : fixture.out) {
        const auto* message = std::get_if<send_to_peer>(&each);
        if (message != nullptr && std::holds_alternative<Message>(message->message)) {
            return std::get<Message>(message->message);
        }
    }
    return std::nullopt;
}

void hear_all(runner_fixture& fixture) {
    for (auto& [id, peer] : fixture.roster.heard) {
        peer.asked_at = fixture.now;
    }
}

}  // namespace

TEST_GROUP(dispatch_group){};

TEST(dispatch_group, a_slot_is_used_only_while_it_holds) {
    using act = std::function<void(runner_fixture&)>;

    struct row {
        const char* name;
        act before;  //!< between question and answer
        const char* slot;
        generation_number generation;
        bool used;
    };

    const act nothing = [](runner_fixture&) {};
    const std::vector<row> rows = {
        {"in time", nothing, "a#1", 5, true},
        {"answer of a newer home", nothing, "a#1", 6, true},
        {"answer of an older generation", nothing, "a#1", 4, false},
        {"newer home has asked for holdings",
         [](runner_fixture& runner) {
             reduce(runner,
                    peer_message_received{runner.everybody[2].id, holdings_request{6, target}});
         },
         "a#1", 5, false},
        {"answer to another question", nothing, "a#0", 5, false},
        {"start window passed",
         [](runner_fixture& runner) {
             runner.now += milliseconds(500);
             hear_all(runner);
         },
         "a#1", 5, false},
        {"taken out meanwhile",
         [](runner_fixture& runner) { runner.documents.out.upstreams.insert(target); }, "a#1", 5,
         false},
        {"leaving meanwhile", [](runner_fixture& runner) { list_target(runner, true); }, "a#1", 5,
         false},
        {"cut off meanwhile",
         [](runner_fixture& runner) {
             runner.documents.store_heard_at.reset();
             runner.roster.heard.clear();
         },
         "a#1", 5, false},
    };
    for (const row& each : rows) {
        // GIVEN an attempt for which a cold upstream's home was asked
        runner_fixture runner = make_runner();
        list_target(runner, false);
        want(runner);
        CHECK_TEXT(sent<slot_request>(runner)->attempt.value == "a#1", each.name);
        each.before(runner);
        runner.out.clear();
        // WHEN a slot is given
        answer_slot(runner, each.slot, each.generation);
        // THEN it is used, or given back
        const attempt_decided* decided = decision(runner);
        const bool granted = decided != nullptr && decided->decision.has_value();
        CHECK_TEXT(granted == each.used, each.name);
        const auto released = sent<slot_release>(runner);
        CHECK_TEXT(released.has_value() == !each.used, each.name);
        if (released) {
            STRCMP_EQUAL_TEXT(each.slot, released->attempt.value.c_str(), each.name);
        }
    }
}

TEST(dispatch_group, a_slot_must_start_within_its_window_from_the_question) {
    runner_fixture runner = make_runner();
    list_target(runner, false);
    want(runner);
    const instant asked = runner.now;
    runner.now += milliseconds(400);
    answer_slot(runner, "a#1", 5);
    CHECK(decision(runner)->decision.value().start_before ==
          asked + runner.env.timing.start_window);
}

TEST(dispatch_group, a_silent_home_does_not_hold_up_what_a_warm_one_can_take) {
    // GIVEN a cold upstream whose home is silent, and a warm one, half loaded
    runner_fixture runner = make_runner();
    runner.env.pools.pools[pool_name{"p"}].cold_capacity = 2;
    const listed_instance cold{"u1", "127.0.0.1:2", zone_name{"a"}, "p", false};
    const listed_instance warm{"u2", "127.0.0.1:3", zone_name{"a"}, "p", false};
    reduce(runner, instances_listed{store_status::ok, {cold, warm}});
    known_upstream& known = runner.slots.known.at(upstream_id{"u2"});
    known.warm = true;
    known.warm_declared_at = runner.now;
    known.report.in_flight = 4;
    known.report.capacity = 8;
    // WHEN an attempt comes THEN the cold one's home is asked first
    want(runner);
    CHECK(sent<slot_request>(runner).has_value());
    CHECK(decision(runner) == nullptr);
    // AND the warm one takes it if there is no answer by the next tick
    runner.now += runner.env.timing.tick;
    reduce(runner, tick{});
    CHECK(decision(runner)->decision.value().upstream == known.id);
}

TEST(dispatch_group, refusals_are_not_run_and_typed) {
    using act = std::function<void(runner_fixture&)>;

    struct row {
        const char* name;
        act act_first;
        refusal_reason reason;
    };

    const std::vector<row> rows = {
        {"no upstream listed", [](runner_fixture& runner) { want(runner); },
         refusal_reason::no_upstream},
        {"all out",
         [](runner_fixture& runner) {
             list_target(runner, false);
             runner.documents.out.zones.insert(zone_name{"a"});
             want(runner);
         },
         refusal_reason::no_upstream},
        {"no time left",
         [](runner_fixture& runner) {
             list_target(runner, false);
             want(runner, milliseconds(0));
         },
         refusal_reason::deadline_exceeded},
        {"no lists yet",
         [](runner_fixture& runner) {
             runner.documents = make_documents(runner.env, runner.now);
             want(runner);
         },
         refusal_reason::not_ready},
        {"no capacity within the deadline",
         [](runner_fixture& runner) {
             list_target(runner, false);
             want(runner, milliseconds(300));
             runner.now += milliseconds(300);
             reduce(runner, tick{});
         },
         refusal_reason::overloaded},
    };
    for (const row& each : rows) {
        runner_fixture runner = make_runner();
        each.act_first(runner);
        const attempt_decided* decided = decision(runner);
        CHECK_TEXT(decided != nullptr && !decided->decision, each.name);
        CHECK_TEXT(decided->decision.error().reason == each.reason, each.name);
        CHECK_TEXT(decided->decision.error().state == execution::not_run, each.name);
    }
}

TEST(dispatch_group, an_attempt_given_up_while_it_waits_gives_its_question_back) {
    runner_fixture runner = make_runner();
    list_target(runner, false);
    want(runner);
    runner.out.clear();
    attempt_ended ended;
    ended.attempt = attempt_id{"a"};
    ended.outcome = attempt_outcome::not_started;
    reduce(runner, ended);
    STRCMP_EQUAL("a#1", sent<slot_release>(runner)->attempt.value.c_str());
    CHECK(runner.dispatch.pending.empty());
}
