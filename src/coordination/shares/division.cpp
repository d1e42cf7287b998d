#include "coordination/shares/internal/division.h"

#include <algorithm>
#include <numeric>

namespace cyclamenmount::detail {

namespace {

//! Fraction of every limit that all members together may use without grants.
constexpr double floor_fraction = 0.3;

//! Returns the level at which parts are capped, for demands whose sum exceeds the limit.
double fair_level(double limit, std::span<const double> demands) {
    std::vector<double> sorted(demands.begin(), demands.end());
    std::sort(sorted.begin(), sorted.end());
    double remaining = limit;
    for (std::size_t index = 0; index < sorted.size(); ++index) {
        const double level = remaining / static_cast<double>(sorted.size() - index);
        if (sorted[index] >= level) {
            return level;
        }
        remaining -= sorted[index];
    }
    return limit;
}

}  // namespace

std::vector<double> divide(double limit, std::span<const double> demands) {
    std::vector<double> parts(demands.begin(), demands.end());
    const double sum = std::accumulate(demands.begin(), demands.end(), 0.0);
    if (sum <= limit) {
        const double spare = (limit - sum) / static_cast<double>(demands.size());
        for (double& part : parts) {
            part += spare;
        }
        return parts;
    }
    const double level = fair_level(limit, demands);
    for (double& part : parts) {
        part = std::min(part, level);
    }
    return parts;
}

std::vector<int> divide_units(int limit, std::span<const int> demands) {
    const std::vector<double> wanted(demands.begin(), demands.end());
    std::vector<int> parts;
    for (const double part : divide(limit, wanted)) {
        parts.push_back(static_cast<int>(part));
    }
    int remaining = limit - std::accumulate(parts.begin(), parts.end(), 0);
    for (std::size_t index = 0; index < parts.size() && remaining > 0; ++index) {
        if (parts[index] < demands[index]) {
            ++parts[index];
            --remaining;
        }
    }
    return parts;
}

//! Counts one member more than there are, as the owner reserves a floor share for a member that
//! joins.
workspace_share floor_share(const workspace_name& workspace, const allowance& limits,
                            std::size_t member_count) {
    const double fraction = floor_fraction / static_cast<double>(member_count + 1);
    return {workspace, limits.requests_per_second * fraction,
            static_cast<int>(limits.concurrent * fraction), limits.tokens_per_minute * fraction};
}

workspace_share equal_share(const workspace_name& workspace, const allowance& limits,
                            std::size_t member_count) {
    const auto count = static_cast<double>(std::max<std::size_t>(1, member_count));
    return {workspace, limits.requests_per_second / count,
            static_cast<int>(limits.concurrent / count), limits.tokens_per_minute / count};
}

bool is_zero(const workspace_demand& demand) {
    return demand.requests_per_second == 0 && demand.concurrent == 0 && demand.running == 0 &&
           demand.tokens_per_minute == 0;
}

workspace_share lower_of(const workspace_share& left, const workspace_share& right) {
    return {left.workspace, std::min(left.requests_per_second, right.requests_per_second),
            std::min(left.concurrent, right.concurrent),
            std::min(left.tokens_per_minute, right.tokens_per_minute)};
}

workspace_share higher_of(const workspace_share& left, const workspace_share& right) {
    return {left.workspace, std::max(left.requests_per_second, right.requests_per_second),
            std::max(left.concurrent, right.concurrent),
            std::max(left.tokens_per_minute, right.tokens_per_minute)};
}

}  // namespace cyclamenmount::detail
