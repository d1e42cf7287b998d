#include "serving/serving_config.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

route make_route(std::string name, std::string host, std::string prefix) {
    route result;
    result.name = std::move(name);
    result.host = std::move(host);
    result.path_prefix = std::move(prefix);
    return result;
}

}  // namespace

TEST_GROUP(serving_config){};

TEST(serving_config, the_longest_prefix_of_the_host_wins) {
    // GIVEN nested prefixes on one host and the same prefix on another
    serving_config config;
    config.routes = {make_route("short", "a", "/x/"), make_route("long", "a", "/x/y/"),
                     make_route("other", "b", "/x/y/")};
    // WHEN paths are looked up
    // THEN the route with the longest matching prefix of that host is found, and none for an
    // unknown host or path
    STRCMP_EQUAL("long", find_route(config, "a", "/x/y/z")->name.c_str());
    STRCMP_EQUAL("short", find_route(config, "a", "/x/z")->name.c_str());
    STRCMP_EQUAL("other", find_route(config, "b", "/x/y/")->name.c_str());
    POINTERS_EQUAL(nullptr, find_route(config, "a", "/x"));
    POINTERS_EQUAL(nullptr, find_route(config, "c", "/x/y/"));
}

TEST(serving_config, pools_are_drawn_by_weight) {
    // GIVEN a route split nine to one
    route split;
    split.pools = {{{"large"}, 9}, {{"small"}, 1}};
    // WHEN the draws 0 to 99 are used
    int small = 0;
    for (std::uint64_t draw = 0; draw < 100; ++draw) {
        small += choose_pool(split, draw).value == "small" ? 1 : 0;
    }
    // THEN each pool is chosen exactly in proportion to its weight
    LONGS_EQUAL(10, small);
}

TEST(serving_config, callers_of_streams_give_up_after_a_gap) {
    // GIVEN a stream with an objective of 1.4 s and a deadline of 15 s, and a plain route
    route stream;
    stream.kind = request_kind::stream;
    stream.objective = 1400ms;
    stream.max_event_gap = 250ms;
    // WHEN the time that their callers wait is computed
    // THEN the stream's first event must be sent within four objectives, and within 2 s at least
    LONGS_EQUAL(5600, first_response_timeout(stream, 15s).count());
    LONGS_EQUAL(4000, first_response_timeout(stream, 4s).count());
    stream.objective = 100ms;
    LONGS_EQUAL(2000, first_response_timeout(stream, 15s).count());
    LONGS_EQUAL(15000, first_response_timeout(route{}, 15s).count());
}

TEST(serving_config, only_idempotent_and_resumable_requests_are_repeatable) {
    // GIVEN a route
    route checked;
    // WHEN it has each kind in turn
    // THEN it is repeatable only if idempotent, or if a resumable stream
    checked.kind = request_kind::non_idempotent;
    CHECK_FALSE(is_repeatable(checked));
    checked.kind = request_kind::stream;
    CHECK_FALSE(is_repeatable(checked));
    checked.is_resumable = true;
    CHECK_TRUE(is_repeatable(checked));
    checked.kind = request_kind::idempotent;
    CHECK_TRUE(is_repeatable(checked));
}
