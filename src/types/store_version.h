//! Position in the history of the platform's store.
//!
//! Revisions order changes only within one era. A store that was restored from an older copy begins
//! the next era, in which revisions are given out again. A version holds the era above the
//! revision, so that comparing versions compares eras first.
#pragma once

#include "types/ids.h"

namespace cyclamenmount {

//! Bits of a version that hold the revision; the others hold the era. Revisions stay below 2^48: at
//! a thousand changes a second they last for 8,900 years.
inline constexpr unsigned revision_bits = 48;

//! Number of eras that a version tells apart; the number of an era is taken modulo this.
inline constexpr std::uint64_t era_count = std::uint64_t{1} << (64 - revision_bits);

inline constexpr std::uint64_t max_revision = (std::uint64_t{1} << revision_bits) - 1;

constexpr object_version make_store_version(std::uint64_t era, std::uint64_t revision) {
    return (era << revision_bits) | revision;
}

constexpr std::uint64_t era_of(object_version version) {
    return version >> revision_bits;
}

constexpr std::uint64_t revision_of(object_version version) {
    return version & max_revision;
}

}  // namespace cyclamenmount
