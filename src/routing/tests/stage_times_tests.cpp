#include "routing/stage_times.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

TEST_GROUP(stage_times_group){};

TEST(stage_times_group, quantile_is_zero_with_few_samples) {
    stage_times times;
    for (int i = 0; i < 9; ++i) {
        record_time(times, milliseconds(100), milliseconds(10));
    }
    LONGS_EQUAL(0, duration_quantile(times, 0.5).count());
}

TEST(stage_times_group, quantiles_are_within_one_bucket) {
    // GIVEN durations of 1 to 500 ms
    stage_times times;
    for (int i = 1; i <= 500; ++i) {
        record_time(times, milliseconds(i), milliseconds(i / 10));
    }
    // THEN each quantile is at most one bucket, a factor of about 1.2, above the exact value
    for (const double q : {0.1, 0.5, 0.9, 0.95, 1.0}) {
        const double exact = q * 500;
        const auto found = static_cast<double>(duration_quantile(times, q).count());
        CHECK(found >= exact * 0.99);
        CHECK(found <= exact * 1.25 + 1);
    }
    CHECK(first_byte_quantile(times, 0.5).count() <= 32);
}

TEST(stage_times_group, old_samples_lose_weight) {
    stage_times times;
    for (int i = 0; i < 2000; ++i) {
        record_time(times, milliseconds(1000), milliseconds(0));
    }
    for (int i = 0; i < 4000; ++i) {
        record_time(times, milliseconds(10), milliseconds(0));
    }
    CHECK(duration_quantile(times, 0.9).count() < 20);
}
