#include "coordination/registry/registry.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

//! Two askers and a home; claims are made by hand.
struct home {
    environment env;
    roster_state roster;
    registry_state registry = make_registry();
    std::vector<member> all{{{"home"}, {}, {}}, {{"a"}, {}, {}}, {{"b"}, {}, {}}};
    instant now{std::chrono::hours(1)};
    std::string key;

    home() {
        env.self = all[0];
        roster = make_settled_roster(env, all, 1, now);
        for (int number = 0; key.empty(); ++number) {
            const std::string wanted = "key-" + std::to_string(number);
            const auto found = home_of(roster, "request/w/" + wanted);
            key = found->id == env.self.id ? wanted : std::string{};
        }
    }

    effects post(const event& happened) {
        effects out;
        reduce_registry(registry, env, roster, happened, now, out);
        return out;
    }

    claim_reply claim(const std::string& from, const std::string& request,
                      const std::string& body = "body") {
        const claim_request wanted{1, {"w"}, {key}, {body}, {request}, milliseconds(5000)};
        const effects out = post(peer_message_received{{from}, wanted});
        return std::get<claim_reply>(std::get<send_to_peer>(out.front()).message);
    }
};

}  // namespace

TEST_GROUP(registry){};

TEST(registry, a_repeat_joins_the_running_request) {
    // GIVEN a claim
    home at;
    CHECK_TRUE(at.claim("a", "first").verdict == claim_verdict::run);
    // WHEN the key comes again, by another and by the same, and with another body
    const claim_reply repeat = at.claim("b", "second");
    // THEN the other joins
    CHECK_TRUE(repeat.verdict == claim_verdict::join);
    STRCMP_EQUAL("first", repeat.request.value.c_str());
    STRCMP_EQUAL("a", repeat.runner.id.value.c_str());
    CHECK_TRUE(at.claim("a", "first").verdict == claim_verdict::run);
    CHECK_TRUE(at.claim("b", "third", "other").verdict == claim_verdict::key_reused);
}

TEST(registry, the_next_runner_gets_the_finished_stages) {
    // GIVEN a runner that finished two stages, one of them too large to keep
    home at;
    at.claim("a", "first");
    at.post(
        peer_message_received{{"a"}, claim_progress{{"w"}, {at.key}, {"first"}, {{"s1"}, "x"}}});
    const std::string large(registry_limits::stage_bytes + 1, 'x');
    at.post(
        peer_message_received{{"a"}, claim_progress{{"w"}, {at.key}, {"first"}, {{"s2"}, large}}});
    // WHEN it leaves the roster and the key comes again
    const std::vector<member> rest{at.all[0], at.all[2]};
    at.roster = make_settled_roster(at.env, rest, 2, at.now);
    const claim_reply repeat = at.claim("b", "second");
    // THEN the next one goes on from there, and the first one's news counts no more
    CHECK_TRUE(repeat.verdict == claim_verdict::run);
    LONGS_EQUAL(1, repeat.finished_stages.size());
    at.post(peer_message_received{{"a"}, claim_end{{"w"}, {at.key}, {"first"}}});
    CHECK_FALSE(at.registry.claims.begin()->second.ended);
}

TEST(registry, an_ended_claim_is_joined_for_a_while) {
    home at;
    at.claim("a", "first");
    at.post(peer_message_received{{"a"}, claim_end{{"w"}, {at.key}, {"first"}}});
    at.now += registry_limits::kept_after_end;
    at.roster = make_settled_roster(at.env, at.all, 1, at.now);
    CHECK_TRUE(at.claim("b", "second").verdict == claim_verdict::join);
    at.now += milliseconds(1);
    CHECK_TRUE(at.claim("b", "third").verdict == claim_verdict::run);
}

TEST(registry, goes_on_alone_without_a_home) {
    // GIVEN a home that is silent, and one that may not act
    home at;
    const claim_request wanted{7, {"w"}, {"elsewhere"}, {"body"}, {"first"}, milliseconds(5000)};
    at.post(claim_wanted{wanted});
    at.now += registry_limits::reply_timeout;
    // WHEN the time limit is over
    const effects out = at.post(tick{});
    // THEN the request is told so
    const auto decided = std::get<claim_decided>(out.back());
    CHECK_TRUE(decided.reply.verdict == claim_verdict::no_home);
    LONGS_EQUAL(7, decided.reply.number);
    at.now += std::chrono::minutes(1);
    CHECK_TRUE(at.claim("a", "first").verdict == claim_verdict::no_home);
}

TEST(registry, memory_is_bounded) {
    home at;
    for (std::size_t count = 0; count < 20000; ++count) {
        const std::string key = std::to_string(count);
        const claim_request wanted{1, {"w"}, {key}, {"b"}, {"r"}, milliseconds(5000)};
        at.post(peer_message_received{{"a"}, wanted});
        const std::string output(registry_limits::stage_bytes, 'x');
        at.post(peer_message_received{{"a"}, claim_progress{{"w"}, {key}, {"r"}, {{"s"}, output}}});
    }
    CHECK_TRUE(at.registry.claims.size() <= registry_limits::claims);
    CHECK_TRUE(at.registry.bytes <= registry_limits::total_bytes);
    at.now += std::chrono::minutes(5);
    at.post(tick{});
    LONGS_EQUAL(0, at.registry.claims.size());
    LONGS_EQUAL(0, at.registry.bytes);
}
