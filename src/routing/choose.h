//! Upstream choice: own zone first, least loaded of two, prefix affinity with bounded load.
#pragma once

#include "types/ids.h"

#include <cstdint>
#include <optional>
#include <span>

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

}  // namespace cyclamenmount
