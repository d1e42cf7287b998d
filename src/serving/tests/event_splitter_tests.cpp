#include "serving/event_splitter.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

TEST_GROUP(event_splitter){};

TEST(event_splitter, only_complete_events_are_returned) {
    // GIVEN an event that arrives in three parts
    event_splitter splitter;
    // WHEN the parts are fed
    const std::string first = splitter.feed("id: 0\nda");
    const std::string second = splitter.feed("ta: x\n");
    const std::string third = splitter.feed("\nid: 1\n");
    // THEN the event is returned with its last byte, and the start of the next one is buffered
    STRCMP_EQUAL("", first.c_str());
    STRCMP_EQUAL("", second.c_str());
    STRCMP_EQUAL("id: 0\ndata: x\n\n", third.c_str());
    LONGS_EQUAL(6, splitter.partial_bytes());
    LONGS_EQUAL(0, *splitter.last_id());
}

// Guards against a search of the whole incomplete event for each part that arrives, which kept the
// event loop from all other requests.
TEST(event_splitter, a_long_event_in_small_parts_is_searched_once) {
    // GIVEN an event of 4 MB
    event_splitter splitter;
    constexpr std::size_t size = std::size_t{4} * 1024 * 1024;
    std::string event = "id: 0\ndata: ";
    event.resize(size, 'x');
    event += "\n\n";
    // WHEN it arrives byte by byte (a search of all that arrived for each byte would take hours)
    std::string returned;
    for (const char byte : event) {
        returned += splitter.feed({&byte, 1});
    }
    // THEN it is returned whole
    CHECK_TRUE(returned == event);
    LONGS_EQUAL(0, splitter.partial_bytes());
}

TEST(event_splitter, an_event_that_follows_its_predecessor_in_one_part_is_found) {
    // GIVEN an event whose end is split between two parts, the second with two more events
    event_splitter splitter;
    STRCMP_EQUAL("", splitter.feed("id: 0\ndata: x\n").c_str());
    // WHEN the second part arrives
    // THEN all three are returned, and the rest is kept
    STRCMP_EQUAL("id: 0\ndata: x\n\n\n\nid: 1\n\n", splitter.feed("\n\n\nid: 1\n\nid: 2").c_str());
    LONGS_EQUAL(5, splitter.partial_bytes());
}

TEST(event_splitter, events_returned_before_an_interruption_are_dropped) {
    // GIVEN a stream that was interrupted within event 2
    event_splitter splitter;
    (void)splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
    // WHEN a second attempt sends events 1 to 3
    splitter.drop_partial();
    const std::string rest =
        splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    // THEN only events 2 and 3 are returned
    STRCMP_EQUAL("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", rest.c_str());
    LONGS_EQUAL(3, *splitter.last_id());
    LONGS_EQUAL(0, splitter.partial_bytes());
}
