//! Statistical tests of the results of a new software version against those of the old ones.
#pragma once

#include "types/peer_messages.h"

#include <span>
#include <string>

namespace cyclamenmount {

//! Level at which one test rejects the target. A verdict looks about 120 times at up to a few dozen
//! tests, so that a good version is rejected with a probability of less than 1%.
inline constexpr double rejection_level = 1e-6;
//! Level below which a test is near rejection and keeps the target from being accepted.
inline constexpr double doubt_level = 5e-3;

//! Bucket of a time: four to each doubling, from 10 ms on. Shorter times count as 10 ms, because
//! networks and schedulers alone vary by as much.
std::size_t time_bucket(milliseconds time);

//! Adds a time to a histogram.
void add_time(std::vector<std::uint64_t>& histogram, milliseconds time);

//! Adds the counts of `more`, whose histograms may be of any length.
void add_results(version_results& sum, const version_results& more);

//! Probability that at least `target_bad` of the bad responses fall to the target if both fail
//! equally often (Fisher's exact test).
double failure_probability(std::uint64_t target_bad, std::uint64_t target_count,
                           std::uint64_t old_bad, std::uint64_t old_count);

//! Probability of times like the target's if they were at most twice the old ones: the least of a
//! rank test and of tests of two tails, multiplied by their number.
double slowness_probability(std::span<const std::uint64_t> target,
                            std::span<const std::uint64_t> old);

//! The test that speaks most against the target, and the next one.
struct result_evidence {
    double probability{1};  //!< of the strongest test
    std::string test;       //!< its name and route
    std::uint64_t target_bad{0};
    std::uint64_t target_count{0};
    std::uint64_t old_bad{0};
    std::uint64_t old_count{0};
    double next_probability{1};
    std::string next_test;

    [[nodiscard]] bool is_rejected() const {
        return probability < rejection_level;
    }
};

//! Runs all tests, by route and over all routes. Results of one route and version may be in several
//! entries.
result_evidence test_results(std::span<const version_results> results);

//! True if the target has as many results on each route as `share` of the route's requests lets
//! expect, or enough of them whatever the traffic.
bool has_enough_results(std::span<const version_results> results, double share);

}  // namespace cyclamenmount
