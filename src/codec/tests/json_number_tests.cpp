#include "codec/json_number.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr int max_int = std::numeric_limits<int>::max();
constexpr int min_int = std::numeric_limits<int>::min();
constexpr double infinity = std::numeric_limits<double>::infinity();

}  // namespace

TEST_GROUP(json_number){};

TEST(json_number, a_floating_point_number_becomes_the_nearest_integer_of_the_type) {
    // GIVEN numbers inside and outside the range of a type
    // WHEN they are converted, THEN those outside become its least or greatest
    LONGS_EQUAL(-2, truncate_to<int>(-2.9));
    LONGS_EQUAL(3, round_to<int>(2.5));
    for (const double large : {2147483647.0, 2147483648.0, 1e300, infinity}) {
        LONGS_EQUAL(max_int, truncate_to<int>(large));
        LONGS_EQUAL(min_int, truncate_to<int>(-large - 1));
        CHECK_TRUE(truncate_to<std::uint64_t>(-large) == 0);
    }
    CHECK_TRUE(truncate_to<std::int64_t>(9223372036854775808.0) ==
               std::numeric_limits<std::int64_t>::max());
    CHECK_TRUE(truncate_to<std::uint64_t>(18446744073709551616.0) ==
               std::numeric_limits<std::uint64_t>::max());
    // AND what is no number becomes 0
    LONGS_EQUAL(0, truncate_to<int>(std::numeric_limits<double>::quiet_NaN()));
    LONGS_EQUAL(0, round_to<int>(std::numeric_limits<double>::quiet_NaN()));
}

TEST(json_number, sums_of_the_longest_times_do_not_overflow) {
    // GIVEN a machine that has run for a century
    const instant now{max_time};
    // WHEN the longest times are added a thousand times
    instant at = now;
    for (int i = 0; i < 1000; ++i) {
        at += to_milliseconds(infinity);
    }
    // THEN the result is later
    CHECK_TRUE(at > now);
    CHECK_TRUE(to_milliseconds(-infinity) == -max_time);
    CHECK_TRUE(to_milliseconds(1.5) == 2ms);
}

TEST(json_number, members_that_do_not_fit_become_the_nearest_integer) {
    // GIVEN an object with numbers of all kinds
    const auto object = nlohmann::json::parse(
        R"({"in":7,"above":4294967298,"below":-4294967298,"float":2.9,"huge":1e300,
            "greatest":18446744073709551615,"text":"7"})");
    // WHEN its members are read as an int, THEN they are the nearest ones
    LONGS_EQUAL(7, integer_member(object, "in", 1));
    LONGS_EQUAL(max_int, integer_member(object, "above", 1));
    LONGS_EQUAL(min_int, integer_member(object, "below", 1));
    LONGS_EQUAL(2, integer_member(object, "float", 1));
    LONGS_EQUAL(max_int, integer_member(object, "huge", 1));
    LONGS_EQUAL(max_int, integer_member(object, "greatest", 1));
    CHECK_TRUE(integer_member(object, "below", std::uint64_t{1}) == 0);
    // AND the one that is missing is the default, and a text is an error
    LONGS_EQUAL(1, integer_member(object, "none", 1));
    CHECK_THROWS(nlohmann::json::type_error, integer_member(object, "text", 1));
}
