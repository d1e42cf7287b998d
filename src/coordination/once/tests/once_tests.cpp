#include "coordination/once/internal/journal.h"
#include "coordination/once/tests/once_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

const call_outcome booked{true, 200, "{\"booked\":true}"};

void check_verdict(const fleet& all, ticket number, permit_verdict expected) {
    CHECK_TRUE(all.decisions.contains(number));
    LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(all.verdict(number)));
}

//! Fills the key's shard with finished entries that are `age` old, as a former home left it.
void fill_journal(fleet& all, const std::string& key, milliseconds age) {
    const std::string object = object_of(all, key);
    detail::journal_content content;
    content.header = {"former", 1, age};
    std::size_t bytes = 0;
    for (int number = 0; bytes < once_limits::journal_bytes; ++number) {
        journal_entry entry;
        entry.permit = "former/" + std::to_string(number);
        entry.body.value = std::string(64, 'f');
        entry.phase = call_phase::unknown;
        const journal_key name{{std::string(100, 'w')}, {std::to_string(number)}};
        detail::encode_entry(name, entry);
        bytes += entry.line.size();
        content.entries.emplace(name, entry);
    }
    all.store.objects[object] = {object, ++all.store.revision,
                                 detail::encode_journal(content.header, content.entries), false};
}

}  // namespace

TEST_GROUP(once){};

TEST(once, grants_once_and_tells_the_outcome_to_repeats_at_any_instance) {
    // GIVEN a call that ran
    fleet all = make_fleet(3);
    const std::string key = all.key_of_home(0, 0);
    const ticket first = all.ask(1, key);
    all.pump();
    check_verdict(all, first, permit_verdict::granted);
    // WHEN its key comes again through others while it runs, and after it
    const ticket meanwhile = all.ask(2, key);
    const ticket other_body = all.ask(0, key, "other");
    all.pump();
    all.end_call(1, key, first, booked);
    all.pass(once_limits::outcome_delay + milliseconds(500));
    const ticket later = all.ask(2, key);
    all.pump();
    // THEN they hear what is known
    check_verdict(all, meanwhile, permit_verdict::running);
    check_verdict(all, other_body, permit_verdict::key_reused);
    check_verdict(all, later, permit_verdict::done);
    STRCMP_EQUAL(booked.body.c_str(), all.decisions.at(later).reply.outcome.body.c_str());
    CHECK_TRUE(is_settled(all.instances[1].once));
}

TEST(once, grants_one_of_repeats_at_the_same_moment) {
    fleet all = make_fleet(3);
    const std::string key = all.key_of_home(0, 0);
    const ticket asked[] = {all.ask(0, key), all.ask(1, key), all.ask(2, key)};
    all.pump();
    int granted = 0;
    for (const ticket number : asked) {
        granted += all.is_granted(number) ? 1 : 0;
    }
    LONGS_EQUAL(1, granted);
}

TEST(once, survives_faults_of_one_store_write) {
    const struct {
        store_fault fault;
        const char* name;
    } cases[] = {{store_fault::none, "none"},
                 {store_fault::lost_before, "lost before its effect"},
                 {store_fault::lost_after, "lost after its effect"},
                 {store_fault::late, "late"},
                 {store_fault::refused, "refused"}};

    for (const auto& row : cases) {
        // GIVEN a write that meets the fault
        fleet all = make_fleet(3);
        const std::string key = all.key_of_home(0, 0);
        all.store.next_writes = {row.fault};
        // WHEN a call is wanted, and repeated later, with the late write landing between
        const ticket first = all.ask(1, key);
        all.pass(milliseconds(900));
        all.store.release_late();
        const ticket second = all.ask(2, key);
        const ticket other = all.ask(2, all.key_of_home(0, 0) + "-other");
        all.pass(milliseconds(900));
        // THEN it is granted once, and the shard goes on
        CHECK_TRUE_TEXT(all.is_granted(first), row.name);
        check_verdict(all, second, permit_verdict::running);
        CHECK_TRUE_TEXT(all.is_granted(other), row.name);
    }
}

TEST(once, refuses_truly_while_the_store_is_down) {
    // GIVEN a write whose fate nobody can say
    for (const store_fault fault : {store_fault::lost_before, store_fault::lost_after}) {
        fleet all = make_fleet(3);
        const std::string key = all.key_of_home(0, 0);
        all.store.next_writes = {fault};
        const ticket first = all.ask(1, key);
        all.store.answer(store_read{});
        all.deliver(all.messages.front());
        all.messages.clear();
        all.carry_out(all.calls.front());
        all.calls.pop_front();
        all.store.down = true;
        all.pass(milliseconds(700));
        check_verdict(all, first, permit_verdict::store_unavailable);
        // WHEN the store is back
        all.store.down = false;
        all.pass(milliseconds(2000));
        const ticket second = all.ask(2, key);
        all.pass(milliseconds(500));
        // THEN the repeat runs, since the first did not
        check_verdict(all, second, permit_verdict::granted);
    }
}

