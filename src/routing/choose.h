//! Upstream choice: own zone first, least loaded of two, prefix affinity with bounded load.
#pragma once

#include "types/ids.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace cyclamenmount {

//! One upstream that may take the attempt.
struct candidate {
    upstream_id id;
    zone_name zone;
    int reported_in_flight{0};  //!< as last reported; lags
    int own_in_flight{0};       //!< started here and not ended
    int own_at_report{0};       //!< started here as the report was made
    int capacity{1};
    bool cold{false};
};

struct choice_wanted {
    zone_name own_zone;
    std::uint64_t prefix_hash{0};  //!< 0: no affinity
    std::uint64_t random{0};       //!< fresh random bits
};

//! Index of the chosen candidate; none if the span is empty or all are full.
std::optional<std::size_t> choose_upstream(std::span<const candidate> candidates,
                                           const choice_wanted& wanted);

//! Load of a candidate, the lagging report corrected by own work started since, per capacity.
double corrected_load(const candidate& value);

//! Weight of an upstream in the subset of one chooser. An instance that uses the highest weighed
//! upstreams of a large pool keeps nearly all of them as the pool changes.
std::uint64_t subset_weight(std::string_view chooser, const upstream_id& upstream);

namespace detail {

//! Rendezvous weight of an upstream for a prompt prefix; the highest wins.
std::uint64_t prefix_weight(std::uint64_t prefix_hash, const upstream_id& upstream);

}  // namespace detail

}  // namespace cyclamenmount
