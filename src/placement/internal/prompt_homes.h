//! Where prompt parts are cached, and the homes of prompt prefixes.
#pragma once

#include "placement/placement.h"

namespace cyclamenmount::detail {

//! Rank of a home that isn't one.
inline constexpr std::size_t no_home = 99;

//! Expected number of prompt tokens that the upstream has to read. `home` is its rank among the
//! homes of the prompt's prefix.
double expected_unread(const upstream_record& record, std::span<const prompt_part> prompt,
                       std::size_t home, instant now);

//! Records that the upstream reads the prompt and keeps its shared parts. Returns the number of
//! tokens that it had to read.
std::uint64_t record_prompt(upstream_record& record, std::span<const prompt_part> prompt,
                            std::uint64_t cache_tokens, instant now);

//! Number between 0 and 1, both excluded, that all instances derive from a prefix and an upstream.
double uniform_of(std::uint64_t key, std::uint64_t id_hash);

//! Score of an upstream in a weighted rendezvous choice; the highest wins. An upstream wins as
//! often as its part of all weights.
double weighted_score(double uniform, double weight);

//! Upper bound of the score, without a logarithm.
inline double score_bound(double uniform, double weight) {
    return weight / (1 - uniform);
}

}  // namespace cyclamenmount::detail
