#include "coordination/quarantine/quarantine.h"

#include <deque>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

struct instance {
    environment env;
    roster_state roster;
    quarantine_state quarantine;
};

//! Test fleet whose messages are delivered without delay.
struct test_fleet {
    std::vector<instance> instances;
    std::map<attempt_id, trial_reply> replies;
    std::deque<std::pair<instance_id, send_to_peer>> messages;
    int next_attempt{1};
    instant now{std::chrono::hours(1)};

    void post(std::size_t index, const event& happened) {
        instance& value = instances[index];
        effects out;
        reduce_quarantine(value.quarantine, value.env, value.roster, happened, now, out);
        for (effect& emitted : out) {
            messages.emplace_back(value.env.self.id, std::get<send_to_peer>(std::move(emitted)));
        }
    }

    void pump() {
        while (!messages.empty()) {
            const auto [from, sent] = messages.front();
            messages.pop_front();
            if (const auto* reply = std::get_if<trial_reply>(&sent.message)) {
                replies[reply->attempt] = *reply;
            }
            for (std::size_t index = 0; index < instances.size(); ++index) {
                if (instances[index].env.self.id == sent.to.id) {
                    post(index, peer_message_received{from, sent.message});
                }
            }
        }
    }

    void set_roster(const std::vector<std::size_t>& member_indexes, generation_number generation) {
        std::vector<member> members;
        for (const std::size_t index : member_indexes) {
            members.push_back(instances[index].env.self);
        }
        for (const std::size_t index : member_indexes) {
            instance& value = instances[index];
            value.roster = make_settled_roster(value.env, members, generation, now);
            post(index, tick{});
        }
        pump();
    }

    //! Requests permission for an attempt from the owner, as dispatch does.
    attempt_id request_attempt(std::size_t index, const std::string& body,
                               const std::string& pool = "engine") {
        const attempt_id attempt{"attempt-" + std::to_string(next_attempt++)};
        attempt_wanted wanted;
        wanted.attempt = attempt;
        wanted.body = {body};
        wanted.pool = {pool};
        wanted.time_left = milliseconds(5000);
        post(index, wanted);
        effects out;
        const fingerprint body_in_pool = pool_fingerprint(wanted.body, wanted.pool);
        request_trial(instances[index].roster, {1, body_in_pool, attempt, wanted.time_left}, out);
        messages.emplace_back(instances[index].env.self.id,
                              std::get<send_to_peer>(std::move(out.front())));
        pump();
        return attempt;
    }

    void end_attempt(std::size_t index, const attempt_id& attempt, const std::string& upstream,
                     attempt_outcome outcome) {
        attempt_ended ended;
        ended.attempt = attempt;
        ended.upstream = {upstream};
        ended.outcome = outcome;
        post(index, ended);
        pump();
    }

    [[nodiscard]] bool is_granted(const attempt_id& attempt) const {
        const auto found = replies.find(attempt);
        return found != replies.end() && found->second.granted;
    }
};

test_fleet make_fleet() {
    test_fleet fleet;
    for (const char* id : {"a", "b", "c"}) {
        instance value;
        value.env.self = {{id}, {}, {"zone"}};
        fleet.instances.push_back(std::move(value));
    }
    fleet.set_roster({0, 1, 2}, 1);
    fleet.now += std::chrono::minutes(2);
    fleet.set_roster({0, 1, 2}, 1);
    return fleet;
}

//! Index of the instance that owns a fingerprint in the pool `engine`.
std::size_t owner_index(const test_fleet& fleet, const std::string& body) {
    const fingerprint body_in_pool = pool_fingerprint({body}, {"engine"});
    const auto owner = owner_of(fleet.instances[0].roster, "fingerprint/" + body_in_pool.value);
    for (std::size_t index = 0;; ++index) {
        if (fleet.instances[index].env.self.id == owner->id) {
            return index;
        }
    }
}

}  // namespace

TEST_GROUP(quarantine){};

TEST(quarantine, at_most_two_upstreams_crash_on_one_fingerprint) {
    // GIVEN a request that crashes every upstream, sent through all instances
    test_fleet fleet = make_fleet();
    int crashed = 0;
    for (int round = 0; round < 5; ++round) {
        std::vector<std::pair<std::size_t, attempt_id>> started;
        for (std::size_t index = 0; index < 3; ++index) {
            const attempt_id attempt = fleet.request_attempt(index, "crash");
            if (fleet.is_granted(attempt)) {
                started.emplace_back(index, attempt);
            }
        }
        for (const auto& [index, attempt] : started) {
            ++crashed;
            fleet.end_attempt(index, attempt, "upstream-" + std::to_string(crashed),
                              attempt_outcome::died);
        }
        fleet.now += milliseconds(100);
    }
    // THEN two upstreams crash, and all instances quarantine the request
    LONGS_EQUAL(2, crashed);
    for (const instance& value : fleet.instances) {
        CHECK_TRUE(is_quarantined(value.quarantine, {"crash"}));
    }
}

