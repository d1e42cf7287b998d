#include "coordination/at_most_once/internal/journal.h"
#include "coordination/at_most_once/tests/at_most_once_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::testing;

namespace {

const call_outcome booked{true, 200, "{\"booked\":true}"};

void check_verdict(const test_fleet& fleet, ticket number, permit_verdict expected) {
    CHECK_TRUE(fleet.decisions.contains(number));
    LONGS_EQUAL(static_cast<int>(expected), static_cast<int>(fleet.verdict(number)));
}

//! Fills the journal of the key's shard with ended calls that a former owner recorded `age` ago.
void fill_journal(test_fleet& fleet, const std::string& key, milliseconds age) {
    const std::string object = journal_object_of(fleet, key);
    detail::journal_content content;
    content.header = {"former", 1, age};
    std::size_t bytes = 0;
    for (int number = 0; bytes < at_most_once_limits::max_journal_bytes; ++number) {
        journal_entry entry;
        entry.permit = "former/" + std::to_string(number);
        entry.body.value = std::string(64, 'f');
        entry.phase = call_phase::unknown;
        const journal_key name{{std::string(100, 'w')}, {std::to_string(number)}};
        detail::encode_entry(name, entry);
        bytes += entry.line.size();
        content.entries.emplace(name, entry);
    }
    fleet.store.objects[object] = {object, ++fleet.store.revision,
                                   detail::encode_journal(content.header, content.entries), false};
}

}  // namespace

TEST_GROUP(at_most_once){};

TEST(at_most_once, grants_once_and_returns_the_outcome_to_duplicates_at_any_instance) {
    // GIVEN a granted call
    test_fleet fleet = make_fleet(3);
    const std::string key = fleet.key_owned_by(0, 0);
    const ticket first = fleet.request_permit(1, key);
    fleet.pump();
    check_verdict(fleet, first, permit_verdict::granted);
    // WHEN its key is requested through other instances during the call and after it
    const ticket meanwhile = fleet.request_permit(2, key);
    const ticket other_body = fleet.request_permit(0, key, "other");
    fleet.pump();
    fleet.end_call(1, key, first, booked);
    fleet.advance_time(at_most_once_limits::max_outcome_delay + milliseconds(500));
    const ticket later = fleet.request_permit(2, key);
    fleet.pump();
    // THEN the requests get the state of the call, or its outcome
    check_verdict(fleet, meanwhile, permit_verdict::running);
    check_verdict(fleet, other_body, permit_verdict::key_reused);
    check_verdict(fleet, later, permit_verdict::done);
    STRCMP_EQUAL(booked.body.c_str(), fleet.decisions.at(later).reply.outcome.body.c_str());
    CHECK_TRUE(all_notices_confirmed(fleet.instances[1].at_most_once));
}

TEST(at_most_once, grants_one_of_simultaneous_duplicates) {
    test_fleet fleet = make_fleet(3);
    const std::string key = fleet.key_owned_by(0, 0);
    const ticket requests[] = {fleet.request_permit(0, key), fleet.request_permit(1, key),
                               fleet.request_permit(2, key)};
    fleet.pump();
    int granted = 0;
    for (const ticket number : requests) {
        granted += fleet.is_granted(number) ? 1 : 0;
    }
    LONGS_EQUAL(1, granted);
}

TEST(at_most_once, recovers_from_faults_of_one_store_write) {
    const struct {
        store_fault fault;
        const char* name;
    } cases[] = {{store_fault::none, "none"},
                 {store_fault::lost_before, "lost before its effect"},
                 {store_fault::lost_after, "lost after its effect"},
                 {store_fault::late, "late"},
                 {store_fault::refused, "refused"}};

    for (const auto& row : cases) {
        // GIVEN a store write with the fault
        test_fleet fleet = make_fleet(3);
        const std::string key = fleet.key_owned_by(0, 0);
        fleet.store.next_write_faults = {row.fault};
        // WHEN a permit is requested twice, and the late write takes effect in between
        const ticket first = fleet.request_permit(1, key);
        fleet.advance_time(milliseconds(900));
        fleet.store.apply_late_writes();
        const ticket second = fleet.request_permit(2, key);
        const ticket other = fleet.request_permit(2, fleet.key_owned_by(0, 0) + "-other");
        fleet.advance_time(milliseconds(900));
        // THEN the permit is granted once, and the shard still grants other keys
        CHECK_TRUE_TEXT(fleet.is_granted(first), row.name);
        check_verdict(fleet, second, permit_verdict::running);
        CHECK_TRUE_TEXT(fleet.is_granted(other), row.name);
    }
}

