#include "serving/event_splitter.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

TEST_GROUP(event_splitter){};

TEST(event_splitter, only_whole_events_are_returned) {
    // GIVEN an event that arrives in three parts
    event_splitter events;
    // WHEN the parts are fed
    const std::string first = events.feed("id: 0\nda");
    const std::string second = events.feed("ta: x\n");
    const std::string third = events.feed("\nid: 1\n");
    // THEN the event comes whole with its last byte, and the next one's part is kept
    STRCMP_EQUAL("", first.c_str());
    STRCMP_EQUAL("", second.c_str());
    STRCMP_EQUAL("id: 0\ndata: x\n\n", third.c_str());
    CHECK_TRUE(events.has_partial());
    LONGS_EQUAL(0, *events.last_id());
}

TEST(event_splitter, events_seen_before_are_left_out_after_a_break) {
    // GIVEN a stream that broke within event 2
    event_splitter events;
    (void)events.feed("id: 1\ndata: a\n\nid: 2\nda");
    // WHEN another run sends events 1 to 3
    events.drop_partial();
    const std::string rest = events.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    // THEN only those not passed on yet are returned
    STRCMP_EQUAL("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", rest.c_str());
    LONGS_EQUAL(3, *events.last_id());
    CHECK_FALSE(events.has_partial());
}
