#include "coordination/slots/slots.h"

#include <array>
#include <functional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

const upstream_id cold_upstream{"u1"};

//! The state of the instance that owns `u1`, one of three members, and the effects it emits.
struct owner_fixture {
    environment env;
    std::array<member, 3> all_members;
    roster_state roster;
    documents_state documents;
    slots_state slots;
    instant now{milliseconds(1'000'000)};
    effects out;
};

void make_rosters(owner_fixture& fixture, generation_number generation) {
    fixture.roster = make_settled_roster(fixture.env, fixture.all_members, generation, fixture.now);
}

//! Records that all members have answered the pings sent now.
void answer_pings(owner_fixture& fixture) {
    for (auto& [id, peer] : fixture.roster.peers) {
        peer.last_answered_ping_at = fixture.now;
    }
}

void reduce(owner_fixture& fixture, const event& happened) {
    reduce_slots(fixture.slots, fixture.env, fixture.roster, fixture.documents, happened,
                 fixture.now, fixture.out);
    for (std::size_t i = 0; i < fixture.out.size(); ++i) {
        const auto* sent = std::get_if<send_to_peer>(&fixture.out[i]);
        if (sent != nullptr && sent->to.id == fixture.env.self.id) {
            const event own = peer_message_received{sent->to.id, sent->message};
            fixture.out.erase(fixture.out.begin() + static_cast<std::ptrdiff_t>(i--));
            reduce(fixture, own);
        }
    }
}

void receive(owner_fixture& fixture, std::size_t from, const peer_message& message) {
    reduce(fixture, peer_message_received{fixture.all_members[from].id, message});
}

void answer_poll(owner_fixture& fixture, upstream_condition condition, int in_flight,
                 const std::string& incarnation = "x") {
    const upstream_report report{cold_upstream, incarnation, condition, in_flight, 8};
    reduce(fixture, upstream_polled{cold_upstream, true, report});
}

//! Advances the clock by `time`, with ticks, answered pings and answered polls.
void advance_time(owner_fixture& fixture, milliseconds time, upstream_condition condition,
                  int in_flight) {
    const instant end = fixture.now + time;
    while (fixture.now < end) {
        fixture.now += fixture.env.timing.tick;
        answer_pings(fixture);
        reduce(fixture, tick{});
        answer_poll(fixture, condition, in_flight);
    }
}

owner_fixture make_owner() {
    owner_fixture fixture;
    for (std::size_t i = 0; i < 3; ++i) {
        fixture.all_members.at(i) = {instance_id{"i" + std::to_string(i)},
                                     "127.0.0.1:" + std::to_string(9000 + i), zone_name{"a"}};
    }
    fixture.env.self = fixture.all_members[0];
    fixture.env.pools.pools[pool_name{"p"}].cold_capacity = 2;
    make_rosters(fixture, 1);
    const auto owner = owner_of(fixture.roster, ownership_key(cold_upstream));
    for (std::size_t i = 0; i < 3; ++i) {
        if (fixture.all_members.at(i) == *owner) {
            std::swap(fixture.all_members.at(0), fixture.all_members.at(i));
        }
    }
    fixture.env.self = fixture.all_members[0];
    make_rosters(fixture, 1);
    fixture.documents = make_documents_in_force(fixture.env, {}, {}, fixture.now);
    const listed_instance listed{"u1", "127.0.0.1:2", zone_name{"a"}, "p", false};
    reduce(fixture, instances_listed{store_status::ok, {listed}});
    return fixture;
}

void report_holdings(owner_fixture& fixture, std::size_t from,
                     const std::vector<held_attempt>& attempts) {
    receive(fixture, from, holdings_reply{generation(fixture.roster), cold_upstream, attempts});
}