TEST(at_most_once, a_request_refused_while_the_store_is_down_can_be_retried) {
    // GIVEN a write with an unknown result, and a store that is down
    for (const store_fault fault : {store_fault::lost_before, store_fault::lost_after}) {
        test_fleet fleet = make_fleet(3);
        const std::string key = fleet.key_owned_by(0, 0);
        fleet.store.next_write_faults = {fault};
        const ticket first = fleet.request_permit(1, key);
        fleet.store.execute(store_read{});
        fleet.deliver(fleet.messages.front());
        fleet.messages.clear();
        fleet.execute_call(fleet.calls.front());
        fleet.calls.pop_front();
        fleet.store.down = true;
        fleet.advance_time(milliseconds(700));
        check_verdict(fleet, first, permit_verdict::store_unavailable);
        // WHEN the store is reachable again
        fleet.store.down = false;
        fleet.advance_time(milliseconds(2000));
        const ticket second = fleet.request_permit(2, key);
        fleet.advance_time(milliseconds(500));
        // THEN the retry is granted, since the first request was refused
        check_verdict(fleet, second, permit_verdict::granted);
    }
}

TEST(at_most_once, a_key_whose_runner_crashed_is_not_granted_again) {
    enum class crash_point { before_write, before_call, after_call };
    for (const crash_point point :
         {crash_point::before_write, crash_point::before_call, crash_point::after_call}) {
        // GIVEN a runner that crashes before the write, before the call or after the call
        test_fleet fleet = make_fleet(3);
        const std::string key = fleet.key_owned_by(0, 0);
        const ticket first = fleet.request_permit(1, key);
        if (point == crash_point::before_write) {
            fleet.instances[1].crashed = true;
        }
        fleet.pump();
        fleet.instances[1].crashed = true;
        // WHEN the key is requested again before and after the runner has left the roster
        const ticket soon = fleet.request_permit(2, key);
        fleet.pump();
        fleet.set_view(0, {0, 2}, 2);
        fleet.set_view(2, {0, 2}, 2);
        fleet.advance_time(milliseconds(200));
        const ticket later = fleet.request_permit(2, key);
        fleet.advance_time(milliseconds(900));
        // THEN the key isn't granted again
        LONGS_EQUAL(point == crash_point::before_write ? 0 : 1, fleet.is_granted(first) ? 1 : 0);
        check_verdict(fleet, soon, permit_verdict::running);
        check_verdict(fleet, later, permit_verdict::unknown_outcome);
    }
}

TEST(at_most_once, an_unresponsive_runner_counts_as_running_until_its_longest_attempt_is_over) {
    // GIVEN a crashed runner that is still a member, and an owner that loads the journal again
    test_fleet fleet = make_fleet(3);
    const std::string key = fleet.key_owned_by(0, 0);
    fleet.request_permit(1, key);
    fleet.pump();
    fleet.instances[1].crashed = true;
    fleet.advance_time(fleet.instances[0].env.timing.longest_attempt / 2);
    fleet.instances[0].at_most_once.shards.clear();
    fleet.advance_time(milliseconds(500));
    // WHEN the key is requested again before and after the maximum duration of an attempt
    const ticket soon = fleet.request_permit(2, key);
    fleet.pump();
    fleet.advance_time(fleet.instances[0].env.timing.longest_attempt + milliseconds(1000));
    const ticket later = fleet.request_permit(2, key);
    fleet.pump();
    // THEN the call counts first as running, then as ended with an unknown outcome
    check_verdict(fleet, soon, permit_verdict::running);
    check_verdict(fleet, later, permit_verdict::unknown_outcome);
}

TEST(at_most_once, grants_again_if_the_requesting_owner_crashed_before_its_write) {
    // GIVEN an owner that requests a permit from itself and crashes before its write takes effect
    test_fleet fleet = make_fleet(3);
    const std::string key = fleet.key_owned_by(0, 0);
    fleet.request_permit(0, key);
    fleet.deliver(fleet.messages.front());
    fleet.messages.clear();
    fleet.calls.clear();
    fleet.instances[0].crashed = true;
    // WHEN the key is requested from the next owner
    fleet.set_view(1, {1, 2}, 2);
    fleet.set_view(2, {1, 2}, 2);
    fleet.advance_time(milliseconds(300));
    const ticket second = fleet.request_permit(2, key);
    fleet.advance_time(milliseconds(500));
    // THEN the permit is granted
    check_verdict(fleet, second, permit_verdict::granted);
}

