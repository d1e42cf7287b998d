//! Tests of the store sync around a start of the instance and a dropped history of the store.
#include "store_sync/store_sync.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};
constexpr const char* topic = "t";

std::vector<member> make_members() {
    std::vector<member> members;
    for (int i = 0; i < 30; ++i) {
        const std::string name = "i" + std::to_string(i);
        members.push_back({{name}, name + ":7", {"z"}, 250});
    }
    return members;
}

//! An instance with sources; `reader` selects the one that reads the store for all.
store_sync make_sync(bool reader = false) {
    const auto members = make_members();
    for (const member& self : members) {
        store_sync state;
        state.self = self;
        reduce(state, sync_members_changed{members}, start);
        const bool is_reader = state.sources.empty();
        if (is_reader == reader && (reader || state.sources.size() == 3)) {
            return state;
        }
    }
    FAIL("no such instance");
    return {};
}

std::vector<news_request> requests(const std::vector<sync_effect>& effects) {
    std::vector<news_request> found;
    for (const sync_effect& effect : effects) {
        const auto* const sent = std::get_if<send_to_peer>(&effect);
        if (sent != nullptr && std::holds_alternative<news_request>(sent->message)) {
            found.push_back(std::get<news_request>(sent->message));
        }
    }
    return found;
}

//! Answers the request of a peer.
news_reply ask(store_sync& source, const news_request& request, instant now) {
    const auto effects = reduce(source, sync_requested{request}, now);
    return std::get<news_reply>(std::get<send_to_peer>(effects.at(0)).message);
}

topic_listed make_list(object_version version, instant sent_at) {
    return {topic, version, sent_at};
}

}  // namespace

TEST_GROUP(store_sync_start){};

// Guards against a fleet that reads all lists at once since the store dropped its history.
TEST(store_sync_start, a_list_after_a_dropped_history_reaches_peers_as_changes) {
    // GIVEN a reader and a peer that know version 5
    store_sync reader = make_sync(true);
    store_sync peer = make_sync();
    reduce(reader, make_list(5, start), start);
    reduce(peer, make_list(5, start), start);
    // WHEN the reader finds the history dropped and lists the topic at version 9
    topic_listed listed = make_list(9, start + 10ms);
    listed.difference = change_page{5, 9, "changes"};
    const auto effects = reduce(reader, listed, start + 10ms);
    CHECK_EQUAL(1, effects.size());
    CHECK_TRUE(std::holds_alternative<list_accepted>(effects.at(0)));
    // AND the peer requests updates
    const auto sent = requests(reduce(peer, sync_tick{}, start + 20ms));
    CHECK_EQUAL(1, sent.size());
    const news_reply reply = ask(reader, sent.at(0), start + 20ms);
    const auto applied = reduce(peer, sync_replied{reply}, start + 30ms);
    // THEN the peer gets the changes, and needn't read the store
    CHECK_TRUE(std::ranges::any_of(applied, [](const sync_effect& effect) {
        const auto* const accepted = std::get_if<page_accepted>(&effect);
        return accepted != nullptr && accepted->page.text == "changes";
    }));
    CHECK_EQUAL(9, peer.topics[topic].version);
    CHECK_FALSE(must_read_store(peer, topic, start + 30ms));
}

// Guards against changes that are forwarded though the state before them isn't known.
TEST(store_sync_start, changes_from_another_version_or_an_unreadable_state_are_not_forwarded) {
    for (const bool is_readable : {true, false}) {
        // GIVEN a reader that knows version 5, perhaps without being able to read it
        store_sync reader = make_sync(true);
        topic_listed first = make_list(5, start);
        first.is_readable = is_readable;
        reduce(reader, first, start);
        // WHEN it lists version 9 with changes that don't begin at a version that it could read
        topic_listed listed = make_list(9, start + 10ms);
        listed.difference = change_page{is_readable ? object_version{4} : 5, 9, "changes"};
        reduce(reader, listed, start + 10ms);
        // THEN peers get none
        CHECK_TRUE(reader.topics[topic].pages.empty());
        CHECK_EQUAL(9, reader.topics[topic].complete_from);
    }
}

// Guards against a watch by each starting instance just before its source confirms the topic.
TEST(store_sync_start, an_own_read_counts_like_a_reply_until_the_first_one) {
    // GIVEN an instance that has just listed a topic
    store_sync state = make_sync();
    reduce(state, make_list(5, start), start);
    // THEN it awaits its source for as long as a source's data is in use, and no longer
    CHECK_FALSE(must_read_store(state, topic, start + source_stale_after - 1ms));
    CHECK_TRUE(must_read_store(state, topic, start + source_stale_after));
    // WHEN no source replies
    instant now = start;
    for (; now < start + 3s; now += 200ms) {
        reduce(state, sync_tick{}, now);
    }
    CHECK_TRUE(std::ranges::all_of(state.sources, &source_state::is_skipped));
    // THEN it reads the store at all times
    reduce(state, make_list(6, now), now);
    CHECK_TRUE(must_read_store(state, topic, now + 1ms));
}

// Guards against a list that counts as a reply for ever: once a source has confirmed a topic, its
// silence is found by the age of its replies.
TEST(store_sync_start, an_own_read_does_not_replace_later_replies) {
    // GIVEN an instance whose source has confirmed the topic once
    store_sync state = make_sync();
    store_sync source = make_sync(true);
    reduce(state, make_list(5, start), start);
    reduce(source, make_list(5, start), start);
    const auto sent = requests(reduce(state, sync_tick{}, start));
    reduce(state, sync_replied{ask(source, sent.at(0), start)}, start);
    // WHEN the source is silent and the instance reads the store itself
    const instant later = start + derive_stale_after(state.bounds);
    reduce(state, make_list(6, later), later);
    // THEN it goes on reading
    CHECK_TRUE(must_read_store(state, topic, later + 1ms));
}

// Guards against requests that are lost since the network of peers isn't started: all sources would
// count as unresponsive for seconds.
TEST(store_sync_start, sources_are_polled_once_messages_can_be_sent) {
    // GIVEN an instance that can't send messages yet
    store_sync state = make_sync();
    state.can_send = false;
    reduce(state, make_list(5, start), start);
    for (instant now = start; now < start + 2s; now += 200ms) {
        CHECK_TRUE(requests(reduce(state, sync_tick{}, now)).empty());
    }
    CHECK_FALSE(std::ranges::any_of(state.sources, &source_state::is_skipped));
    // WHEN it can
    // THEN it polls the first source at once
    CHECK_EQUAL(1, requests(reduce(state, sync_network_started{}, start + 2s)).size());
}

// Guards against a source that starts a moment after this instance, as after a loss of power of all
// instances, and stays unused for seconds.
TEST(store_sync_start, a_source_that_never_replied_is_polled_again_soon) {
    // GIVEN an instance whose first source doesn't reply
    store_sync state = make_sync();
    store_sync source = make_sync(true);
    reduce(state, make_list(5, start), start);
    reduce(source, make_list(5, start), start);
    reduce(state, sync_tick{}, start);
    // WHEN the first source replies from 1 s after the start
    instant now = start;
    while (now < start + 1800ms) {
        now += 200ms;
        reduce(source, make_list(5, now), now);
        for (const news_request& request : requests(reduce(state, sync_tick{}, now))) {
            const bool is_first = request.sequence == state.sources.front().open_sequence;
            if (is_first && now >= start + 1s) {
                reduce(state, sync_replied{ask(source, request, now)}, now);
            }
        }
    }
    // THEN it is in use again within 0.8 s
    CHECK_FALSE(state.sources.front().is_skipped);
}
