#include "routing/choose.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace cyclamenmount {

namespace {

//! An upstream in another zone is used if the one chosen in the own zone has at least this load and
//! the one chosen among the other zones has less.
constexpr double spill_load = 0.8;

//! Prefix affinity may raise an upstream's attempts in progress to this multiple of the mean number
//! at most.
constexpr double affinity_load_bound = 1.25;

using indices = std::vector<std::size_t>;

int corrected_in_flight(const candidate& value) {
    const int started_since = value.own_in_flight - value.own_at_report;
    return std::max({0, value.own_in_flight, value.reported_in_flight + started_since});
}

bool is_full(const candidate& value) {
    return corrected_in_flight(value) >= value.capacity;
}

indices with_capacity(std::span<const candidate> candidates, const zone_name& zone, bool in_zone) {
    indices found;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if ((candidates[i].zone == zone) == in_zone && !is_full(candidates[i])) {
            found.push_back(i);
        }
    }
    return found;
}

std::optional<std::size_t> less_loaded_of_two(std::span<const candidate> candidates,
                                              const indices& among, std::uint64_t random) {
    if (among.empty()) {
        return std::nullopt;
    }
    const std::size_t first = (random & 0xffffffffU) % among.size();
    if (among.size() == 1) {
        return among[first];
    }
    const std::size_t step = 1 + (random >> 32U) % (among.size() - 1);
    const std::size_t second = (first + step) % among.size();
    const double first_load = corrected_load(candidates[among[first]]);
    const double second_load = corrected_load(candidates[among[second]]);
    return first_load <= second_load ? among[first] : among[second];
}

double mean_in_flight(std::span<const candidate> candidates, const indices& among) {
    double sum = 0;
    for (const std::size_t i : among) {
        sum += corrected_in_flight(candidates[i]);
    }
    return (sum + 1) / static_cast<double>(among.size());
}

//! The upstream with the highest weight for the prefix among those within the affinity bound.
std::optional<std::size_t> choose_by_prefix(std::span<const candidate> candidates,
                                            const indices& among, std::uint64_t prefix_hash) {
    if (among.empty()) {
        return std::nullopt;
    }
    const double bound = std::ceil(affinity_load_bound * mean_in_flight(candidates, among));
    std::optional<std::size_t> best;
    std::uint64_t best_weight = 0;
    for (const std::size_t i : among) {
        const std::uint64_t weight = detail::prefix_weight(prefix_hash, candidates[i].id);
        const bool is_within_bound = corrected_in_flight(candidates[i]) + 1 <= bound;
        if (is_within_bound && (!best || weight > best_weight)) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

std::optional<std::size_t> pick(std::span<const candidate> candidates, const indices& among,
                                const choice_criteria& wanted) {
    if (wanted.prefix_hash != 0) {
        const auto preferred = choose_by_prefix(candidates, among, wanted.prefix_hash);
        if (preferred) {
            return preferred;
        }
    }
    return less_loaded_of_two(candidates, among, wanted.random);
}

}  // namespace

double corrected_load(const candidate& value) {
    return static_cast<double>(corrected_in_flight(value)) / std::max(1, value.capacity);
}

std::optional<std::size_t> choose_upstream(std::span<const candidate> candidates,
                                           const choice_criteria& wanted) {
    const indices in_own_zone = with_capacity(candidates, wanted.own_zone, true);
    const auto own_choice = pick(candidates, in_own_zone, wanted);
    if (own_choice && corrected_load(candidates[*own_choice]) < spill_load) {
        return own_choice;
    }
    const indices in_other_zones = with_capacity(candidates, wanted.own_zone, false);
    const auto other_choice = pick(candidates, in_other_zones, wanted);
    if (!own_choice || !other_choice) {
        return own_choice ? own_choice : other_choice;
    }
    const bool use_other_zone = corrected_load(candidates[*other_choice]) < spill_load;
    return use_other_zone ? other_choice : own_choice;
}

std::uint64_t subset_weight(std::string_view chooser, const upstream_id& upstream) {
    const std::uint64_t seed = XXH3_64bits(chooser.data(), chooser.size());
    return XXH3_64bits_withSeed(upstream.value.data(), upstream.value.size(), seed);
}

namespace detail {

std::uint64_t prefix_weight(std::uint64_t prefix_hash, const upstream_id& upstream) {
    return XXH3_64bits_withSeed(upstream.value.data(), upstream.value.size(), prefix_hash);
}

}  // namespace detail

}  // namespace cyclamenmount
