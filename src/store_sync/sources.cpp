#include "store_sync/internal/sources.h"

#include "coordination/roster/roster.h"

#include <algorithm>
#include <functional>
#include <map>

namespace cyclamenmount::detail {

namespace {

//! A fleet with more members has one reader per availability zone, as the network link of a single
//! reader would be too slow.
constexpr std::size_t max_group_size = 96;
//! Number of sources of one instance. If all of them fail, it reads the store itself.
constexpr std::size_t max_sources = 3;

//! Rendezvous hash: every instance computes the same order without coordination.
std::uint64_t rank_of(const member& candidate) {
    return rendezvous_weight({candidate.address}, "news");
}

//! Members that share readers with `self`: the whole fleet, or its availability zone.
std::vector<member> group_of(const member& self, std::span<const member> members) {
    std::vector<member> group;
    for (const member& candidate : members) {
        if (members.size() <= max_group_size || candidate.zone == self.zone) {
            group.push_back(candidate);
        }
    }
    return group;
}

}  // namespace

std::vector<std::string> rank_sources(const member& self, std::span<const member> members) {
    std::vector<member> group = group_of(self, members);
    int max_millicores = 0;
    for (const member& candidate : group) {
        max_millicores = std::max(max_millicores, candidate.millicores);
    }
    // Machines with less than half the processor capacity of the strongest aren't used as sources.
    std::erase_if(
        group, [&](const member& candidate) { return 2 * candidate.millicores < max_millicores; });
    std::map<std::uint64_t, std::string, std::greater<>> ranked;
    for (const member& candidate : group) {
        ranked.emplace(rank_of(candidate), candidate.address);
    }
    std::vector<std::string> sources;
    for (const auto& [rank, address] : ranked) {
        if (address == self.address || sources.size() == max_sources) {
            break;
        }
        sources.push_back(address);
    }
    return sources;
}

}  // namespace cyclamenmount::detail
