//! An instance's own entry in the list of members, and writes that are carried out late.
#include "serving/member_entry.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

const member self{{"process-2"}, "10.0.0.1:7740", {"z"}, 250};
const member predecessor{{"process-1"}, "10.0.0.1:7740", {"z"}, 250};

object_version at(std::uint64_t revision, std::uint64_t era = 1) {
    return make_store_version(era, revision);
}

}  // namespace

TEST_GROUP(member_entry){};

// Guards against a put without a condition, which another process's late one can undo unseen.
TEST(member_entry, an_entry_of_another_process_is_replaced_under_its_revision) {
    // GIVEN a store that holds the entry of the process before
    member_entry entry;
    CHECK_TRUE(observe_entry(entry, at(10), true, predecessor, self));
    // THEN it is replaced, not created
    CHECK_TRUE(next_registration_call(entry, 1) == member_entry_call::replace);
    // WHEN it holds this process's values THEN there is nothing to do
    CHECK_TRUE(observe_entry(entry, at(11), true, self, self));
    CHECK_TRUE(next_registration_call(entry, 1) == member_entry_call::none);
    // WHEN a late write of the process before replaces it THEN it is written again
    CHECK_TRUE(observe_entry(entry, at(12), true, predecessor, self));
    CHECK_TRUE(next_registration_call(entry, 1) == member_entry_call::replace);
    // AND an older list changes nothing
    CHECK_FALSE(observe_entry(entry, at(9), false, {}, self));
}

// Guards against an instance that the others no longer count, and that doesn't notice.
TEST(member_entry, an_entry_that_is_gone_is_created_again) {
    // GIVEN an instance that is listed
    member_entry entry;
    observe_entry(entry, at(10), true, self, self);
    // WHEN a late delete removes its entry THEN it is created again
    CHECK_TRUE(observe_entry(entry, at(11), false, {}, self));
    CHECK_TRUE(next_registration_call(entry, 1) == member_entry_call::create);
    // AND if it exists after all, it is read first
    handle_refused_write(entry, true);
    CHECK_TRUE(next_registration_call(entry, 1) == member_entry_call::read);
}

TEST(member_entry, a_revision_of_an_earlier_era_is_no_condition) {
    // GIVEN an entry as it was before the store was restored
    member_entry entry;
    observe_entry(entry, at(10, 1), true, predecessor, self);
    // WHEN it is to be written in the next era THEN it is read first
    CHECK_TRUE(next_registration_call(entry, 2) == member_entry_call::read);
    observe_entry(entry, at(5, 2), true, self, self);
    CHECK_TRUE(next_removal_call(entry, 2) == member_entry_call::remove);
    CHECK_TRUE(next_removal_call(entry, 3) == member_entry_call::read);
}

// Guards against the removal of the next process's entry by the late delete of the one before.
TEST(member_entry, only_the_own_entry_is_removed) {
    // GIVEN an entry that isn't known THEN it is read before it is removed
    member_entry entry;
    CHECK_TRUE(next_removal_call(entry, 1) == member_entry_call::read);
    // WHEN it holds the values of another process, or is gone THEN it stays as it is
    observe_entry(entry, at(10), true, predecessor, self);
    CHECK_TRUE(next_removal_call(entry, 1) == member_entry_call::none);
    observe_entry(entry, at(11), false, {}, self);
    CHECK_TRUE(next_removal_call(entry, 1) == member_entry_call::none);
    // WHEN it is the own one THEN it is removed
    observe_entry(entry, at(12), true, self, self);
    CHECK_TRUE(next_removal_call(entry, 1) == member_entry_call::remove);
}
