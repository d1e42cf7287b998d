//! Directives of upstreams, with simulated fleets on a fake clock.
#include "upstream_directives/upstream_directives.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};
constexpr milliseconds step{10};

//! Requests that a fleet may send to an upstream in 4 s, by the users' rule.
double allowed_in_window(double per_second) {
    return 1.5 * per_second * 4 + 5;
}

//! Instances that send whenever they may, to an upstream whose limit all of them know.
struct greedy_fleet {
    std::vector<directive_state> instances;
    std::vector<instant> received;

    greedy_fleet(int count, double per_second) : instances(static_cast<std::size_t>(count)) {
        for (directive_state& one : instances) {
            apply_known_limit(one, per_second, start);
        }
    }

    void run(instant from, instant to) {
        const int count = static_cast<int>(instances.size());
        for (instant now = from; now < to; now += step) {
            for (int rank = 0; rank < count; ++rank) {
                directive_state& one = instances[static_cast<std::size_t>(rank)];
                while (time_to_next_request(one, {rank, count}, now) <= 0ms) {
                    record_request(one, now);
                    received.push_back(now);
                }
            }
        }
    }

    [[nodiscard]] int most_in_window() const {
        std::ptrdiff_t most = 0;
        for (auto first = received.begin(); first != received.end(); ++first) {
            const auto last = std::upper_bound(first, received.end(), *first + 4s);
            most = std::max(most, last - first);
        }
        return static_cast<int>(most);
    }
};

}  // namespace

TEST_GROUP(upstream_directives){};

TEST(upstream_directives, a_fleet_never_sends_more_than_an_upstreams_limit_allows) {
    for (const int instances : {1, 8, 95, 640}) {
        for (const double per_second : {0.1, 0.4, 1.0, 1.2, 30.0, 300.0}) {
            // GIVEN a fleet that learns of a limit
            greedy_fleet fleet(instances, per_second);
            // WHEN all its instances send as soon as they may
            fleet.run(start, start + 60s);
            // THEN the upstream gets no more than the rule allows in any 4 s
            CHECK_TRUE(fleet.most_in_window() <= allowed_in_window(per_second));
            // AND most of the limit is used
            const double total = per_second * 60;
            CHECK_TRUE(static_cast<double>(fleet.received.size()) >= 0.6 * total);
        }
    }
}

TEST(upstream_directives, unused_parts_allow_a_short_burst_only) {
    // GIVEN one instance at an upstream that takes two requests a second
    directive_state state;
    CHECK_TRUE(apply_directives(state, {2.0, {}, false}, start, start));
    // WHEN it sends as many as it may after ten seconds without a request
    const instant now = start + 10s;
    int sent = 0;
    while (time_to_next_request(state, {0, 1}, now) == 0ms) {
        LONGS_EQUAL(12 - sent, room_at(state, {0, 1}, now).value());
        record_request(state, now);
        ++sent;
    }
    // THEN these are the requests of four seconds and four more
    LONGS_EQUAL(12, sent);
    // AND it sends no more than the rate allows over eight seconds
    CHECK_TRUE(time_to_next_request(state, {0, 1}, now) == 4001ms);
    LONGS_EQUAL(4, room_at(state, {0, 1}, now + 4001ms).value());
}

TEST(upstream_directives, only_a_response_to_a_later_request_ends_a_limit) {
    // GIVEN a limit that a response named at 1 s
    directive_state state;
    CHECK_TRUE(apply_directives(state, {2.0, {}, false}, start, start + 1s));
    // WHEN a response without it arrives for a request that was sent before
    CHECK_FALSE(apply_directives(state, {}, start + 500ms, start + 1200ms));
    // THEN the limit stands
    CHECK_TRUE(state.max_per_second.has_value());
    // WHEN one arrives for a later request
    CHECK_TRUE(apply_directives(state, {}, start + 1100ms, start + 1300ms));
    // THEN it has ended
    CHECK_TRUE(time_to_next_request(state, {7, 8}, start + 1300ms) == 0ms);
}

TEST(upstream_directives, an_instance_without_a_part_notices_the_end_by_itself) {
    // GIVEN the last of eight instances at an upstream that takes one request in two seconds
    directive_state state;
    apply_known_limit(state, 0.5, start);
    CHECK_TRUE(divide_rate(0.5, {7, 8}).first_in > 0ms);
    // WHEN no other instance tells it that the limit has ended
    // THEN it sends one request after a while
    CHECK_TRUE(time_to_next_request(state, {7, 8}, start + 10s) > 0ms);
    CHECK_TRUE(time_to_next_request(state, {7, 8}, start + 121s) == 0ms);
}

TEST(upstream_directives, an_upstream_gets_nothing_while_it_wants_no_requests) {
    // GIVEN an upstream that asked for no requests for two seconds, then for half a second
    directive_state state;
    apply_directives(state, {{}, 2000ms, false}, start, start);
    apply_directives(state, {{}, 500ms, false}, start, start + 100ms);
    // WHEN another request comes meanwhile
    // THEN it waits for the longer time, not more
    CHECK_TRUE(time_to_next_request(state, {0, 1}, start + 1s) == 1000ms);
    CHECK_TRUE(time_to_next_request(state, {0, 1}, start + 2s) == 0ms);
}

TEST(upstream_directives, a_leaving_upstream_gets_nothing_until_it_starts_again) {
    // GIVEN an upstream that said that it leaves, and responses from before that arrive late
    directive_state state;
    set_incarnation(state, 5);
    apply_directives(state, {{}, {}, true}, start, start);
    apply_directives(state, {}, start, start + 100ms);
    // WHEN another request comes
    // THEN it isn't sent there
    CHECK_TRUE(time_to_next_request(state, {0, 1}, start + 60s) == milliseconds::max());
    // WHEN it has started again under its id
    set_incarnation(state, 6);
    // THEN it gets requests
    CHECK_TRUE(time_to_next_request(state, {0, 1}, start + 60s) == 0ms);
}

// Guards against a limit whose count doesn't fit an integer and is taken for none.
TEST(upstream_directives, a_limit_beyond_all_counts_is_shared_as_the_greatest) {
    for (const double per_second : {1e9, 1e18, 1e300}) {
        // GIVEN an upstream with a limit whose requests in a window can't be counted
        directive_state state;
        apply_known_limit(state, per_second, start);
        // WHEN an instance of many asks for its room
        const std::optional<int> room = room_at(state, {7, 640}, start + 1s);
        // THEN it has its share of the greatest count, and may send at once
        CHECK_TRUE(room.has_value());
        CHECK_TRUE(*room >= 1'000'000);
        CHECK_TRUE(time_to_next_request(state, {7, 640}, start + 1s) == 0ms);
    }
}