TEST(once, runner_killed) {
    enum class when { before_write, before_call, after_call };
    for (const when moment : {when::before_write, when::before_call, when::after_call}) {
        // GIVEN a runner that dies at the moment
        fleet all = make_fleet(3);
        const std::string key = all.key_of_home(0, 0);
        const ticket first = all.ask(1, key);
        if (moment == when::before_write) {
            all.instances[1].dead = true;
        }
        all.pump();
        all.instances[1].dead = true;
        // WHEN the key comes again before and after the runner has left the roster
        const ticket soon = all.ask(2, key);
        all.pump();
        all.set_view(0, {0, 2}, 2);
        all.set_view(2, {0, 2}, 2);
        all.pass(milliseconds(200));
        const ticket later = all.ask(2, key);
        all.pass(milliseconds(900));
        // THEN it isn't run again
        LONGS_EQUAL(moment == when::before_write ? 0 : 1, all.is_granted(first) ? 1 : 0);
        check_verdict(all, soon, permit_verdict::running);
        check_verdict(all, later, permit_verdict::unknown_outcome);
    }
}

TEST(once, runs_again_if_the_asking_home_died_before_the_write) {
    // GIVEN a home that asks itself and dies before its write arrives
    fleet all = make_fleet(3);
    const std::string key = all.key_of_home(0, 0);
    all.ask(0, key);
    all.deliver(all.messages.front());
    all.messages.clear();
    all.calls.clear();
    all.instances[0].dead = true;
    // WHEN the key comes again to the next home
    all.set_view(1, {1, 2}, 2);
    all.set_view(2, {1, 2}, 2);
    all.pass(milliseconds(300));
    const ticket second = all.ask(2, key);
    all.pass(milliseconds(500));
    // THEN it runs
    check_verdict(all, second, permit_verdict::granted);
}

TEST(once, an_old_homes_write_after_the_new_homes_grants_nothing) {
    // GIVEN a home that is paused with a write under way
    fleet all = make_fleet(3);
    const std::string key = all.key_of_home(0, 0);
    const ticket first = all.ask(0, key);
    all.deliver(all.messages.front());
    all.messages.clear();
    all.instances[0].paused = true;
    // WHEN others take over, grant the key, and the old home wakes and still believes
    all.set_view(1, {1, 2}, 2);
    all.set_view(2, {1, 2}, 2);
    all.pass(milliseconds(500));
    const ticket second = all.ask(2, key);
    all.pass(milliseconds(300));
    all.instances[0].paused = false;
    all.pass(milliseconds(3000));
    // THEN only the new home's permit was given
    check_verdict(all, second, permit_verdict::granted);
    CHECK_FALSE(all.is_granted(first));
}

TEST(once, hands_the_journal_over) {
    // GIVEN a call that ran and one whose runner is at work
    fleet all = make_fleet(3);
    const std::string key = all.key_of_home(0, 0);
    const ticket first = all.ask(1, key);
    all.pass(milliseconds(200));
    all.end_call(1, key, first, booked);
    all.pass(once_limits::outcome_delay + milliseconds(500));
    // WHEN the home leaves
    all.set_view(1, {1, 2}, 2);
    all.set_view(2, {1, 2}, 2);
    all.instances[0].dead = true;
    all.pass(milliseconds(500));
    const ticket later = all.ask(2, key);
    all.pass(milliseconds(300));
    // THEN the next one knows the outcome
    check_verdict(all, later, permit_verdict::done);
}

TEST(once, delivers_an_outcome_to_the_next_home) {
    // GIVEN a runner whose home dies before it heard the outcome
    fleet all = make_fleet(3);
    const std::string key = all.key_of_home(0, 0);
    const ticket first = all.ask(1, key);
    all.pump();
    all.instances[0].dead = true;
    all.end_call(1, key, first, booked);
    // WHEN another takes over
    all.set_view(1, {1, 2}, 2);
    all.set_view(2, {1, 2}, 2);
    all.pass(milliseconds(3000));
    const ticket later = all.ask(2, key);
    all.pass(milliseconds(300));
    // THEN it hears it
    check_verdict(all, later, permit_verdict::done);
}

TEST(once, a_late_permit_is_returned_and_the_repeat_runs) {
    // GIVEN a home that answers after the asker gave up
    fleet all = make_fleet(3);
    const std::string key = all.key_of_home(0, 0);
    const ticket first = all.ask(1, key, "body", milliseconds(100));
    all.instances[0].paused = true;
    all.pass(milliseconds(300));
    check_verdict(all, first, permit_verdict::no_home);
    all.instances[0].paused = false;
    all.pass(milliseconds(3000));
    // WHEN the caller repeats
    const ticket second = all.ask(1, key);
    all.pass(milliseconds(300));
    check_verdict(all, second, permit_verdict::granted);
    // THEN a permit that its traffic thread returns can be had again, too
    all.give_back(1, key, second);
    all.pass(milliseconds(200));
    const ticket third = all.ask(2, key);
    all.pass(milliseconds(300));
    check_verdict(all, third, permit_verdict::granted);
    CHECK_TRUE(all.decided_times.at(first) == 1);
}