TEST(at_most_once, a_late_write_of_a_replaced_owner_grants_nothing) {
    // GIVEN an owner that is paused with a write in flight
    test_fleet fleet = make_fleet(3);
    const std::string key = fleet.key_owned_by(0, 0);
    const ticket first = fleet.request_permit(0, key);
    fleet.deliver(fleet.messages.front());
    fleet.messages.clear();
    fleet.instances[0].paused = true;
    // WHEN the next owner grants the key, and the old owner resumes with an outdated roster
    fleet.set_view(1, {1, 2}, 2);
    fleet.set_view(2, {1, 2}, 2);
    fleet.advance_time(milliseconds(500));
    const ticket second = fleet.request_permit(2, key);
    fleet.advance_time(milliseconds(300));
    fleet.instances[0].paused = false;
    fleet.advance_time(milliseconds(3000));
    // THEN only the new owner's permit is granted
    check_verdict(fleet, second, permit_verdict::granted);
    CHECK_FALSE(fleet.is_granted(first));
}

TEST(at_most_once, a_new_owner_takes_over_the_journal) {
    // GIVEN a call with a recorded outcome
    test_fleet fleet = make_fleet(3);
    const std::string key = fleet.key_owned_by(0, 0);
    const ticket first = fleet.request_permit(1, key);
    fleet.advance_time(milliseconds(200));
    fleet.end_call(1, key, first, booked);
    fleet.advance_time(at_most_once_limits::max_outcome_delay + milliseconds(500));
    // WHEN the owner leaves
    fleet.set_view(1, {1, 2}, 2);
    fleet.set_view(2, {1, 2}, 2);
    fleet.instances[0].crashed = true;
    fleet.advance_time(milliseconds(500));
    const ticket later = fleet.request_permit(2, key);
    fleet.advance_time(milliseconds(300));
    // THEN the next owner returns the outcome
    check_verdict(fleet, later, permit_verdict::done);
}

TEST(at_most_once, delivers_an_outcome_to_the_next_owner) {
    // GIVEN a key's owner that crashes before it receives the call's outcome
    test_fleet fleet = make_fleet(3);
    const std::string key = fleet.key_owned_by(0, 0);
    const ticket first = fleet.request_permit(1, key);
    fleet.pump();
    fleet.instances[0].crashed = true;
    fleet.end_call(1, key, first, booked);
    // WHEN another instance becomes the owner
    fleet.set_view(1, {1, 2}, 2);
    fleet.set_view(2, {1, 2}, 2);
    fleet.advance_time(milliseconds(3000));
    const ticket later = fleet.request_permit(2, key);
    fleet.advance_time(milliseconds(300));
    // THEN the new owner receives the outcome from the runner
    check_verdict(fleet, later, permit_verdict::done);
}

TEST(at_most_once, a_late_permit_is_returned_and_a_retry_is_granted) {
    // GIVEN an owner that replies after the requester's deadline
    test_fleet fleet = make_fleet(3);
    const std::string key = fleet.key_owned_by(0, 0);
    const ticket first = fleet.request_permit(1, key, "body", milliseconds(100));
    fleet.instances[0].paused = true;
    fleet.advance_time(milliseconds(300));
    check_verdict(fleet, first, permit_verdict::no_home);
    fleet.instances[0].paused = false;
    fleet.advance_time(milliseconds(3000));
    // WHEN the caller retries
    const ticket second = fleet.request_permit(1, key);
    fleet.advance_time(milliseconds(300));
    check_verdict(fleet, second, permit_verdict::granted);
    // THEN the retry is granted, and again after the traffic thread returns its permit
    fleet.return_permit(1, key, second);
    fleet.advance_time(milliseconds(200));
    const ticket third = fleet.request_permit(2, key);
    fleet.advance_time(milliseconds(300));
    check_verdict(fleet, third, permit_verdict::granted);
    CHECK_TRUE(fleet.decision_counts.at(first) == 1);
}

TEST(at_most_once, a_full_journal_keeps_keys_within_their_retention) {
    const milliseconds half = at_most_once_limits::key_retention / 2;
    for (const bool expired : {false, true}) {
        // GIVEN a journal full of keys
        test_fleet fleet = make_fleet(1);
        const std::string key = fleet.key_owned_by(0, 0);
        fill_journal(fleet, key, expired ? at_most_once_limits::key_retention + half : half);
        fleet.instances[0].at_most_once = make_at_most_once();
        fleet.advance_time(milliseconds(500));
        // WHEN a permit for a new key is requested
        const ticket first = fleet.request_permit(0, key);
        fleet.advance_time(milliseconds(500));
        // THEN the permit is granted only if the old keys have expired
        check_verdict(fleet, first,
                      expired ? permit_verdict::granted : permit_verdict::store_unavailable);
        CHECK_TRUE(fleet.store.objects.at(journal_object_of(fleet, key)).value.size() < 1048576);
    }
}

