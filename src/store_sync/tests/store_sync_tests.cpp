//! Tests of the store sync with a simulated fleet, one store and a fake clock.
#include "codec/codec.h"
#include "store_sync/internal/sources.h"
#include "store_sync/store_sync.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};
constexpr milliseconds step{20};  // simulated time between two rounds of reads
constexpr const char* topic = "t";

std::vector<member> make_members(std::size_t count) {
    std::vector<member> members;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string name = "i" + std::to_string(i);
        members.push_back({{name}, name + ":7", {"z" + std::to_string(i % 3)}, 250});
    }
    return members;
}

//! One simulated instance.
struct instance {
    store_sync state;
    instant watching_since{};  //!< start of the open watch; zero if none is open
    milliseconds wait{0};      //!< time after which the open watch returns without changes
    bool is_reading{false};    //!< it has read the store since it last had to
    bool is_frozen{false};     //!< the process is paused
    bool is_rejected{false};   //!< the store rejects its calls; peers can still reach it
    milliseconds max_lag{0};   //!< maximum age of a change before the instance received it
};

//! All instances, the messages between them, and the store.
struct fleet {
    explicit fleet(std::size_t count, const sync_bounds& in_force_within = {})
        : bounds(in_force_within) {
        const auto members = make_members(count);
        for (const member& self : members) {
            instance& added = instances[self.address];
            added.state.self = self;
            added.state.bounds = bounds;
            reduce(added.state, sync_members_changed{members}, now);
            reduce(added.state, topic_listed{topic, store_version, now}, now);
        }
    }

    //! Writes a change to the store.
    void write() {
        written_at[++store_version] = now;
    }

    //! Simulates this much time, with a tick every 200 ms.
    void run(milliseconds time) {
        const instant end = now + time;
        while (now < end) {
            now += step;
            if (now.time_since_epoch() % milliseconds(200) == 0ms) {
                for (auto& [address, entry] : instances) {
                    if (!entry.is_frozen) {
                        send(entry, reduce(entry.state, sync_tick{}, now));
                    }
                }
            }
            deliver();
            for (auto& [address, entry] : instances) {
                if (!entry.is_frozen) {
                    read(entry);
                    measure_lag(entry);
                }
            }
        }
    }

    void send(const instance& from, const std::vector<sync_effect>& effects) {
        for (const sync_effect& effect : effects) {
            if (const auto* const sent = std::get_if<send_to_peer>(&effect)) {
                messages.emplace_back(from.state.self.address, *sent);
            }
        }
    }

    void deliver() {
        const auto due = std::exchange(messages, {});
        for (const auto& [from, sent] : due) {
            instance& to = instances.at(sent.to.address);
            if (to.is_frozen) {
                continue;
            }
            if (const auto* const request = std::get_if<news_request>(&sent.message)) {
                send(to, reduce(to.state, sync_requested{*request}, now));
            }
            if (const auto* const reply = std::get_if<news_reply>(&sent.message)) {
                send(to, reduce(to.state, sync_replied{*reply}, now));
            }
        }
    }

    //! Runs the watch of an instance, which returns changes at once or nothing after its wait.
    void read(instance& reader) {
        if (!must_read_store(reader.state, topic, now)) {
            reader.is_reading = false;
            reader.watching_since = {};
            return;
        }
        const milliseconds age = *topic_age(reader.state, topic, now);
        if (reader.watching_since == instant{}) {
            const read_timing timing =
                derive_shared_timing(derive_read_timing(bounds, bounds.configuration));
            reader.wait = reader.is_reading ? derive_next_wait(timing, age) : 0ms;
            reader.is_reading = true;
            reader.watching_since = now;
            ++calls;
            readers.insert(reader.state.self.address);
        }
        const object_version known = reader.state.topics.at(topic).version;
        if (reader.is_rejected) {
            reader.watching_since = {};
        } else if (store_version > known || now - reader.watching_since >= reader.wait) {
            const char* const text = store_version > known ? "changes" : "";
            const change_page page{known, store_version, text};
            reduce(reader.state, topic_watched{topic, page, reader.watching_since, reader.wait},
                   now);
            reader.watching_since = {};
            max_age = std::max(max_age, age);
        }
    }

    //! Updates the lag of an instance: the age of the first change that it has missed.
    void measure_lag(instance& measured) {
        const auto missed = written_at.upper_bound(measured.state.topics.at(topic).version);
        if (missed != written_at.end()) {
            measured.max_lag = std::max(
                measured.max_lag, std::chrono::duration_cast<milliseconds>(now - missed->second));
        }
    }

