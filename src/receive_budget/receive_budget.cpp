#include "receive_budget/receive_budget.h"

#include <algorithm>
#include <utility>

namespace cyclamenmount {

namespace {

//! Divisors of the memory limit. What isn't given to received bytes is left to the program, the
//! fleet view, decoded values, and the copy that a growing buffer needs for a moment.
constexpr std::size_t total_divisor = 2;
constexpr std::size_t response_divisor = 512;
constexpr std::size_t store_response_divisor = 32;
constexpr std::size_t peer_messages_divisor = 16;

//! Lower bounds, so that ordinary messages pass on the smallest machines.
constexpr std::size_t min_response = std::size_t{64} * 1024;
constexpr std::size_t min_store_response = std::size_t{2} * 1024 * 1024;
constexpr std::size_t min_peer_messages = std::size_t{4} * 1024 * 1024;

}  // namespace

receive_bounds derive_receive_bounds(std::size_t memory_limit) {
    receive_bounds bounds;
    bounds.total = memory_limit / total_divisor;
    bounds.response = std::max(memory_limit / response_divisor, min_response);
    bounds.store_response = std::max(memory_limit / store_response_divisor, min_store_response);
    bounds.peer_messages = std::max(memory_limit / peer_messages_divisor, min_peer_messages);
    return bounds;
}

receive_budget make_receive_budget(std::size_t max_total) {
    receive_budget budget;
    budget.max_total = max_total;
    return budget;
}

exchange_number add_exchange(receive_budget& budget, std::string peer) {
    const exchange_number number = ++budget.last_number;
    budget.exchanges.emplace(number, kept_bytes{std::move(peer), 0});
    return number;
}

void remove_exchange(receive_budget& budget, exchange_number number) {
    const auto found = budget.exchanges.find(number);
    if (found == budget.exchanges.end()) {
        return;
    }
    budget.total -= found->second.bytes;
    budget.exchanges.erase(found);
}

std::optional<end_exchange> set_kept_bytes(receive_budget& budget, exchange_number number,
                                           std::size_t bytes) {
    const auto found = budget.exchanges.find(number);
    if (found == budget.exchanges.end()) {
        return std::nullopt;
    }
    budget.total = budget.total - found->second.bytes + bytes;
    found->second.bytes = bytes;
    if (budget.total <= budget.max_total) {
        return std::nullopt;
    }
    const auto largest = std::ranges::max_element(
        budget.exchanges, {}, [](const auto& entry) { return entry.second.bytes; });
    end_exchange ended{largest->first, std::move(largest->second), budget.total};
    budget.total -= ended.kept.bytes;
    budget.exchanges.erase(largest);
    return ended;
}

}  // namespace cyclamenmount
