#include "coordination/dispatch/dispatch.h"

#include <array>
#include <functional>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

const upstream_id cold_upstream{"u1"};

//! The state of an instance with one cold upstream that another instance owns, and the effects it
//! emits.
struct runner_fixture {
    environment env;
    std::array<member, 3> all_members;
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
        fixture.all_members.at(i) = {instance_id{"i" + std::to_string(i)},
                                     "127.0.0.1:" + std::to_string(9000 + i), zone_name{"a"}};
    }
    fixture.env.self = fixture.all_members[0];
    fixture.env.pools.pools[pool_name{"p"}].name = pool_name{"p"};
    fixture.roster = make_settled_roster(fixture.env, fixture.all_members, 5, fixture.now);
    const auto owner = owner_of(fixture.roster, ownership_key(cold_upstream));
    fixture.env.self =
        *owner == fixture.all_members[0] ? fixture.all_members[1] : fixture.all_members[0];
    fixture.roster = make_settled_roster(fixture.env, fixture.all_members, 5, fixture.now);
    fixture.documents = make_documents_in_force(fixture.env, {}, {}, fixture.now);
    fixture.dispatch = make_dispatch(fixture.env);
    return fixture;
}

void reduce(runner_fixture& fixture, const event& happened) {
    reduce_slots(fixture.slots, fixture.env, fixture.roster, fixture.documents, happened,
                 fixture.now, fixture.out);
    reduce_dispatch(fixture.dispatch, fixture.env, fixture.roster, fixture.documents, fixture.slots,
                    fixture.quarantine, happened, fixture.now, fixture.out);
}

void list_cold_upstream(runner_fixture& fixture, bool leaving) {
    const listed_instance listed{"u1", "127.0.0.1:2", zone_name{"a"}, "p", leaving};
    reduce(fixture, instances_listed{store_status::ok, {listed}});
}

void request_attempt(runner_fixture& fixture, milliseconds time_left = milliseconds(5000)) {
    attempt_wanted wanted;
    wanted.number = 1;
    wanted.attempt = attempt_id{"a"};
    wanted.pool = pool_name{"p"};
    wanted.time_left = time_left;
    wanted.restartable = true;
    reduce(fixture, wanted);
}

void reply_to_slot_request(runner_fixture& fixture, const std::string& slot,
                           generation_number generation) {
    const slot_reply reply{generation, cold_upstream, attempt_id{slot}, true};
    reduce(fixture, peer_message_received{fixture.all_members[2].id, reply});
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

void answer_pings(runner_fixture& fixture) {
    for (auto& [id, peer] : fixture.roster.peers) {
        peer.last_answered_ping_at = fixture.now;
    }
}

}  // namespace

TEST_GROUP(dispatch_group){};