    //! The member that ranks first and reads the store for the others.
    instance& first_reader() {
        for (auto& [address, entry] : instances) {
            if (entry.state.sources.empty()) {
                return entry;
            }
        }
        return instances.begin()->second;
    }

    //! An instance that has a source.
    instance& any_follower() {
        for (auto& [address, entry] : instances) {
            if (!entry.state.sources.empty()) {
                return entry;
            }
        }
        return instances.begin()->second;
    }

    //! Longest lag of all instances that run and aren't rejected by the store.
    milliseconds max_lag() {
        milliseconds longest{0};
        for (const auto& [address, entry] : instances) {
            if (!entry.is_frozen && !entry.is_rejected) {
                longest = std::max(longest, entry.max_lag);
            }
        }
        return longest;
    }

    instant now{start};
    object_version store_version{5};
    std::map<object_version, instant> written_at;  //!< time of each change, by version
    std::map<std::string, instance> instances;
    std::vector<std::pair<std::string, send_to_peer>> messages;  //!< in transit, with the sender
    std::set<std::string> readers;  //!< instances that have called the store
    int calls{0};                   //!< watches started by all instances
    sync_bounds bounds;
    milliseconds max_age{0};  //!< greatest age of data that a watch then confirmed
};

news_reply reply_in(const std::vector<sync_effect>& effects) {
    return std::get<news_reply>(std::get<send_to_peer>(effects.at(0)).message);
}

}  // namespace

TEST_GROUP(store_sync){};

TEST(store_sync, instances_of_a_small_fleet_read_the_store_themselves) {
    // GIVEN a fleet of eight
    fleet small(8);
    // WHEN it runs for 3 s
    small.run(3s);
    // THEN all instances read the store
    LONGS_EQUAL(8, small.readers.size());
}

TEST(store_sync, one_instance_of_a_large_fleet_reads_for_all) {
    // GIVEN a fleet of sixty in which every instance uses its source
    fleet large(60);
    large.run(3s);
    large.readers.clear();
    // WHEN the store changes twenty times
    for (int i = 0; i < 20; ++i) {
        large.write();
        large.run(500ms);
    }
    // THEN one instance reads the store, and the others receive each change from it within 700 ms
    LONGS_EQUAL(1, large.readers.size());
    CHECK_TRUE(large.max_lag() <= 700ms);
}

TEST(store_sync, a_frozen_reader_is_replaced_in_time) {
    // GIVEN a fleet of sixty
    fleet large(60);
    large.run(3s);
    // WHEN its reader freezes while the store changes
    large.first_reader().is_frozen = true;
    for (int i = 0; i < 12; ++i) {
        large.write();
        large.run(400ms);
    }
    // THEN no instance misses a change for 2 s, the limit for a configuration change
    CHECK_TRUE(large.max_lag() < 2s);
    // AND afterwards one instance reads the store
    large.run(2s);
    large.readers.clear();
    large.run(5s);
    LONGS_EQUAL(1, large.readers.size());
}

TEST(store_sync, a_reader_that_the_store_rejects_is_replaced_in_time) {
    // GIVEN a fleet of sixty
    fleet large(60);
    large.run(3s);
    large.readers.clear();
    // WHEN the store rejects the calls of its reader, which still replies to its peers
    large.first_reader().is_rejected = true;
    for (int i = 0; i < 12; ++i) {
        large.write();
        large.run(400ms);
    }
    // THEN no other instance misses a change for 2 s, the limit for a configuration change
    CHECK_TRUE(large.max_lag() < 2s);
    // AND only a few instances have called the store, as the next ones in rank took over in time
    CHECK_TRUE(large.readers.size() <= 4);
}

// The waits along the chain from the store through a source have to add up to less than the bound.
TEST(store_sync, a_change_is_in_force_within_the_bounds_of_each_deployment) {
    // GIVEN bounds of several deployments, also tight ones
    struct deployment {
        milliseconds contact;
        milliseconds configuration;
        milliseconds draining;
    };

    for (const deployment& one :
         {deployment{3s, 2s, 2s}, deployment{4s, 3s, 3s}, deployment{5s, 4s, 4s},
          deployment{2s, 1s, 2s}, deployment{1500ms, 1s, 1s}, deployment{3s, 2s, 1s}}) {
        // WHEN nothing fails, the source freezes, or the store rejects it
        for (const std::string fault : {"none", "frozen", "rejected"}) {
            fleet large(60, {one.contact, one.configuration, one.draining, 5s});
            large.run(3s);
            instance& source = large.first_reader();
            source.is_frozen = fault == "frozen";
            source.is_rejected = fault == "rejected";
            for (int i = 0; i < 25; ++i) {
                large.write();
                large.run(220ms);
            }
            // THEN no other instance misses a change for longer than the tightest bound, less the
            // time of a tick and of a slow call
            const milliseconds bound = std::min(one.configuration, one.draining);
            const std::string lag = std::to_string(large.max_lag().count());
            CHECK_TRUE_TEXT(large.max_lag() + 400ms <= bound,
                            (fault + ", " + std::to_string(bound.count()) + ": " + lag).c_str());
        }
    }
}