//! Creates an owner that may grant slots: its tenure is old enough, and all members have reported
//! that they hold nothing.
owner_fixture make_ready_owner() {
    owner_fixture fixture = make_owner();
    advance_time(fixture, milliseconds(4000), upstream_condition::cold, 0);
    report_holdings(fixture, 1, {});
    report_holdings(fixture, 2, {});
    fixture.out.clear();
    return fixture;
}

void request(owner_fixture& fixture, std::size_t from, const std::string& attempt,
             milliseconds waits = milliseconds(0)) {
    receive(fixture, from,
            slot_request{cold_upstream, attempt_id{attempt}, milliseconds(5000), waits});
}

//! Returns the ids of the slots that were granted (or refused) since the last call, each followed
//! by a space.
std::string replies(owner_fixture& fixture, bool granted) {
    std::string names;
    for (const effect& each : fixture.out) {
        const auto* sent = std::get_if<send_to_peer>(&each);
        const auto* reply = sent == nullptr ? nullptr : std::get_if<slot_reply>(&sent->message);
        if (reply != nullptr && reply->granted == granted) {
            names += reply->attempt.value + " ";
        }
    }
    fixture.out.clear();
    return names;
}

}  // namespace

TEST_GROUP(slots_owner){};

TEST(slots_owner, grants_slots_only_with_valid_lease_and_known_holdings) {
    struct row {
        const char* name;
        std::function<void(owner_fixture&)> prepare;
        const char* granted;
    };

    const auto cold = upstream_condition::cold;
    const std::vector<row> rows = {
        {"no holdings known", [](owner_fixture&) {}, ""},
        {"tenure too short",
         [&](owner_fixture& owner) {
             advance_time(owner, milliseconds(2500), cold, 0);
             report_holdings(owner, 1, {});
             report_holdings(owner, 2, {});
         },
         ""},
        {"one member silent",
         [&](owner_fixture& owner) {
             advance_time(owner, milliseconds(4000), cold, 0);
             report_holdings(owner, 1, {});
         },
         ""},
        {"all holdings known",
         [&](owner_fixture& owner) {
             advance_time(owner, milliseconds(4000), cold, 0);
             report_holdings(owner, 1, {});
             report_holdings(owner, 2, {});
         },
         "a b "},
        {"one slot held by a member",
         [&](owner_fixture& owner) {
             advance_time(owner, milliseconds(4000), cold, 1);
             report_holdings(owner, 1, {{attempt_id{"h"}, milliseconds(9000), false}});
             report_holdings(owner, 2, {});
             advance_time(owner, milliseconds(600), cold, 1);
         },
         "a "},
        {"holdings of an older generation",
         [&](owner_fixture& owner) {
             advance_time(owner, milliseconds(4000), cold, 0);
             receive(owner, 1, holdings_reply{0, cold_upstream, {}});
             receive(owner, 2, holdings_reply{0, cold_upstream, {}});
         },
         ""},
        {"silent member bounded by the upstream's own count of none",
         [&](owner_fixture& owner) { advance_time(owner, milliseconds(16000), cold, 0); }, "a b "},
        {"silent member bounded by the upstream's own count of one",
         [&](owner_fixture& owner) { advance_time(owner, milliseconds(16000), cold, 1); }, "a "},
        {"silent member that has ended, its address used by another process",
         [&](owner_fixture& owner) {
             advance_time(owner, milliseconds(3000), cold, 0);
             report_holdings(owner, 1, {});
             peer_record& successor = owner.roster.peers[instance_id{"i9"}];
             successor.identity = {instance_id{"i9"}, owner.all_members[2].address, zone_name{"a"}};
             successor.has_answered = true;
             owner.roster.peers.erase(owner.all_members[2].id);
             advance_time(owner, milliseconds(2500), cold, 0);
         },
         "a b "},
        {"silent member past the longest attempt",
         [&](owner_fixture& owner) { advance_time(owner, milliseconds(66000), cold, 0); }, "a b "},
        {"no quorum within the fence time",
         [&](owner_fixture& owner) {
             advance_time(owner, milliseconds(4000), cold, 0);
             report_holdings(owner, 1, {});
             report_holdings(owner, 2, {});
             owner.now += milliseconds(2100);
         },
         ""},
        {"generation skipped, so another instance may have been home",
         [&](owner_fixture& owner) {
             advance_time(owner, milliseconds(4000), cold, 0);
             report_holdings(owner, 1, {});
             report_holdings(owner, 2, {});
             make_rosters(owner, 4);
         },
         ""},
    };
    for (const row& each : rows) {
        // GIVEN an owner in the state of this row
        owner_fixture owner = make_owner();
        each.prepare(owner);
        owner.out.clear();
        // WHEN three slots are requested, with a cold capacity of two
        request(owner, 1, "a");
        request(owner, 2, "b");
        request(owner, 1, "c");
        // THEN only slots that certainly fit are granted
        STRCMP_EQUAL_TEXT(each.granted, replies(owner, true).c_str(), each.name);
    }
}