TEST(at_most_once, keeps_a_key_for_its_retention_across_owner_changes) {
    // GIVEN an executed key, and a new owner after each third of the retention time
    test_fleet fleet = make_fleet(1);
    const std::string key = fleet.key_owned_by(0, 0);
    const ticket first = fleet.request_permit(0, key);
    fleet.pump();
    fleet.end_call(0, key, first, booked);
    fleet.advance_time(milliseconds(1200));
    std::vector<permit_verdict> results;
    for (int third = 0; third < 4; ++third) {
        fleet.now += at_most_once_limits::key_retention / 3;
        fleet.request_permit(0, key + "-other-" + std::to_string(third));
        fleet.advance_time(milliseconds(1200));
        fleet.instances[0].at_most_once.shards.clear();
        fleet.advance_time(milliseconds(200));
        const ticket retry = fleet.request_permit(0, key);
        fleet.advance_time(milliseconds(200));
        results.push_back(fleet.verdict(retry));
    }
    // THEN the outcome is kept for at least the retention time
    CHECK_TRUE(results[0] == permit_verdict::done);
    CHECK_TRUE(results[1] == permit_verdict::done);
}

TEST(at_most_once, a_malformed_journal_grants_no_permits) {
    for (const char* value : {"", "nonsense\n", "{\"tenure\":\"a\",\"batch\":1}\n",
                              "{\"tenure\":\"a\",\"batch\":1,\"clock_ms\":0}\n[\"w\"]\n",
                              "{\"tenure\":\"a\",\"batch\":1,\"clock_ms\":0}\ncut off"}) {
        test_fleet fleet = make_fleet(1);
        const std::string key = fleet.key_owned_by(0, 0);
        const std::string object = journal_object_of(fleet, key);
        fleet.store.objects[object] = {object, ++fleet.store.revision, value, false};
        fleet.instances[0].at_most_once = make_at_most_once();
        fleet.advance_time(milliseconds(500));
        const ticket first = fleet.request_permit(0, key);
        fleet.advance_time(milliseconds(1200));
        check_verdict(fleet, first, permit_verdict::store_unavailable);
    }
}

TEST(at_most_once, stores_small_responses_and_batches_writes) {
    // GIVEN fifty simultaneous calls, one of them with a response too large to store
    test_fleet fleet = make_fleet(1);
    const std::string key = fleet.key_owned_by(0, 0);
    const object_version before = fleet.store.revision;
    std::vector<std::string> keys;
    for (int number = 0; keys.size() < 50; ++number) {
        const std::string other = "k" + std::to_string(number);
        if (journal_object_of(fleet, other) == journal_object_of(fleet, key)) {
            keys.push_back(other);
        }
    }
    std::vector<ticket> requests;
    for (const std::string& other : keys) {
        requests.push_back(fleet.request_permit(0, other));
    }
    fleet.advance_time(milliseconds(400));
    // THEN the intents of the calls are stored by a few writes
    CHECK_TRUE(fleet.store.revision - before <= 3);
    fleet.end_call(0, keys[0], requests[0], {true, 200, std::string(5000, 'a')});
    fleet.end_call(0, keys[1], requests[1], {true, 201, "\xff\xfe"});
    fleet.end_call(0, keys[2], requests[2], {false, 0, {}});
    fleet.advance_time(milliseconds(100));
    const ticket large = fleet.request_permit(0, keys[0]);
    const ticket binary = fleet.request_permit(0, keys[1]);
    const ticket unknown = fleet.request_permit(0, keys[2]);
    fleet.advance_time(milliseconds(100));
    check_verdict(fleet, large, permit_verdict::done);
    CHECK_FALSE(fleet.decisions.at(large).reply.outcome.known);
    LONGS_EQUAL(200, fleet.decisions.at(large).reply.outcome.status);
    check_verdict(fleet, binary, permit_verdict::done);
    CHECK_FALSE(fleet.decisions.at(binary).reply.outcome.known);
    check_verdict(fleet, unknown, permit_verdict::unknown_outcome);
}

// Guards against instances of two architectures that record a key in different shards.
TEST(at_most_once, the_shard_of_a_key_is_the_same_on_all_architectures) {
    // GIVEN a workspace and keys; WHEN their shards are chosen, THEN the results are fixed
    UNSIGNED_LONGLONGS_EQUAL(13U, detail::shard_of({"w"}, {"k-1"}));
    UNSIGNED_LONGLONGS_EQUAL(3U, detail::shard_of({"w\xff"}, {std::string(300, 'k')}));
}