TEST(store_sync, an_instance_that_the_store_rejects_is_kept_up_to_date) {
    // GIVEN a fleet of sixty in which the store rejects the calls of an instance with a source
    fleet large(60);
    large.run(3s);
    instance& rejected = large.any_follower();
    rejected.is_rejected = true;
    // WHEN the store changes
    large.write();
    large.run(1s);
    // THEN that instance receives the change
    LONGS_EQUAL(large.store_version, rejected.state.topics.at(topic).version);
    CHECK_TRUE(has_fresh_source(rejected.state, large.now));
}

TEST(store_sync, a_late_reply_does_not_make_stale_data_look_fresh) {
    // GIVEN an instance that has sent a request to its source
    fleet large(60);
    large.run(3s);
    instance& reader = large.first_reader();
    instance& requester = large.any_follower();
    large.run(460ms);  // ends between two requests
    const auto requested = reduce(requester.state, sync_tick{}, large.now + 500ms);
    const auto& request = std::get<news_request>(std::get<send_to_peer>(requested.at(0)).message);
    const auto replied = reduce(reader.state, sync_requested{request}, large.now + 510ms);
    const news_reply reply = reply_in(replied);
    // WHEN the reply is delayed by 3 s
    reduce(requester.state, sync_replied{reply}, large.now + 3510ms);
    // THEN the instance still reads the store itself
    CHECK_TRUE(must_read_store(requester.state, topic, large.now + 3510ms));
}

TEST(store_sync, changes_before_a_full_list_are_not_forwarded) {
    // GIVEN a source that has read the full list again, at version 50
    fleet large(60);
    large.run(3s);
    instance& reader = large.first_reader();
    reduce(reader.state, topic_listed{topic, 50, large.now}, large.now);
    // WHEN an instance at version 5 requests updates
    news_request request;
    request.sequence = 1;
    request.known = {{topic, 5}};
    const auto replied = reduce(reader.state, sync_requested{request}, large.now);
    const news_reply reply = reply_in(replied);
    // THEN the reply holds version 50 without the changes, which doesn't confirm the data at
    // version 5
    LONGS_EQUAL(50, reply.topics.at(0).version);
    LONGS_EQUAL(0, reply.topics.at(0).changes.size());
}

TEST(store_sync, a_store_response_older_than_a_peer_update_changes_nothing) {
    // GIVEN an instance that received version 9 from a peer while its own store call was open
    store_sync state;
    reduce(state, topic_listed{topic, 9, start}, start);
    // WHEN its own call returns changes up to version 7, or a list as of version 8
    // THEN neither is applied
    LONGS_EQUAL(0, reduce(state, topic_watched{topic, {5, 7, "old"}, start}, start).size());
    LONGS_EQUAL(0, reduce(state, topic_listed{topic, 8, start}, start).size());
    LONGS_EQUAL(9, state.topics.at(topic).version);
}

// Guards against a sound source that looks stale as its watches confirm what was true at their
// start.
TEST(store_sync, a_source_stays_fresh_wherever_changes_fall_into_its_watches) {
    // GIVEN a fleet of sixty in which every instance uses its source
    for (const milliseconds period : {380ms, 400ms, 420ms, 460ms, 780ms, 820ms}) {
        fleet large(60);
        large.run(3s);
        large.readers.clear();
        large.max_age = 0ms;
        // WHEN the store changes periodically
        for (int i = 0; i < 20; ++i) {
            large.write();
            large.run(period);
        }
        // THEN the data of the one that reads the store is always fresh
        LONGS_EQUAL(1, large.readers.size());
        CHECK_TRUE(large.max_age < source_stale_after - 100ms);
    }
}