TEST(quarantine, a_new_owner_waits_for_attempts_of_the_previous_owner) {
    // GIVEN one crashed upstream, and a second running attempt
    test_fleet fleet = make_fleet();
    const std::size_t owner = owner_index(fleet, "crash");
    const std::size_t other = (owner + 1) % 3;
    const std::size_t third = (owner + 2) % 3;
    const attempt_id first = fleet.request_attempt(other, "crash");
    fleet.end_attempt(other, first, "upstream-1", attempt_outcome::died);
    CHECK_TRUE(is_suspect(fleet.instances[third].quarantine, {"crash"}));
    const attempt_id second = fleet.request_attempt(third, "crash");
    CHECK_TRUE(fleet.is_granted(second));
    // WHEN another instance becomes the owner during the second attempt
    fleet.set_roster({other, third}, 2);
    const attempt_id early = fleet.request_attempt(other, "crash");
    // THEN the new owner permits no attempt that could crash a third upstream
    CHECK_FALSE(fleet.is_granted(early));
    fleet.end_attempt(third, second, "upstream-2", attempt_outcome::died);
    const attempt_id late = fleet.request_attempt(other, "crash");
    CHECK_TRUE(fleet.replies.at(late).quarantined);
}

TEST(quarantine, a_suspect_is_cleared_by_completing_in_its_pool) {
    const struct {
        const char* pool;
        attempt_outcome outcome;
        bool cleared;
    } cases[] = {{"engine", attempt_outcome::ok, true},
                 {"engine", attempt_outcome::failed, false},
                 {"engine", attempt_outcome::cancelled, false},
                 {"encoder", attempt_outcome::ok, false}};

    for (const auto& row : cases) {
        // GIVEN a suspect: a fingerprint that was running when an upstream crashed
        test_fleet fleet = make_fleet();
        fleet.end_attempt(0, fleet.request_attempt(0, "innocent"), "upstream-1",
                          attempt_outcome::died);
        // WHEN it runs again in the same or another pool
        fleet.end_attempt(1, fleet.request_attempt(1, "innocent", row.pool), "upstream-2",
                          row.outcome);
        // THEN only completing in the pool of the crash clears it, on all instances
        for (const instance& value : fleet.instances) {
            LONGS_EQUAL(row.cleared, !is_suspect(value.quarantine, {"innocent"}));
        }
    }
}

TEST(quarantine, a_completed_fingerprint_runs_without_limit) {
    test_fleet fleet = make_fleet();
    fleet.end_attempt(0, fleet.request_attempt(0, "popular"), "upstream-1", attempt_outcome::ok);
    for (int count = 0; count < 20; ++count) {
        CHECK_TRUE(fleet.is_granted(
            fleet.request_attempt(static_cast<std::size_t>(count) % 3, "popular")));
    }
}

TEST(quarantine, peers_exchange_suspects_if_their_digests_differ) {
    // GIVEN an instance that missed a notice about a suspect
    test_fleet fleet = make_fleet();
    fleet.end_attempt(0, fleet.request_attempt(0, "crash"), "upstream-1", attempt_outcome::died);
    fleet.instances[2].quarantine = make_quarantine();
    // WHEN the instance pings a peer
    ping message;
    message.versions.quarantine_digest = quarantine_digest(fleet.instances[2].quarantine);
    fleet.post(0, peer_message_received{{"c"}, message});
    fleet.pump();
    // THEN the instance receives the suspect, and the digests are equal
    CHECK_TRUE(is_suspect(fleet.instances[2].quarantine, {"crash"}));
    CHECK_TRUE(quarantine_digest(fleet.instances[0].quarantine) ==
               quarantine_digest(fleet.instances[2].quarantine));
}

TEST(quarantine, memory_is_bounded) {
    test_fleet fleet = make_fleet();
    for (std::size_t count = 0; count < quarantine_limits::max_ledgers + 100; ++count) {
        const attempt_id attempt = fleet.request_attempt(0, "body-" + std::to_string(count));
        fleet.end_attempt(0, attempt, "upstream-" + std::to_string(count), attempt_outcome::died);
    }
    for (const instance& value : fleet.instances) {
        CHECK_TRUE(value.quarantine.suspects.size() <= quarantine_limits::max_suspects);
        CHECK_TRUE(value.quarantine.ledgers.size() <= quarantine_limits::max_ledgers);
        CHECK_TRUE(value.quarantine.local_attempts.empty());
    }
}
