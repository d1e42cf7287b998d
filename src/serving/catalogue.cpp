#include "serving/catalogue.h"

#include <algorithm>

namespace cyclamenmount {

const route* find_route(const catalogue& lists, std::string_view host, std::string_view path) {
    const route* found = nullptr;
    for (const route& one : lists.routes) {
        const bool fits = one.host == host && path.starts_with(one.path_prefix);
        if (fits && (found == nullptr || one.path_prefix.size() > found->path_prefix.size())) {
            found = &one;
        }
    }
    return found;
}

const serving_workspace* find_workspace(const catalogue& lists, std::string_view key) {
    const auto found = lists.workspaces_by_key.find(std::string(key));
    return found == lists.workspaces_by_key.end() ? nullptr : &found->second;
}

const pool_name& choose_pool(const route& from, std::uint64_t draw) {
    std::uint64_t total = 0;
    for (const weighted_pool& one : from.pools) {
        total += static_cast<std::uint64_t>(std::max(one.weight, 0));
    }
    if (total == 0) {
        return from.pools.front().pool;
    }
    std::uint64_t left = draw % total;
    for (const weighted_pool& one : from.pools) {
        const auto weight = static_cast<std::uint64_t>(std::max(one.weight, 0));
        if (left < weight) {
            return one.pool;
        }
        left -= weight;
    }
    return from.pools.back().pool;
}

milliseconds first_answer_patience(const route& which, milliseconds patience) {
    if (which.kind != request_kind::stream) {
        return patience;
    }
    // A gap of this length makes the users' callers abandon a stream, also before its first event.
    constexpr milliseconds least_gap{2000};
    constexpr int objectives = 4;
    constexpr int pauses = 8;
    const milliseconds gap =
        std::max({least_gap, objectives * which.objective, pauses * which.longest_pause});
    return std::min(patience, gap);
}

bool is_repeatable(const route& which) {
    return which.kind == request_kind::idempotent ||
           (which.kind == request_kind::stream && which.is_resumable);
}

}  // namespace cyclamenmount