TEST(slots_owner, queued_requests_are_served_in_order_until_they_expire) {
    // GIVEN a full upstream and three queued requests
    owner_fixture owner = make_ready_owner();
    request(owner, 1, "a");
    request(owner, 1, "b");
    request(owner, 2, "c", milliseconds(300));
    request(owner, 1, "d", milliseconds(300));
    request(owner, 2, "e", milliseconds(50));
    STRCMP_EQUAL("a b ", replies(owner, true).c_str());
    // WHEN the wait limit of one request passes THEN it is refused
    owner.now += milliseconds(100);
    reduce(owner, tick{});
    STRCMP_EQUAL("e ", replies(owner, false).c_str());
    // WHEN a slot is released THEN it is granted to the first request in the queue
    receive(owner, 1, slot_release{cold_upstream, attempt_id{"a"}});
    STRCMP_EQUAL("c ", replies(owner, true).c_str());
    // WHEN a request is repeated THEN it isn't counted twice
    request(owner, 2, "c");
    STRCMP_EQUAL("c ", replies(owner, true).c_str());
    LONGS_EQUAL(2, owner.slots.ledgers.at(cold_upstream).slots.size());
}

TEST(slots_owner, a_lost_release_is_detected_from_holdings) {
    // GIVEN two slots granted to a member, which has ended one attempt but whose release was lost
    owner_fixture owner = make_ready_owner();
    request(owner, 1, "a");
    request(owner, 1, "b");
    advance_time(owner, milliseconds(2000), upstream_condition::cold, 1);
    // WHEN the member reports its holdings twice
    for (int i = 0; i < 2; ++i) {
        report_holdings(owner, 1, {{attempt_id{"b"}, milliseconds(3000), false}});
        advance_time(owner, milliseconds(1500), upstream_condition::cold, 1);
    }
    owner.out.clear();
    // THEN the slot is free again
    request(owner, 2, "c");
    STRCMP_EQUAL("c ", replies(owner, true).c_str());
}

TEST(slots_owner, an_attempt_that_outlives_its_slot_still_counts) {
    // GIVEN a slot whose deadline passes without a release
    owner_fixture owner = make_ready_owner();
    request(owner, 1, "a");
    request(owner, 1, "b");
    owner.now += milliseconds(5301);
    answer_pings(owner);
    owner.out.clear();
    // THEN no slot is granted until the upstream's own count is received
    request(owner, 2, "c");
    STRCMP_EQUAL("", replies(owner, true).c_str());
    // AND the attempt that still runs at the upstream counts afterwards
    advance_time(owner, milliseconds(600), upstream_condition::cold, 1);
    owner.out.clear();
    request(owner, 2, "d");
    request(owner, 2, "e");
    STRCMP_EQUAL("d ", replies(owner, true).c_str());
}

