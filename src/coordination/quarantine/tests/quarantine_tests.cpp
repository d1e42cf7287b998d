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

//! A few instances whose messages are delivered at once.
struct fleet {
    std::vector<instance> instances;
    std::map<attempt_id, trial_reply> replies;
    std::deque<std::pair<instance_id, send_to_peer>> messages;
    int next_attempt{1};
    instant now{std::chrono::hours(1)};

    void post(std::size_t index, const event& happened) {
        instance& value = instances[index];
        effects out;
        reduce_quarantine(value.quarantine, value.env, value.roster, happened, now, out);
        for (effect& made : out) {
            messages.emplace_back(value.env.self.id, std::get<send_to_peer>(std::move(made)));
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

    void set_roster(const std::vector<std::size_t>& seen, generation_number generation) {
        std::vector<member> all;
        for (const std::size_t index : seen) {
            all.push_back(instances[index].env.self);
        }
        for (const std::size_t index : seen) {
            instance& value = instances[index];
            value.roster = make_settled_roster(value.env, all, generation, now);
            post(index, tick{});
        }
        pump();
    }

    //! Asks for one attempt, as dispatch does.
    attempt_id ask(std::size_t index, const std::string& body, const std::string& pool = "engine") {
        const attempt_id attempt{"attempt-" + std::to_string(next_attempt++)};
        attempt_wanted wanted;
        wanted.attempt = attempt;
        wanted.body = {body};
        wanted.pool = {pool};
        wanted.time_left = milliseconds(5000);
        post(index, wanted);
        effects out;
        const fingerprint tried = tried_in(wanted.body, wanted.pool);
        ask_trial(instances[index].roster, {1, tried, attempt, wanted.time_left}, out);
        messages.emplace_back(instances[index].env.self.id,
                              std::get<send_to_peer>(std::move(out.front())));
        pump();
        return attempt;
    }

    void end(std::size_t index, const attempt_id& attempt, const std::string& upstream,
             attempt_outcome outcome) {
        attempt_ended ended;
        ended.attempt = attempt;
        ended.upstream = {upstream};
        ended.outcome = outcome;
        post(index, ended);
        pump();
    }

    [[nodiscard]] bool granted(const attempt_id& attempt) const {
        const auto found = replies.find(attempt);
        return found != replies.end() && found->second.granted;
    }
};

fleet make_fleet() {
    fleet all;
    for (const char* id : {"a", "b", "c"}) {
        instance value;
        value.env.self = {{id}, {}, {"zone"}};
        all.instances.push_back(std::move(value));
    }
    all.set_roster({0, 1, 2}, 1);
    all.now += std::chrono::minutes(2);
    all.set_roster({0, 1, 2}, 1);
    return all;
}

//! The instance that answers for a fingerprint, as everybody sees it.
std::size_t home_index(const fleet& all, const std::string& body) {
    const fingerprint tried = tried_in({body}, {"engine"});
    const auto home = home_of(all.instances[0].roster, "fingerprint/" + tried.value);
    for (std::size_t index = 0;; ++index) {
        if (all.instances[index].env.self.id == home->id) {
            return index;
        }
    }
}

}  // namespace

TEST_GROUP(quarantine){};

TEST(quarantine, at_most_two_upstreams_fall_to_one_body) {
    // GIVEN a body that crashes what runs it, sent through every instance at once
    fleet all = make_fleet();
    int fallen = 0;
    for (int round = 0; round < 5; ++round) {
        std::vector<std::pair<std::size_t, attempt_id>> started;
        for (std::size_t index = 0; index < 3; ++index) {
            const attempt_id attempt = all.ask(index, "crash");
            if (all.granted(attempt)) {
                started.emplace_back(index, attempt);
            }
        }
        for (const auto& [index, attempt] : started) {
            ++fallen;
            all.end(index, attempt, "upstream-" + std::to_string(fallen), attempt_outcome::died);
        }
        all.now += milliseconds(100);
    }
    // THEN two upstreams fall, and everybody knows it
    LONGS_EQUAL(2, fallen);
    for (const instance& value : all.instances) {
        CHECK_TRUE(is_quarantined(value.quarantine, {"crash"}));
    }
}

TEST(quarantine, one_after_the_other_through_a_new_home) {
    // GIVEN one upstream that fell
    fleet all = make_fleet();
    const std::size_t home = home_index(all, "crash");
    const std::size_t other = (home + 1) % 3;
    const std::size_t third = (home + 2) % 3;
    const attempt_id first = all.ask(other, "crash");
    all.end(other, first, "upstream-1", attempt_outcome::died);
    CHECK_TRUE(is_suspect(all.instances[third].quarantine, {"crash"}));
    const attempt_id second = all.ask(third, "crash");
    CHECK_TRUE(all.granted(second));
    // WHEN another becomes its home while the second attempt runs
    all.set_roster({other, third}, 2);
    const attempt_id early = all.ask(other, "crash");
    // THEN it lets nothing start that could be a third
    CHECK_FALSE(all.granted(early));
    all.end(third, second, "upstream-2", attempt_outcome::died);
    const attempt_id late = all.ask(other, "crash");
    CHECK_TRUE(all.replies.at(late).quarantined);
}

TEST(quarantine, innocent_ones_are_cleared_by_running_through) {
    const struct {
        const char* pool;
        attempt_outcome outcome;
        bool cleared;
    } cases[] = {{"engine", attempt_outcome::ok, true},
                 {"engine", attempt_outcome::failed, false},
                 {"engine", attempt_outcome::cancelled, false},
                 {"encoder", attempt_outcome::ok, false}};

    for (const auto& row : cases) {
        // GIVEN a suspect that ran beside a crash
        fleet all = make_fleet();
        all.end(0, all.ask(0, "innocent"), "upstream-1", attempt_outcome::died);
        // WHEN it runs again, in some pool
        all.end(1, all.ask(1, "innocent", row.pool), "upstream-2", row.outcome);
        // THEN only running through where it was suspected clears it, everywhere
        for (const instance& value : all.instances) {
            LONGS_EQUAL(row.cleared, !is_suspect(value.quarantine, {"innocent"}));
        }
    }
}

TEST(quarantine, many_at_once_once_it_has_run_through) {
    fleet all = make_fleet();
    all.end(0, all.ask(0, "popular"), "upstream-1", attempt_outcome::ok);
    for (int count = 0; count < 20; ++count) {
        CHECK_TRUE(all.granted(all.ask(static_cast<std::size_t>(count) % 3, "popular")));
    }
}

TEST(quarantine, differing_peers_tell_each_other_on_a_ping) {
    // GIVEN one that missed a notice
    fleet all = make_fleet();
    all.end(0, all.ask(0, "crash"), "upstream-1", attempt_outcome::died);
    all.instances[2].quarantine = make_quarantine();
    // WHEN it pings
    ping heard;
    heard.versions.quarantine_digest = quarantine_digest(all.instances[2].quarantine);
    all.post(0, peer_message_received{{"c"}, heard});
    all.pump();
    // THEN it knows, and the digests agree
    CHECK_TRUE(is_suspect(all.instances[2].quarantine, {"crash"}));
    CHECK_TRUE(quarantine_digest(all.instances[0].quarantine) ==
               quarantine_digest(all.instances[2].quarantine));
}

TEST(quarantine, memory_is_bounded) {
    fleet all = make_fleet();
    for (std::size_t count = 0; count < quarantine_limits::books + 100; ++count) {
        const attempt_id attempt = all.ask(0, "body-" + std::to_string(count));
        all.end(0, attempt, "upstream-" + std::to_string(count), attempt_outcome::died);
    }
    for (const instance& value : all.instances) {
        CHECK_TRUE(value.quarantine.suspects.size() <= quarantine_limits::suspects);
        CHECK_TRUE(value.quarantine.books.size() <= quarantine_limits::books);
        CHECK_TRUE(value.quarantine.running_here.empty());
    }
}
