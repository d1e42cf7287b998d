//! Chooses an upstream: own zone first, the less loaded of two random candidates, or prefix
//! affinity with bounded load.
#pragma once

#include "types/ids.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace cyclamenmount {

//! An upstream that the attempt may be sent to.
struct candidate {
    upstream_id id;
    zone_name zone;
    int reported_in_flight{0};  //!< attempts of all instances in progress, as last reported
    int own_in_flight{0};       //!< attempts of this instance in progress
    int own_at_report{0};       //!< value of `own_in_flight` at the time of that report
    int capacity{1};            //!< attempts that may be in progress at the same time
    bool cold{false};  //!< the upstream is still loading; not evaluated by choose_upstream()
};

struct choice_criteria {
    zone_name own_zone;
    std::uint64_t prefix_hash{0};  //!< hash of the prompt prefix for affinity; 0: no affinity
    std::uint64_t random{0};       //!< random bits, new for each choice
};

//! Index of the chosen candidate; none if there are no candidates or all are full.
std::optional<std::size_t> choose_upstream(std::span<const candidate> candidates,
                                           const choice_criteria& wanted);

//! Attempts in progress divided by capacity. The reported number is corrected by the attempts that
//! this instance has started or ended since the report.
double corrected_load(const candidate& value);

//! Rendezvous weight of an upstream for `chooser`, an instance id. An instance uses the upstreams
//! of a large pool with the highest weights; nearly all of them stay the same when the pool
//! changes.
std::uint64_t subset_weight(std::string_view chooser, const upstream_id& upstream);

namespace detail {

//! Rendezvous weight of an upstream for a prompt prefix; the highest wins.
std::uint64_t prefix_weight(std::uint64_t prefix_hash, const upstream_id& upstream);

}  // namespace detail

}  // namespace cyclamenmount
