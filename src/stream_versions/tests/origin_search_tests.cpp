#include "stream_versions/origin_search.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

const member self{{"self"}, "127.0.0.1:1", {"z"}};
const member peer_1{{"peer-1"}, "127.0.0.1:2", {"z"}};
const member peer_2{{"peer-2"}, "127.0.0.1:3", {"z"}};
const std::vector<member> members{self, peer_1, peer_2};
const stream_origin origin{{"engines"}, {"v1"}};
const std::string key = stream_key("a");
const std::string other_key = stream_key("b");
constexpr instant start{milliseconds(1'000'000)};

recorded_stream make_recorded(const std::string& stream) {
    return {stream, origin.pool, origin.version};
}

}  // namespace

TEST_GROUP(origin_search) {
    origin_searches searches;
};

TEST(origin_search, all_peers_get_one_request_for_all_streams) {
    // WHEN
    const auto sent = begin_search(searches, self, members, {key, other_key, ""}, start);
    // THEN
    LONGS_EQUAL(2, sent.size());
    CHECK_TRUE(sent[0].to == peer_1 && sent[1].to == peer_2);
    const auto& request = std::get<origins_request>(sent[0].message);
    CHECK_TRUE(request.from == self);
    LONGS_EQUAL(searches.last_sequence, request.sequence);
    CHECK_TRUE((std::set<std::string>(request.streams.begin(), request.streams.end()) ==
                std::set<std::string>{key, other_key}));
    CHECK_FALSE(is_over(searches, searches.last_sequence, start));
}

TEST(origin_search, a_stream_without_a_key_is_not_asked_for) {
    // WHEN
    const auto sent = begin_search(searches, self, members, {""}, start);
    // THEN
    LONGS_EQUAL(0, sent.size());
    CHECK_TRUE(is_over(searches, searches.last_sequence, start));
}

TEST(origin_search, an_instance_without_peers_awaits_nobody) {
    // WHEN
    (void)begin_search(searches, self, std::span(members).first(1), {key}, start);
    // THEN
    CHECK_TRUE(is_over(searches, searches.last_sequence, start));
}

TEST(origin_search, a_record_of_one_peer_is_an_answer) {
    // GIVEN
    (void)begin_search(searches, self, members, {key, other_key}, start);
    // WHEN
    const auto found = take_reply(searches, peer_2.id, {1, {make_recorded(key)}});
    // THEN
    LONGS_EQUAL(1, found.origins.size());
    CHECK_TRUE(found.origins.at(key) == origin);
    LONGS_EQUAL(0, found.dropped);
    CHECK_FALSE(is_over(searches, 1, start));
}

TEST(origin_search, a_search_is_over_when_all_peers_know_nothing) {
    // GIVEN
    (void)begin_search(searches, self, members, {key}, start);
    (void)take_reply(searches, peer_1.id, {1, {}});
    CHECK_FALSE(is_over(searches, 1, start));
    // WHEN
    const auto found = take_reply(searches, peer_2.id, {1, {}});
    // THEN
    LONGS_EQUAL(0, found.origins.size());
    CHECK_TRUE(is_over(searches, 1, start));
    // AND it is forgotten
    expire_searches(searches, start);
    CHECK_TRUE(searches.open.empty());
}

TEST(origin_search, a_peer_that_does_not_reply_is_awaited_for_a_short_time) {
    // GIVEN
    (void)begin_search(searches, self, members, {key}, start);
    (void)take_reply(searches, peer_1.id, {1, {}});
    // THEN
    CHECK_FALSE(is_over(searches, 1, start + origin_reply_time - 1ms));
    CHECK_TRUE(is_over(searches, 1, start + origin_reply_time));
    // AND WHEN its reply comes late, it still counts
    expire_searches(searches, start + origin_reply_time);
    LONGS_EQUAL(1, take_reply(searches, peer_2.id, {1, {make_recorded(key)}}).origins.size());
}

TEST(origin_search, a_reply_that_nobody_awaits_brings_nothing) {
    // GIVEN
    (void)begin_search(searches, self, members, {key}, start);
    (void)take_reply(searches, peer_1.id, {1, {}});
    // THEN a second one, one to another request and one of an instance that was not asked don't
    // count
    LONGS_EQUAL(0, take_reply(searches, peer_1.id, {1, {make_recorded(key)}}).origins.size());
    LONGS_EQUAL(0, take_reply(searches, peer_2.id, {2, {make_recorded(key)}}).origins.size());
    LONGS_EQUAL(0, take_reply(searches, {"other"}, {1, {make_recorded(key)}}).origins.size());
    CHECK_FALSE(is_over(searches, 1, start));
}

TEST(origin_search, entries_that_can_not_be_an_answer_are_dropped_alone) {
    // GIVEN
    (void)begin_search(searches, self, members, {key}, start);
    // WHEN a reply has a stream that wasn't asked for, one without a pool, one with an endless name
    // and a second entry of one stream
    recorded_stream without_pool = make_recorded(key);
    without_pool.pool.value.clear();
    recorded_stream endless = make_recorded(key);
    endless.version.value.assign(100'000, 'v');
    const auto found = take_reply(searches, peer_1.id,
                                  {1,
                                   {make_recorded(other_key),
                                    without_pool,
                                    endless,
                                    make_recorded(key),
                                    {key, origin.pool, {"v2"}}}});
    // THEN
    LONGS_EQUAL(4, found.dropped);
    LONGS_EQUAL(1, found.origins.size());
    CHECK_TRUE(found.origins.at(key) == origin);
}

TEST(origin_search, a_reply_names_recorded_streams_alone) {
    // GIVEN
    stream_records records;
    add_record(records, {key, origin, start});
    // WHEN
    const auto reply = make_origins_reply(records, {self, 7, {key, other_key}});
    // THEN
    LONGS_EQUAL(7, reply.sequence);
    LONGS_EQUAL(1, reply.streams.size());
    STRCMP_EQUAL(key.c_str(), reply.streams[0].key.c_str());
    CHECK_TRUE(reply.streams[0].pool == origin.pool && reply.streams[0].version == origin.version);
}

TEST(origin_search, the_work_for_one_request_is_bounded) {
    // GIVEN a request for more streams than an instance sends
    stream_records records;
    add_record(records, {key, origin, start});
    origins_request request{self, 7, std::vector<std::string>(max_searched_streams, other_key)};
    request.streams.push_back(key);
    // THEN the rest isn't looked up
    LONGS_EQUAL(0, make_origins_reply(records, request).streams.size());
}
