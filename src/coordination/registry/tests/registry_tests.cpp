#include "coordination/registry/registry.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

//! The owner of `key` and two requesters, `a` and `b`, whose messages are posted by hand.
struct owner_fixture {
    environment env;
    roster_state roster;
    registry_state registry = make_registry();
    std::vector<member> all{{{"home"}, {}, {}}, {{"a"}, {}, {}}, {{"b"}, {}, {}}};
    instant now{std::chrono::hours(1)};
    std::string key;

    owner_fixture() {
        env.self = all[0];
        roster = make_settled_roster(env, all, 1, now);
        for (int number = 0; key.empty(); ++number) {
            const std::string wanted = "key-" + std::to_string(number);
            const auto found = owner_of(roster, "request/w/" + wanted);
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

TEST(registry, a_repeated_request_joins_the_running_one) {
    // GIVEN a claim
    owner_fixture owner;
    CHECK_TRUE(owner.claim("a", "first").verdict == claim_verdict::run);
    // WHEN the key is claimed again by another request, by the same request, and with another body
    const claim_reply repeat = owner.claim("b", "second");
    // THEN the other request joins, the same request runs, and the other body is rejected
    CHECK_TRUE(repeat.verdict == claim_verdict::join);
    STRCMP_EQUAL("first", repeat.request.value.c_str());
    STRCMP_EQUAL("a", repeat.runner.id.value.c_str());
    CHECK_TRUE(owner.claim("a", "first").verdict == claim_verdict::run);
    CHECK_TRUE(owner.claim("b", "third", "other").verdict == claim_verdict::key_reused);
}

TEST(registry, the_next_runner_gets_the_finished_stages) {
    // GIVEN a runner that finished two stages, one of them too large to keep
    owner_fixture owner;
    owner.claim("a", "first");
    owner.post(
        peer_message_received{{"a"}, claim_progress{{"w"}, {owner.key}, {"first"}, {{"s1"}, "x"}}});
    const std::string large(registry_limits::max_stage_bytes + 1, 'x');
    owner.post(peer_message_received{
        {"a"}, claim_progress{{"w"}, {owner.key}, {"first"}, {{"s2"}, large}}});
    // WHEN the runner leaves the roster and another request claims the key
    const std::vector<member> rest{owner.all[0], owner.all[2]};
    owner.roster = make_settled_roster(owner.env, rest, 2, owner.now);
    const claim_reply repeat = owner.claim("b", "second");
    // THEN that request runs with the kept stage result, and the end of the first one is ignored
    CHECK_TRUE(repeat.verdict == claim_verdict::run);
    LONGS_EQUAL(1, repeat.finished_stages.size());
    owner.post(peer_message_received{{"a"}, claim_end{{"w"}, {owner.key}, {"first"}}});
    CHECK_FALSE(owner.registry.claims.begin()->second.ended);
}

TEST(registry, an_ended_claim_is_joined_for_a_while) {
    owner_fixture owner;
    owner.claim("a", "first");
    owner.post(peer_message_received{{"a"}, claim_end{{"w"}, {owner.key}, {"first"}}});
    owner.now += registry_limits::retention_after_end;
    owner.roster = make_settled_roster(owner.env, owner.all, 1, owner.now);
    CHECK_TRUE(owner.claim("b", "second").verdict == claim_verdict::join);
    owner.now += milliseconds(1);
    CHECK_TRUE(owner.claim("b", "third").verdict == claim_verdict::run);
}

TEST(registry, a_request_runs_without_a_claim_if_no_owner_replies) {
    // GIVEN an unresponsive owner, and later an owner without a valid owner lease
    owner_fixture owner;
    const claim_request wanted{7, {"w"}, {"elsewhere"}, {"body"}, {"first"}, milliseconds(5000)};
    owner.post(claim_wanted{wanted});
    owner.now += registry_limits::reply_timeout;
    // WHEN the reply timeout is over
    const effects out = owner.post(tick{});
    // THEN both claims end with the result that no instance may act as owner
    const auto decided = std::get<claim_decided>(out.back());
    CHECK_TRUE(decided.reply.verdict == claim_verdict::no_home);
    LONGS_EQUAL(7, decided.reply.number);
    owner.now += std::chrono::minutes(1);
    CHECK_TRUE(owner.claim("a", "first").verdict == claim_verdict::no_home);
}

TEST(registry, memory_is_bounded) {
    owner_fixture owner;
    for (std::size_t count = 0; count < 20000; ++count) {
        const std::string key = std::to_string(count);
        const claim_request wanted{1, {"w"}, {key}, {"b"}, {"r"}, milliseconds(5000)};
        owner.post(peer_message_received{{"a"}, wanted});
        const std::string output(registry_limits::max_stage_bytes, 'x');
        owner.post(
            peer_message_received{{"a"}, claim_progress{{"w"}, {key}, {"r"}, {{"s"}, output}}});
    }
    CHECK_TRUE(owner.registry.claims.size() <= registry_limits::max_claims);
    CHECK_TRUE(owner.registry.bytes <= registry_limits::max_total_bytes);
    owner.now += std::chrono::minutes(5);
    owner.post(tick{});
    LONGS_EQUAL(0, owner.registry.claims.size());
    LONGS_EQUAL(0, owner.registry.bytes);
}
