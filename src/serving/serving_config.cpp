#include "serving/serving_config.h"

#include <algorithm>

namespace cyclamenmount {

const route* find_route(const serving_config& config, std::string_view host,
                        std::string_view path) {
    const route* longest = nullptr;
    for (const route& candidate : config.routes) {
        const bool matches = candidate.host == host && path.starts_with(candidate.path_prefix);
        if (matches &&
            (longest == nullptr || candidate.path_prefix.size() > longest->path_prefix.size())) {
            longest = &candidate;
        }
    }
    return longest;
}

const serving_workspace* find_workspace(const serving_config& config, std::string_view key) {
    const auto found = config.workspaces_by_key.find(std::string(key));
    return found == config.workspaces_by_key.end() ? nullptr : &found->second;
}

const pool_name& choose_pool(const route& from, std::uint64_t draw) {
    std::uint64_t total = 0;
    for (const weighted_pool& entry : from.pools) {
        total += static_cast<std::uint64_t>(std::max(entry.weight, 0));
    }
    if (total == 0) {
        return from.pools.front().pool;
    }
    std::uint64_t remaining = draw % total;
    for (const weighted_pool& entry : from.pools) {
        const auto weight = static_cast<std::uint64_t>(std::max(entry.weight, 0));
        if (remaining < weight) {
            return entry.pool;
        }
        remaining -= weight;
    }
    return from.pools.back().pool;
}

milliseconds first_response_timeout(const route& target, milliseconds time_left) {
    if (target.kind != request_kind::stream) {
        return time_left;
    }
    // Callers abandon a stream after a long gap, also before the first event. They tolerate a gap
    // of at least this length.
    constexpr milliseconds min_gap{2000};
    constexpr int objective_factor = 4;
    constexpr int pause_factor = 8;
    const milliseconds gap = std::max(
        {min_gap, objective_factor * target.objective, pause_factor * target.max_event_gap});
    return std::min(time_left, gap);
}

bool is_repeatable(const route& target) {
    return target.kind == request_kind::idempotent ||
           (target.kind == request_kind::stream && target.is_resumable);
}

}  // namespace cyclamenmount
