#include "news/internal/sources.h"

#include "coordination/roster/roster.h"

#include <algorithm>
#include <functional>
#include <map>

namespace cyclamenmount::detail {

namespace {

//! A larger fleet has a reader in each availability zone: one reader's link would be too narrow.
constexpr std::size_t largest_group = 96;
//! Beyond these an instance reads the store itself.
constexpr std::size_t most_sources = 3;

std::uint64_t rank_of(const member& one) {
    return rendezvous_weight({one.address}, "news");
}

std::vector<member> group_of(const member& self, std::span<const member> members) {
    std::vector<member> group;
    for (const member& one : members) {
        if (members.size() <= largest_group || one.zone == self.zone) {
            group.push_back(one);
        }
    }
    return group;
}

}  // namespace

std::vector<std::string> rank_sources(const member& self, std::span<const member> members) {
    std::vector<member> group = group_of(self, members);
    int strongest = 0;
    for (const member& one : group) {
        strongest = std::max(strongest, one.millicores);
    }
    // Weak machines ask but aren't asked.
    std::erase_if(group, [&](const member& one) { return 2 * one.millicores < strongest; });
    std::map<std::uint64_t, std::string, std::greater<>> ranked;
    for (const member& one : group) {
        ranked.emplace(rank_of(one), one.address);
    }
    std::vector<std::string> sources;
    for (const auto& [rank, address] : ranked) {
        if (address == self.address || sources.size() == most_sources) {
            break;
        }
        sources.push_back(address);
    }
    return sources;
}

}  // namespace cyclamenmount::detail
