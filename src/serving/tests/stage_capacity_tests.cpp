#include "serving/stage_capacity.h"
#include "types/numeric.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

const stage_limits usual{8, 150, 16, 36, 4000ms};
const pool_name pool{"p"};
constexpr int max_int = std::numeric_limits<int>::max();

fleet_view make_view(const stage_limits& limits, std::size_t upstreams) {
    auto config = std::make_shared<serving_config>();
    config->pools[pool].stage = limits;
    fleet_view view;
    view.config = config;
    view.pools[pool].resize(upstreams);
    return view;
}

std::optional<std::size_t> find(const fleet_view& view, std::vector<int> pieces,
                                milliseconds time) {
    route from;
    from.stages.resize(pieces.size());
    for (route_stage& stage : from.stages) {
        stage.pool = pool;
    }
    return find_oversized_stage(make_stage_graph(from, pieces), view, time);
}

}  // namespace

TEST_GROUP(stage_capacity){};

// Guards against a sound request that is refused as too large.
TEST(stage_capacity, all_pieces_that_a_pool_can_make_are_within_the_bound) {
    for (const std::size_t upstreams : {1U, 5U, 100U}) {
        for (const int time_ms : {1, 150, 170, 278, 600, 6000}) {
            // GIVEN upstreams that work at the nominal speed
            const int full_calls = time_ms / 278;
            const int left_ms = time_ms % 278;
            const int last = left_ms < 166 ? 0 : std::min(8, (left_ms - 150) / 16);
            const int made = static_cast<int>(upstreams) * (8 * full_calls + last);
            // THEN what they make in the time isn't too much
            CHECK_TRUE(max_pieces(usual, upstreams, milliseconds(time_ms)) >= made);
        }
    }
    // AND a pool that has lost most of its upstreams isn't taken for a small one
    CHECK_FALSE(find(make_view(usual, 1), {100, 100}, 6000ms).has_value());
    CHECK_FALSE(find(make_view(usual, 0), {100}, 6000ms).has_value());
}

// Guards against memory and time that are spent in proportion to a number in a request.
TEST(stage_capacity, pieces_that_no_pool_can_make_in_time_are_found) {
    CHECK_EQUAL(std::size_t{0}, find(make_view(usual, 3), {30'000'000, 2}, 6000ms).value());
    CHECK_EQUAL(std::size_t{1}, find(make_view(usual, 3), {2, 30'000'000}, 6000ms).value());
    CHECK_EQUAL(std::size_t{0}, find(make_view(usual, 3), {20'000}, 6000ms).value());
    CHECK_EQUAL(std::size_t{0}, find(make_view(usual, 3), {1}, 0ms).value());
    CHECK_EQUAL(std::size_t{0}, find(make_view(usual, 1000), {max_int}, max_time).value());
}

// Guards against a bound that vanishes with odd limits of a configuration.
TEST(stage_capacity, the_bound_holds_for_all_limits) {
    for (const double ms : {0.0, -1e300, 1e300}) {
        for (const int batch : {1, 1'000'000}) {
            const stage_limits odd{batch, ms, ms, 0, 0ms};
            const int most = max_pieces(odd, 1'000'000, max_time);
            CHECK_TRUE(most >= 1 && most <= max_stage_pieces);
        }
    }
}
