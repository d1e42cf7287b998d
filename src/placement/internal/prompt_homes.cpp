#include "placement/internal/prompt_homes.h"

#include <algorithm>
#include <array>
#include <cmath>

#include <xxhash.h>

namespace cyclamenmount::detail {

namespace {

//! A part that wasn't sent for this long may have been evicted.
constexpr milliseconds cached_for{30'000};
//! Parts remembered for one upstream.
constexpr std::size_t max_sent_parts = 64;
//! Probability that another instance has sent a prefix to its first homes.
constexpr std::array<double, 3> home_probability{0.95, 0.4, 0.15};
//! Probability that a part which this instance sent elsewhere than to the first home is still
//! cached. It is below that of the first home, so that instances which once sent a prefix to
//! different engines return to one.
constexpr double sent_elsewhere_probability = 0.85;

std::uint64_t part_key(const prompt_part& part) {
    return XXH3_64bits(part.id.data(), part.id.size());
}

bool is_cached(const upstream_record& record, const prompt_part& part, instant now) {
    const auto found = record.sent_parts.find(part_key(part));
    return found != record.sent_parts.end() && now - found->second.used_at < cached_for;
}

void evict(upstream_record& record, std::uint64_t cache_tokens) {
    std::uint64_t tokens = 0;
    for (const auto& [key, part] : record.sent_parts) {
        tokens += part.tokens;
    }
    while (!record.sent_parts.empty() &&
           (record.sent_parts.size() > max_sent_parts ||
            (cache_tokens != 0 && tokens + record.kv_tokens > cache_tokens))) {
        const auto oldest = std::ranges::min_element(
            record.sent_parts, {}, [](const auto& entry) { return entry.second.used_at; });
        tokens -= oldest->second.tokens;
        record.sent_parts.erase(oldest);
    }
}

std::uint64_t mix(std::uint64_t value) {
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdU;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53U;
    return value ^ (value >> 33U);
}

}  // namespace

double expected_unread(const upstream_record& record, std::span<const prompt_part> prompt,
                       std::size_t home, instant now) {
    if (prompt.empty()) {
        return 0;
    }
    const double missing = home < home_probability.size() ? 1 - home_probability.at(home) : 1;
    const double missing_if_sent = home == 0 ? 0 : 1 - sent_elsewhere_probability;
    auto unread = static_cast<double>(prompt.back().tokens);
    for (const prompt_part& part : prompt.first(prompt.size() - 1)) {
        const bool was_sent = is_cached(record, part, now);
        unread += (was_sent ? std::min(missing, missing_if_sent) : missing) *
                  static_cast<double>(part.tokens);
    }
    return unread;
}

std::uint64_t record_prompt(upstream_record& record, std::span<const prompt_part> prompt,
                            std::uint64_t cache_tokens, instant now) {
    if (prompt.empty()) {
        return 0;
    }
    std::uint64_t unread = prompt.back().tokens;
    for (const prompt_part& part : prompt.first(prompt.size() - 1)) {
        if (!is_cached(record, part, now)) {
            unread += part.tokens;
        }
        record.sent_parts[part_key(part)] = {part.tokens, now};
    }
    evict(record, cache_tokens);
    return unread;
}

double uniform_of(std::uint64_t key, std::uint64_t id_hash) {
    constexpr double scale = 1.0 / 4503599627370496.0;  // 2^-52, so that the half is exact
    return (static_cast<double>(mix(key ^ id_hash) >> 12U) + 0.5) * scale;
}

double weighted_score(double uniform, double weight) {
    return weight / -std::log(uniform);
}

}  // namespace cyclamenmount::detail
