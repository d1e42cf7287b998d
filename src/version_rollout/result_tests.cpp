#include "version_rollout/result_tests.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <numeric>

#include <boost/math/distributions/hypergeometric.hpp>
#include <boost/math/distributions/normal.hpp>

namespace cyclamenmount {

namespace {

constexpr milliseconds min_time{10};
constexpr std::size_t buckets_per_doubling = 4;
//! The longest bucket is reached at 10 ms x 2^15, about five minutes.
constexpr std::size_t bucket_count = 15 * buckets_per_doubling + 1;
//! The normal approximation of the rank test is poor below these counts.
constexpr double min_target_times = 8;
constexpr double min_old_times = 20;
//! Bound of the sum of counts, which are from peers, so that the exact test stays cheap.
constexpr std::uint64_t max_exact_count = 200'000;
//! Results of the target on a route that suffice whatever the traffic.
constexpr double sufficient_results = 20;

std::uint64_t total(std::span<const std::uint64_t> histogram) {
    return std::accumulate(histogram.begin(), histogram.end(), std::uint64_t{0});
}

std::uint64_t count_from(std::span<const std::uint64_t> histogram, std::size_t first) {
    return first >= histogram.size() ? 0 : total(histogram.subspan(first));
}

//! First bucket above the quantile.
std::size_t bucket_above(std::span<const std::uint64_t> histogram, double quantile) {
    const double wanted = quantile * static_cast<double>(total(histogram));
    double sum = 0;
    for (std::size_t bucket = 0; bucket < histogram.size(); ++bucket) {
        sum += static_cast<double>(histogram[bucket]);
        if (sum >= wanted) {
            return bucket + 1;
        }
    }
    return histogram.size();
}

//! Rank test (Mann-Whitney with ties) of the target's times against twice the old ones.
double rank_probability(std::span<const std::uint64_t> target, std::span<const std::uint64_t> old) {
    const auto targets = static_cast<double>(total(target));
    const auto olds = static_cast<double>(total(old));
    const double all = targets + olds;
    double below = 0;
    double greater_pairs = 0;
    double ties = 0;
    for (std::size_t bucket = 0; bucket < target.size() + old.size() + buckets_per_doubling;
         ++bucket) {
        const double of_target = bucket < target.size() ? static_cast<double>(target[bucket]) : 0;
        const bool has_old =
            bucket >= buckets_per_doubling && bucket - buckets_per_doubling < old.size();
        const double of_old = has_old ? static_cast<double>(old[bucket - buckets_per_doubling]) : 0;
        greater_pairs += of_target * (below + of_old / 2);
        below += of_old;
        const double tied = of_target + of_old;
        ties += tied * tied * tied - tied;
    }
    const double variance = targets * olds / 12 * (all + 1 - ties / (all * (all - 1)));
    if (!(variance > 0)) {
        return 1;
    }
    const double deviation = (greater_pairs - targets * olds / 2 - 0.5) / std::sqrt(variance);
    return boost::math::cdf(boost::math::complement(boost::math::normal(), deviation));
}

//! The results of the target and of the old versions on a route.
struct compared_results {
    version_results target;
    version_results old;
};

void weigh(result_evidence& evidence, double probability, const std::string& test,
           const compared_results& compared) {
    if (probability >= evidence.probability) {
        if (probability < evidence.next_probability) {
            evidence.next_probability = probability;
            evidence.next_test = test;
        }
        return;
    }
    evidence.next_probability = evidence.probability;
    evidence.next_test = evidence.test;
    evidence.probability = probability;
    evidence.test = test;
    evidence.target_bad = compared.target.bad;
    evidence.target_count = compared.target.requests;
    evidence.old_bad = compared.old.bad;
    evidence.old_count = compared.old.requests;
}

std::map<std::string, compared_results> by_route(std::span<const version_results> results) {
    std::map<std::string, compared_results> routes;
    for (const version_results& one : results) {
        compared_results& compared = routes[one.route];
        add_results(one.is_target ? compared.target : compared.old, one);
    }
    return routes;
}

}  // namespace

std::size_t time_bucket(milliseconds time) {
    const auto ratio = static_cast<double>(std::max(time, min_time).count()) /
                       static_cast<double>(min_time.count());
    const auto bucket =
        static_cast<std::size_t>(std::log2(ratio) * static_cast<double>(buckets_per_doubling));
    return std::min(bucket, bucket_count - 1);
}

void add_time(std::vector<std::uint64_t>& histogram, milliseconds time) {
    const std::size_t bucket = time_bucket(time);
    if (histogram.size() <= bucket) {
        histogram.resize(bucket + 1);
    }
    ++histogram[bucket];
}

void add_results(version_results& sum, const version_results& more) {
    // Counts of peers may be absurd; clamped, their sums don't overflow.
    const auto clamped = [](std::uint64_t count) { return std::min(count, max_exact_count * 100); };
    const auto add = [&](std::vector<std::uint64_t>& to, const std::vector<std::uint64_t>& from) {
        const std::size_t used = std::min(from.size(), bucket_count);
        to.resize(std::max(to.size(), used));
        for (std::size_t bucket = 0; bucket < used; ++bucket) {
            to[bucket] += clamped(from[bucket]);
        }
    };
    sum.requests += clamped(more.requests);
    sum.bad += clamped(std::min(more.bad, more.requests));
    add(sum.first_event, more.first_event);
    add(sum.longest_gap, more.longest_gap);
    add(sum.plain, more.plain);
}

double failure_probability(std::uint64_t target_bad, std::uint64_t target_count,
                           std::uint64_t old_bad, std::uint64_t old_count) {
    if (target_bad == 0 || old_count == 0) {
        return 1;
    }
    while (target_count + old_count > max_exact_count) {
        target_bad /= 2;
        target_count /= 2;
        old_bad = (old_bad + 1) / 2;
        old_count = (old_count + 1) / 2;
    }
    if (target_bad == 0) {
        return 1;
    }
    const boost::math::hypergeometric_distribution<double> expected(
        static_cast<unsigned>(target_bad + old_bad), static_cast<unsigned>(target_count),
        static_cast<unsigned>(target_count + old_count));
    const auto lower = static_cast<unsigned>(target_bad - 1);
    const auto least = boost::math::support(expected).first;
    return lower < least ? 1 : boost::math::cdf(boost::math::complement(expected, lower));
}

double slowness_probability(std::span<const std::uint64_t> target,
                            std::span<const std::uint64_t> old) {
    constexpr std::array tails{0.9, 0.98};
    const std::uint64_t targets = total(target);
    const std::uint64_t olds = total(old);
    if (static_cast<double>(targets) < min_target_times ||
        static_cast<double>(olds) < min_old_times) {
        return 1;
    }
    double least = rank_probability(target, old);
    for (const double quantile : tails) {
        const std::size_t first = bucket_above(old, quantile);
        least =
            std::min(least, failure_probability(count_from(target, first + buckets_per_doubling),
                                                targets, count_from(old, first), olds));
    }
    return std::min(1.0, least * (1 + tails.size()));
}

result_evidence test_results(std::span<const version_results> results) {
    result_evidence evidence;
    compared_results all;
    const auto test = [&](const std::string& route, const compared_results& compared) {
        const version_results& target = compared.target;
        const version_results& old = compared.old;
        weigh(evidence, failure_probability(target.bad, target.requests, old.bad, old.requests),
              "failures " + route, compared);
        weigh(evidence, slowness_probability(target.first_event, old.first_event),
              "first event " + route, compared);
        weigh(evidence, slowness_probability(target.longest_gap, old.longest_gap), "gaps " + route,
              compared);
        weigh(evidence, slowness_probability(target.plain, old.plain), "plain " + route, compared);
    };
    for (const auto& [route, compared] : by_route(results)) {
        test(route, compared);
        add_results(all.target, compared.target);
        add_results(all.old, compared.old);
    }
    // Times of different routes aren't comparable unless their mix is the same in both versions.
    weigh(evidence,
          failure_probability(all.target.bad, all.target.requests, all.old.bad, all.old.requests),
          "failures of all routes", all);
    return evidence;
}

bool has_enough_results(std::span<const version_results> results, double share) {
    for (const auto& [route, compared] : by_route(results)) {
        const auto of_target = static_cast<double>(compared.target.requests);
        const double requests = of_target + static_cast<double>(compared.old.requests);
        const double expected = share * requests / 2;
        if (of_target < std::min(sufficient_results, std::floor(expected))) {
            return false;
        }
    }
    return true;
}

}  // namespace cyclamenmount