// Guards against an answer that lay in the socket and makes old knowledge look fresh.
TEST(store_sync, an_answer_confirms_a_topic_as_of_the_earliest_time_it_can_be_from) {
    // GIVEN answers that are handled 8 s after the calls, e.g. as the process was paused
    const instant sent_at = start;
    const instant handled_at = start + 8s;
    const auto age_after = [&](const sync_event& happened) {
        store_sync state;
        reduce(state, topic_listed{topic, 5, start - 60s}, start - 60s);
        reduce(state, happened, handled_at);
        return *topic_age(state, topic, handled_at);
    };
    // WHEN a list or changes are handled, THEN the topic is confirmed as of the start of the call
    LONGS_EQUAL(8000, age_after(topic_listed{topic, 6, sent_at}).count());
    LONGS_EQUAL(8000, age_after(topic_watched{topic, {5, 6, "changes"}, sent_at, 2s}).count());
    // WHEN there are no changes, THEN as of the end of the wait
    LONGS_EQUAL(6000, age_after(topic_watched{topic, {5, 6, ""}, sent_at, 2s}).count());
    // WHEN the watch was cut off, THEN as of its start
    LONGS_EQUAL(8000, age_after(topic_watched{topic, {5, 6, ""}, sent_at, 9s}).count());
}

// Guards against a change that counts as confirmed although it couldn't be read.
TEST(store_sync, a_state_that_cant_be_read_is_not_confirmed) {
    // GIVEN a topic whose last change, or whose list, can't be read
    store_sync watched;
    reduce(watched, topic_listed{topic, 5, start}, start);
    reduce(watched, topic_watched{topic, {5, 6, "odd"}, start + 1s, 0ms, false}, start + 1s);
    store_sync listed = watched;
    reduce(listed, topic_listed{topic, 6, start + 1s, false}, start + 1s);
    for (store_sync* state : {&watched, &listed}) {
        // WHEN the store has no further changes
        reduce(*state, topic_watched{topic, {6, 7, ""}, start + 2s}, start + 2s);
        // THEN reading continues from its version, but what is in force isn't confirmed
        LONGS_EQUAL(7, state->topics.at(topic).version);
        LONGS_EQUAL(3000, topic_age(*state, topic, start + 3s)->count());
        // WHEN a later change can be read, THEN it is
        reduce(*state, topic_watched{topic, {7, 8, "sound"}, start + 4s}, start + 4s);
        LONGS_EQUAL(0, topic_age(*state, topic, start + 4s)->count());
    }
}

TEST(store_sync, a_topic_of_which_nothing_could_be_read_has_no_age_and_isnt_forwarded) {
    // GIVEN a topic whose first list can't be read
    store_sync state;
    reduce(state, topic_listed{topic, 5, start, false}, start);
    // WHEN its age is asked for, or a peer requests updates
    news_request request;
    request.known = {{topic, 5}};
    const auto replied = reduce(state, sync_requested{request}, start);
    // THEN there is none
    CHECK_FALSE(topic_age(state, topic, start).has_value());
    CHECK_TRUE(reply_in(replied).topics.empty());
}

TEST(store_sync, versions_without_changes_are_forwarded_as_one_page) {
    // GIVEN a reader whose version rises while its topic doesn't change
    store_sync state;
    reduce(state, topic_listed{topic, 5, start}, start);
    for (object_version version = 5; version < 500; ++version) {
        reduce(state, topic_watched{topic, {version, version + 1, ""}, start}, start);
    }
    // WHEN an instance at the first version requests updates
    news_request request;
    request.known = {{topic, 5}};
    const auto replied = reduce(state, sync_requested{request}, start);
    // THEN the reply leads to the last version in one page without text
    const news_reply reply = reply_in(replied);
    LONGS_EQUAL(1, reply.topics.at(0).changes.size());
    LONGS_EQUAL(500, reply.topics.at(0).changes.at(0).version);
    CHECK_TRUE(reply.topics.at(0).changes.at(0).text.empty());
}