TEST(dispatch_group, a_slot_is_used_only_while_it_is_valid) {
    using action = std::function<void(runner_fixture&)>;

    struct row {
        const char* name;
        action before;  //!< happens between slot request and reply
        const char* slot;
        generation_number generation;
        bool used;
    };

    const action nothing = [](runner_fixture&) {};
    const std::vector<row> rows = {
        {"in time", nothing, "a#1", 5, true},
        {"reply of a newer home", nothing, "a#1", 6, true},
        {"reply of an older generation", nothing, "a#1", 4, false},
        {"holdings request of a newer home",
         [](runner_fixture& runner) {
             reduce(runner, peer_message_received{runner.all_members[2].id,
                                                  holdings_request{6, cold_upstream}});
         },
         "a#1", 5, false},
        {"reply to another request", nothing, "a#0", 5, false},
        {"start window passed",
         [](runner_fixture& runner) {
             runner.now += milliseconds(500);
             answer_pings(runner);
         },
         "a#1", 5, false},
        {"upstream taken out meanwhile",
         [](runner_fixture& runner) {
             runner.documents.out_of_service.upstreams.insert(cold_upstream);
         },
         "a#1", 5, false},
        {"upstream leaving meanwhile",
         [](runner_fixture& runner) { list_cold_upstream(runner, true); }, "a#1", 5, false},
        {"instance cut off meanwhile",
         [](runner_fixture& runner) {
             runner.documents.store_state_as_of.reset();
             runner.roster.peers.clear();
         },
         "a#1", 5, false},
    };
    for (const row& each : rows) {
        // GIVEN an attempt for which a cold upstream's slot was requested
        runner_fixture runner = make_runner();
        list_cold_upstream(runner, false);
        request_attempt(runner);
        CHECK_TEXT(sent<slot_request>(runner)->attempt.value == "a#1", each.name);
        each.before(runner);
        runner.out.clear();
        // WHEN the slot is granted
        reply_to_slot_request(runner, each.slot, each.generation);
        // THEN it is used or released
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

TEST(dispatch_group, a_slot_must_start_within_its_window_from_the_request) {
    runner_fixture runner = make_runner();
    list_cold_upstream(runner, false);
    request_attempt(runner);
    const instant requested_at = runner.now;
    runner.now += milliseconds(400);
    reply_to_slot_request(runner, "a#1", 5);
    CHECK(decision(runner)->decision.value().start_before ==
          requested_at + runner.env.timing.start_window);
}

TEST(dispatch_group,
     an_unresponsive_owner_does_not_delay_an_attempt_that_a_warm_upstream_can_take) {
    // GIVEN a cold upstream whose owner is unresponsive, and a warm one with half its capacity in
    // use
    runner_fixture runner = make_runner();
    runner.env.pools.pools[pool_name{"p"}].cold_capacity = 2;
    const listed_instance cold{"u1", "127.0.0.1:2", zone_name{"a"}, "p", false};
    const listed_instance warm{"u2", "127.0.0.1:3", zone_name{"a"}, "p", false};
    reduce(runner, instances_listed{store_status::ok, {cold, warm}});
    upstream_state& upstream = runner.slots.upstreams.at(upstream_id{"u2"});
    upstream.warm = true;
    upstream.warm_declared_at = runner.now;
    upstream.report.in_flight = 4;
    upstream.report.capacity = 8;
    // WHEN an attempt is requested THEN a slot of the cold one is requested first
    request_attempt(runner);
    CHECK(sent<slot_request>(runner).has_value());
    CHECK(decision(runner) == nullptr);
    // AND the warm one is chosen if there is no reply by the next tick
    runner.now += runner.env.timing.tick;
    reduce(runner, tick{});
    CHECK(decision(runner)->decision.value().upstream == upstream.id);
}

TEST(dispatch_group, refusals_have_a_reason_and_the_state_not_run) {
    using action = std::function<void(runner_fixture&)>;

    struct row {
        const char* name;
        action prepare;
        refusal_reason reason;
    };

    const std::vector<row> rows = {
        {"no upstream listed", [](runner_fixture& runner) { request_attempt(runner); },
         refusal_reason::no_upstream},
        {"all upstreams out",
         [](runner_fixture& runner) {
             list_cold_upstream(runner, false);
             runner.documents.out_of_service.zones.insert(zone_name{"a"});
             request_attempt(runner);
         },
         refusal_reason::no_upstream},
        {"no time left",
         [](runner_fixture& runner) {
             list_cold_upstream(runner, false);
             request_attempt(runner, milliseconds(0));
         },
         refusal_reason::deadline_exceeded},
        {"no lists yet",
         [](runner_fixture& runner) {
             runner.documents = make_documents(runner.env, runner.now);
             request_attempt(runner);
         },
         refusal_reason::not_ready},
        {"no capacity within the deadline",
         [](runner_fixture& runner) {
             list_cold_upstream(runner, false);
             request_attempt(runner, milliseconds(300));
             runner.now += milliseconds(300);
             reduce(runner, tick{});
         },
         refusal_reason::overloaded},
    };
    for (const row& each : rows) {
        runner_fixture runner = make_runner();
        each.prepare(runner);
        const attempt_decided* decided = decision(runner);
        CHECK_TEXT(decided != nullptr && !decided->decision, each.name);
        CHECK_TEXT(decided->decision.error().reason == each.reason, each.name);
        CHECK_TEXT(decided->decision.error().state == execution::not_run, each.name);
    }
}

TEST(dispatch_group, an_attempt_ended_while_it_waits_withdraws_its_slot_request) {
    runner_fixture runner = make_runner();
    list_cold_upstream(runner, false);
    request_attempt(runner);
    runner.out.clear();
    attempt_ended ended;
    ended.attempt = attempt_id{"a"};
    ended.outcome = attempt_outcome::not_started;
    reduce(runner, ended);
    STRCMP_EQUAL("a#1", sent<slot_release>(runner)->attempt.value.c_str());
    CHECK(runner.dispatch.pending.empty());
}