TEST(slots_owner, a_new_slot_is_kept_despite_an_older_holdings_reply) {
    // GIVEN a holdings request in flight while a slot is granted
    owner_fixture owner = make_ready_owner();
    advance_time(owner, milliseconds(2000), upstream_condition::cold, 0);
    request(owner, 1, "a");
    advance_time(owner, milliseconds(100), upstream_condition::cold, 0);
    // WHEN the reply doesn't contain the slot yet
    report_holdings(owner, 1, {});
    // THEN the slot still counts
    LONGS_EQUAL(1, owner.slots.ledgers.at(cold_upstream).slots.size());
}

TEST(slots_owner, indications_of_cold_end_the_warm_condition_at_once) {
    using action = std::function<void(owner_fixture&)>;
    const upstream_report cold_report{cold_upstream, "x", upstream_condition::cold, 1, 8};
    const upstream_report new_report{cold_upstream, "y", upstream_condition::warm, 1, 8};
    const auto ended = [](attempt_outcome outcome, const upstream_report& report) {
        attempt_ended value;
        value.attempt = attempt_id{"run"};
        value.upstream = cold_upstream;
        value.outcome = outcome;
        value.report = report;
        return value;
    };

    struct row {
        const char* name;
        action apply;
        bool cold;
    };

    const std::vector<row> rows = {
        {"response reports cold",
         [&](owner_fixture& owner) { reduce(owner, ended(attempt_outcome::ok, cold_report)); },
         true},
        {"response of a new incarnation",
         [&](owner_fixture& owner) { reduce(owner, ended(attempt_outcome::ok, new_report)); },
         true},
        {"connection died",
         [&](owner_fixture& owner) { reduce(owner, ended(attempt_outcome::died, {})); }, true},
        {"cold notice of a peer",
         [&](owner_fixture& owner) {
             receive(owner, 1, cold_notice{cold_upstream, "x", "died"});
         },
         true},
        {"poll reports cold",
         [&](owner_fixture& owner) {
             advance_time(owner, milliseconds(600), upstream_condition::cold, 1);
         },
         true},
        {"poll of a new incarnation that is cold",
         [&](owner_fixture& owner) {
             owner.now += milliseconds(600);
             answer_pings(owner);
             reduce(owner, tick{});
             answer_poll(owner, upstream_condition::cold, 0, "y");
         },
         true},
        {"failed with an error",
         [&](owner_fixture& owner) { reduce(owner, ended(attempt_outcome::failed, {})); }, false},
    };
    for (const row& each : rows) {
        // GIVEN an owner that declares the upstream warm, with an attempt of its own running there
        owner_fixture owner = make_owner();
        advance_time(owner, milliseconds(3000), upstream_condition::warm, 1);
        record_attempt(owner.slots, attempt_id{"run"},
                       {cold_upstream, owner.now + milliseconds(9000), true, {}, {}});
        CHECK_FALSE_TEXT(needs_slot(owner.slots.upstreams.at(cold_upstream), owner.env, owner.now),
                         each.name);
        // WHEN the event of this row occurs
        each.apply(owner);
        // THEN attempts need slots at once if it indicates cold
        CHECK_TEXT(each.cold ==
                       needs_slot(owner.slots.upstreams.at(cold_upstream), owner.env, owner.now),
                   each.name);
        // AND a declaration of warm that was in flight is ignored
        if (each.cold) {
            const upstream_report warm{cold_upstream, "x", upstream_condition::warm, 1, 8};
            receive(owner, 0, report_notice{1, {warm}});
            CHECK_TEXT(needs_slot(owner.slots.upstreams.at(cold_upstream), owner.env, owner.now),
                       each.name);
        }
    }
}

TEST(slots_owner, the_warm_condition_expires_without_reports) {
    owner_fixture owner = make_owner();
    advance_time(owner, milliseconds(3000), upstream_condition::warm, 1);
    const upstream_state& known = owner.slots.upstreams.at(cold_upstream);
    CHECK_FALSE(needs_slot(known, owner.env, owner.now));
    CHECK(needs_slot(known, owner.env, owner.now + milliseconds(2600)));
}