// Guards against a peer that asks for all versions since its own: each of them is the whole state,
// and the page with all of them takes longer than they are apart.
TEST(store_sync, a_page_with_the_whole_state_is_all_that_a_peer_receives) {
    // GIVEN a reader that has read a topic as a list, and then three pages with its whole state
    store_sync state;
    reduce(state, topic_listed{topic, 50, start, true, "list"}, start);
    for (object_version version = 50; version < 53; ++version) {
        reduce(state, topic_watched{topic, {0, version + 1, "state"}}, start);
    }
    // WHEN a peer that knows a much earlier version requests updates
    news_request request;
    request.sequence = 1;
    request.known = {{topic, 5}};
    const news_reply reply = reply_in(reduce(state, sync_requested{request}, start));
    // THEN it receives the last page
    LONGS_EQUAL(1, reply.topics.at(0).changes.size());
    LONGS_EQUAL(53, reply.topics.at(0).changes.at(0).version);
    // AND applies it
    store_sync peer;
    reduce(peer, topic_listed{topic, 5}, start);
    LONGS_EQUAL(1,
                reduce(peer, topic_watched{topic, reply.topics.at(0).changes.at(0)}, start).size());
    LONGS_EQUAL(53, peer.topics.at(topic).version);
}

TEST(store_sync, a_list_with_the_whole_state_is_forwarded) {
    // GIVEN a reader that has read nothing but a list with the whole state
    store_sync state;
    reduce(state, topic_listed{topic, 50, start, true, "list"}, start);
    // WHEN a peer that knows an earlier version requests updates
    news_request request;
    request.sequence = 1;
    request.known = {{topic, 5}};
    const news_reply reply = reply_in(reduce(state, sync_requested{request}, start));
    // THEN it receives the list
    LONGS_EQUAL(1, reply.topics.at(0).changes.size());
    STRCMP_EQUAL("list", reply.topics.at(0).changes.at(0).text.c_str());
}

// Guards against a reply that is dropped for being late: a long one on a narrow link always is, and
// so is the next one, which is longer.
TEST(store_sync, a_reply_after_its_time_limit_is_used_until_the_next_request) {
    // GIVEN an instance whose request to its source has gone unanswered for 0.8 s
    fleet large(60);
    large.run(3s);
    instance& reader = large.first_reader();
    instance& requester = large.any_follower();
    large.run(460ms);  // ends between two requests
    large.write();
    reduce(reader.state, topic_watched{topic, {5, large.store_version, "changes"}}, large.now);
    const instant sent_at = large.now + 500ms;
    const auto requested = reduce(requester.state, sync_tick{}, sent_at);
    const auto& request = std::get<news_request>(std::get<send_to_peer>(requested.at(0)).message);
    const auto replied = reduce(reader.state, sync_requested{request}, sent_at);
    for (const milliseconds time : {200ms, 400ms, 600ms, 800ms}) {
        reduce(requester.state, sync_tick{}, sent_at + time);
    }
    // WHEN the reply arrives
    const auto effects = reduce(requester.state, sync_replied{reply_in(replied)}, sent_at + 900ms);
    // THEN its changes are applied, and confirmed as of the request
    LONGS_EQUAL(large.store_version, requester.state.topics.at(topic).version);
    const auto age = topic_age(requester.state, topic, sent_at + 900ms);
    CHECK_TRUE(age && *age >= 900ms && *age < 1500ms);
}

// Guards against a reply beyond the limit on messages, which is dropped: the source would look
// silent, and the next reply is longer.
TEST(store_sync, a_reply_leaves_out_what_does_not_fit_into_a_message) {
    // GIVEN a reader with long changes of three topics
    store_sync state;
    const std::string text(700'000, 'x');
    for (const char* const name : {"a", "b", "c"}) {
        reduce(state, topic_listed{name, 5, start, true, ""}, start);
        reduce(state, topic_watched{name, {5, 6, text}}, start);
    }
    // WHEN a peer that lacks all of them requests updates
    news_request request;
    request.sequence = 1;
    request.known = {{"a", 5}, {"b", 5}, {"c", 5}};
    const news_reply reply = reply_in(reduce(state, sync_requested{request}, start));
    // THEN the reply fits into a message, and names the version of the topic that it leaves out
    CHECK_TRUE(encode_message(reply).size() <= max_message_bytes);
    LONGS_EQUAL(1, reply.topics.at(0).changes.size());
    LONGS_EQUAL(1, reply.topics.at(1).changes.size());
    LONGS_EQUAL(0, reply.topics.at(2).changes.size());
    LONGS_EQUAL(6, reply.topics.at(2).version);
}

TEST(store_sync, a_very_large_fleet_has_a_reader_in_each_zone) {
    // GIVEN 640 instances in three zones
    const auto members = make_members(640);
    // WHEN each instance ranks its sources
    std::set<std::string> readers;
    for (const member& self : members) {
        if (detail::rank_sources(self, members).empty()) {
            readers.insert(self.zone.value);
        }
    }
    // THEN one instance in each zone has no source and reads the store
    LONGS_EQUAL(3, readers.size());
}