TEST(once, a_full_journal_forgets_nothing_before_its_retention) {
    const milliseconds half = once_limits::retention / 2;
    for (const bool expired : {false, true}) {
        // GIVEN a journal full of keys
        fleet all = make_fleet(1);
        const std::string key = all.key_of_home(0, 0);
        fill_journal(all, key, expired ? once_limits::retention + half : half);
        all.instances[0].once = make_once();
        all.pass(milliseconds(500));
        // WHEN one more comes
        const ticket first = all.ask(0, key);
        all.pass(milliseconds(500));
        // THEN only expired ones give way to it
        check_verdict(all, first,
                      expired ? permit_verdict::granted : permit_verdict::store_unavailable);
        CHECK_TRUE(all.store.objects.at(object_of(all, key)).value.size() < 1048576);
    }
}

TEST(once, forgets_a_key_after_its_retention_through_many_homes) {
    // GIVEN a key that ran; each home has the shard for a third of the retention
    fleet all = make_fleet(1);
    const std::string key = all.key_of_home(0, 0);
    const ticket first = all.ask(0, key);
    all.pump();
    all.end_call(0, key, first, booked);
    all.pass(milliseconds(1200));
    std::vector<permit_verdict> heard;
    for (int third = 0; third < 4; ++third) {
        all.now += once_limits::retention / 3;
        all.ask(0, key + "-other-" + std::to_string(third));
        all.pass(milliseconds(1200));
        all.instances[0].once.shards.clear();
        all.pass(milliseconds(200));
        const ticket repeat = all.ask(0, key);
        all.pass(milliseconds(200));
        heard.push_back(all.verdict(repeat));
    }
    // THEN it is known for the retention at least
    CHECK_TRUE(heard[0] == permit_verdict::done);
    CHECK_TRUE(heard[1] == permit_verdict::done);
}

TEST(once, a_journal_that_cant_be_read_gives_no_permits) {
    for (const char* value : {"", "nonsense\n", "{\"tenure\":\"a\",\"batch\":1}\n",
                              "{\"tenure\":\"a\",\"batch\":1,\"clock_ms\":0}\n[\"w\"]\n",
                              "{\"tenure\":\"a\",\"batch\":1,\"clock_ms\":0}\ncut off"}) {
        fleet all = make_fleet(1);
        const std::string key = all.key_of_home(0, 0);
        const std::string object = object_of(all, key);
        all.store.objects[object] = {object, ++all.store.revision, value, false};
        all.instances[0].once = make_once();
        all.pass(milliseconds(500));
        const ticket first = all.ask(0, key);
        all.pass(milliseconds(1200));
        check_verdict(all, first, permit_verdict::store_unavailable);
    }
}

TEST(once, keeps_small_answers_and_writes_many_keys_at_once) {
    // GIVEN fifty calls at one moment, one with an answer too large to keep
    fleet all = make_fleet(1);
    const std::string key = all.key_of_home(0, 0);
    const object_version before = all.store.revision;
    std::vector<std::string> keys;
    for (int number = 0; keys.size() < 50; ++number) {
        const std::string other = "k" + std::to_string(number);
        if (object_of(all, other) == object_of(all, key)) {
            keys.push_back(other);
        }
    }
    std::vector<ticket> asked;
    for (const std::string& other : keys) {
        asked.push_back(all.ask(0, other));
    }
    all.pass(milliseconds(400));
    // THEN few writes carried them
    CHECK_TRUE(all.store.revision - before <= 3);
    all.end_call(0, keys[0], asked[0], {true, 200, std::string(5000, 'a')});
    all.end_call(0, keys[1], asked[1], {true, 201, "\xff\xfe"});
    all.end_call(0, keys[2], asked[2], {false, 0, {}});
    all.pass(milliseconds(100));
    const ticket large = all.ask(0, keys[0]);
    const ticket binary = all.ask(0, keys[1]);
    const ticket unknown = all.ask(0, keys[2]);
    all.pass(milliseconds(100));
    check_verdict(all, large, permit_verdict::done);
    CHECK_FALSE(all.decisions.at(large).reply.outcome.known);
    LONGS_EQUAL(200, all.decisions.at(large).reply.outcome.status);
    check_verdict(all, binary, permit_verdict::done);
    CHECK_FALSE(all.decisions.at(binary).reply.outcome.known);
    check_verdict(all, unknown, permit_verdict::unknown_outcome);
}
