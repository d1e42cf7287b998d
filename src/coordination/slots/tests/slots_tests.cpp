#include "coordination/slots/slots.h"

#include <array>
#include <functional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

const upstream_id cold_one{"u1"};

//! One instance that is the home of `u1`, among three, and what it sends.
struct home_fixture {
    environment env;
    std::array<member, 3> everybody;
    roster_state roster;
    documents_state documents;
    slots_state slots;
    instant now{milliseconds(1'000'000)};
    effects out;
};

void make_rosters(home_fixture& fixture, generation_number generation) {
    fixture.roster = make_settled_roster(fixture.env, fixture.everybody, generation, fixture.now);
}

//! All members answer pings sent now.
void hear_all(home_fixture& fixture) {
    for (auto& [id, peer] : fixture.roster.heard) {
        peer.asked_at = fixture.now;
    }
}

void reduce(home_fixture& fixture, const event& happened) {
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

void receive(home_fixture& fixture, std::size_t from, const peer_message& message) {
    reduce(fixture, peer_message_received{fixture.everybody[from].id, message});
}

void poll_answers(home_fixture& fixture, upstream_condition condition, int in_flight,
                  const std::string& incarnation = "x") {
    const upstream_report report{cold_one, incarnation, condition, in_flight, 8};
    reduce(fixture, upstream_polled{cold_one, true, report});
}

//! Ticks, answered pings and polls for `time`.
void pass(home_fixture& fixture, milliseconds time, upstream_condition condition, int in_flight) {
    const instant end = fixture.now + time;
    while (fixture.now < end) {
        fixture.now += fixture.env.timing.tick;
        hear_all(fixture);
        reduce(fixture, tick{});
        poll_answers(fixture, condition, in_flight);
    }
}

home_fixture make_home() {
    home_fixture fixture;
    for (std::size_t i = 0; i < 3; ++i) {
        fixture.everybody.at(i) = {instance_id{"i" + std::to_string(i)}, "127.0.0.1:1",
                                   zone_name{"a"}};
    }
    fixture.env.self = fixture.everybody[0];
    fixture.env.pools.pools[pool_name{"p"}].cold_capacity = 2;
    make_rosters(fixture, 1);
    const auto home = home_of(fixture.roster, home_key(cold_one));
    for (std::size_t i = 0; i < 3; ++i) {
        if (fixture.everybody.at(i) == *home) {
            std::swap(fixture.everybody.at(0), fixture.everybody.at(i));
        }
    }
    fixture.env.self = fixture.everybody[0];
    make_rosters(fixture, 1);
    fixture.documents = make_documents_with(fixture.env, {}, {}, fixture.now);
    const listed_instance listed{"u1", "127.0.0.1:2", zone_name{"a"}, "p", false};
    reduce(fixture, instances_listed{store_status::ok, {listed}});
    return fixture;
}

void report_holdings(home_fixture& fixture, std::size_t from,
                     const std::vector<held_attempt>& held) {
    receive(fixture, from, holdings_reply{generation(fixture.roster), cold_one, held});
}

//! A home that may give slots: tenure old enough, holdings known, nothing held.
home_fixture make_ready_home() {
    home_fixture fixture = make_home();
    pass(fixture, milliseconds(4000), upstream_condition::cold, 0);
    report_holdings(fixture, 1, {});
    report_holdings(fixture, 2, {});
    fixture.out.clear();
    return fixture;
}

void request(home_fixture& fixture, std::size_t from, const std::string& attempt,
             milliseconds waits = milliseconds(0)) {
    receive(fixture, from, slot_request{cold_one, attempt_id{attempt}, milliseconds(5000), waits});
}

//! Names of the slots given, or refused, since the last call.
std::string replies(home_fixture& fixture, bool granted) {
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

TEST_GROUP(slots_home){};

TEST(slots_home, gives_no_slot_before_it_may) {
    struct row {
        const char* name;
        std::function<void(home_fixture&)> prepare;
        const char* granted;
    };

    const auto cold = upstream_condition::cold;
    const std::vector<row> rows = {
        {"nothing known", [](home_fixture&) {}, ""},
        {"tenure too young",
         [&](home_fixture& home) {
             pass(home, milliseconds(2500), cold, 0);
             report_holdings(home, 1, {});
             report_holdings(home, 2, {});
         },
         ""},
        {"one member silent",
         [&](home_fixture& home) {
             pass(home, milliseconds(4000), cold, 0);
             report_holdings(home, 1, {});
         },
         ""},
        {"all known",
         [&](home_fixture& home) {
             pass(home, milliseconds(4000), cold, 0);
             report_holdings(home, 1, {});
             report_holdings(home, 2, {});
         },
         "a b "},
        {"one held elsewhere",
         [&](home_fixture& home) {
             pass(home, milliseconds(4000), cold, 1);
             report_holdings(home, 1, {{attempt_id{"h"}, milliseconds(9000), false}});
             report_holdings(home, 2, {});
             pass(home, milliseconds(600), cold, 1);
         },
         "a "},
        {"holdings of an older generation",
         [&](home_fixture& home) {
             pass(home, milliseconds(4000), cold, 0);
             receive(home, 1, holdings_reply{0, cold_one, {}});
             receive(home, 2, holdings_reply{0, cold_one, {}});
         },
         ""},
        {"silent member bounded by the upstream's own count of none",
         [&](home_fixture& home) { pass(home, milliseconds(16000), cold, 0); }, "a b "},
        {"silent member bounded by the upstream's own count of one",
         [&](home_fixture& home) { pass(home, milliseconds(16000), cold, 1); }, "a "},
        {"silent member past the longest attempt",
         [&](home_fixture& home) { pass(home, milliseconds(66000), cold, 0); }, "a b "},
        {"no majority heard within the fence",
         [&](home_fixture& home) {
             pass(home, milliseconds(4000), cold, 0);
             report_holdings(home, 1, {});
             report_holdings(home, 2, {});
             home.now += milliseconds(2100);
         },
         ""},
        {"generation skipped, so another may have been home",
         [&](home_fixture& home) {
             pass(home, milliseconds(4000), cold, 0);
             report_holdings(home, 1, {});
             report_holdings(home, 2, {});
             make_rosters(home, 4);
         },
         ""},
    };
    for (const row& each : rows) {
        // GIVEN a home of which this much is known
        home_fixture home = make_home();
        each.prepare(home);
        home.out.clear();
        // WHEN three slots are asked for, of a cold capacity of two
        request(home, 1, "a");
        request(home, 2, "b");
        request(home, 1, "c");
        // THEN no more are given than surely fit
        STRCMP_EQUAL_TEXT(each.granted, replies(home, true).c_str(), each.name);
    }
}

TEST(slots_home, waiting_requests_are_served_in_order_until_their_time) {
    // GIVEN a full upstream and three that wait
    home_fixture home = make_ready_home();
    request(home, 1, "a");
    request(home, 1, "b");
    request(home, 2, "c", milliseconds(300));
    request(home, 1, "d", milliseconds(300));
    request(home, 2, "e", milliseconds(50));
    STRCMP_EQUAL("a b ", replies(home, true).c_str());
    // WHEN one's time is over THEN it is refused
    home.now += milliseconds(100);
    reduce(home, tick{});
    STRCMP_EQUAL("e ", replies(home, false).c_str());
    // WHEN a slot is given back THEN the first in the queue has it
    receive(home, 1, slot_release{cold_one, attempt_id{"a"}});
    STRCMP_EQUAL("c ", replies(home, true).c_str());
    // WHEN a request is repeated THEN it isn't counted twice
    request(home, 2, "c");
    STRCMP_EQUAL("c ", replies(home, true).c_str());
    LONGS_EQUAL(2, home.slots.books.at(cold_one).slots.size());
}

TEST(slots_home, a_lost_release_is_found_by_asking) {
    // GIVEN two slots given to a member, one of which it used and ended; the release was lost
    home_fixture home = make_ready_home();
    request(home, 1, "a");
    request(home, 1, "b");
    pass(home, milliseconds(2000), upstream_condition::cold, 1);
    // WHEN it is asked what it holds, and asked again
    for (int i = 0; i < 2; ++i) {
        report_holdings(home, 1, {{attempt_id{"b"}, milliseconds(3000), false}});
        pass(home, milliseconds(1500), upstream_condition::cold, 1);
    }
    home.out.clear();
    // THEN the slot is free again
    request(home, 2, "c");
    STRCMP_EQUAL("c ", replies(home, true).c_str());
}

TEST(slots_home, an_attempt_that_outlives_its_slot_still_counts) {
    // GIVEN a slot whose deadline passes without a release
    home_fixture home = make_ready_home();
    request(home, 1, "a");
    request(home, 1, "b");
    home.now += milliseconds(5301);
    hear_all(home);
    home.out.clear();
    // THEN nothing is given until the upstream's own count is known
    request(home, 2, "c");
    STRCMP_EQUAL("", replies(home, true).c_str());
    // AND what still runs there counts after that
    pass(home, milliseconds(600), upstream_condition::cold, 1);
    home.out.clear();
    request(home, 2, "d");
    request(home, 2, "e");
    STRCMP_EQUAL("d ", replies(home, true).c_str());
}

TEST(slots_home, a_slot_just_given_outlives_an_older_answer) {
    // GIVEN a question for holdings under way as a slot is given
    home_fixture home = make_ready_home();
    pass(home, milliseconds(2000), upstream_condition::cold, 0);
    request(home, 1, "a");
    pass(home, milliseconds(100), upstream_condition::cold, 0);
    // WHEN the answer doesn't name it yet
    report_holdings(home, 1, {});
    // THEN it still counts
    LONGS_EQUAL(1, home.slots.books.at(cold_one).slots.size());
}

TEST(slots_home, signs_of_cold_end_warmth_at_once) {
    using act = std::function<void(home_fixture&)>;
    const upstream_report cold_report{cold_one, "x", upstream_condition::cold, 1, 8};
    const upstream_report new_report{cold_one, "y", upstream_condition::warm, 1, 8};
    const auto ended = [](attempt_outcome outcome, const upstream_report& report) {
        attempt_ended value;
        value.attempt = attempt_id{"run"};
        value.upstream = cold_one;
        value.outcome = outcome;
        value.report = report;
        return value;
    };

    struct row {
        const char* name;
        act sign;
        bool cold;
    };

    const std::vector<row> rows = {
        {"response says cold",
         [&](home_fixture& home) { reduce(home, ended(attempt_outcome::ok, cold_report)); }, true},
        {"response of a new incarnation",
         [&](home_fixture& home) { reduce(home, ended(attempt_outcome::ok, new_report)); }, true},
        {"connection died",
         [&](home_fixture& home) { reduce(home, ended(attempt_outcome::died, {})); }, true},
        {"notice of a peer",
         [&](home_fixture& home) {
             receive(home, 1, cold_notice{cold_one, "x", "died"});
         },
         true},
        {"poll says cold",
         [&](home_fixture& home) { pass(home, milliseconds(600), upstream_condition::cold, 1); },
         true},
        {"poll of a new incarnation that is cold",
         [&](home_fixture& home) {
             home.now += milliseconds(600);
             hear_all(home);
             reduce(home, tick{});
             poll_answers(home, upstream_condition::cold, 0, "y");
         },
         true},
        {"failed with an error",
         [&](home_fixture& home) { reduce(home, ended(attempt_outcome::failed, {})); }, false},
    };
    for (const row& each : rows) {
        // GIVEN a home that says warm, with an attempt running here
        home_fixture home = make_home();
        pass(home, milliseconds(3000), upstream_condition::warm, 1);
        note_attempt(home.slots, attempt_id{"run"},
                     {cold_one, home.now + milliseconds(9000), true, {}, {}});
        CHECK_FALSE_TEXT(needs_slot(home.slots.known.at(cold_one), home.env, home.now), each.name);
        // WHEN the sign comes
        each.sign(home);
        // THEN slots are needed from this moment on
        CHECK_TEXT(each.cold == needs_slot(home.slots.known.at(cold_one), home.env, home.now),
                   each.name);
        // AND a verdict of warmth that was under way changes nothing
        if (each.cold) {
            const upstream_report warm{cold_one, "x", upstream_condition::warm, 1, 8};
            receive(home, 0, report_notice{1, {warm}});
            CHECK_TEXT(needs_slot(home.slots.known.at(cold_one), home.env, home.now), each.name);
        }
    }
}

TEST(slots_home, warmth_lapses_without_news) {
    home_fixture home = make_home();
    pass(home, milliseconds(3000), upstream_condition::warm, 1);
    const known_upstream& known = home.slots.known.at(cold_one);
    CHECK_FALSE(needs_slot(known, home.env, home.now));
    CHECK(needs_slot(known, home.env, home.now + milliseconds(2600)));
}
