//! Observations of upstreams that instances share.
//!
//! Each instance reports its own decayed sums to its sync source, which answers with the sums over
//! all other instances. Reports replace one another, so a lost or repeated message changes nothing.
//! The text form is opaque to the messages that carry it: a malformed entry is dropped alone.
#pragma once

#include "upstream_cost/upstream_cost.h"

#include <string_view>
#include <vector>

namespace cyclamenmount {

//! What one instance, or several together, report of one upstream.
struct shared_observation {
    upstream_key upstream{0};
    speed_evidence speed;  //!< `updated_at` isn't sent
    outstanding_work work;
    milliseconds age{0};                //!< of the work and the speed
    std::optional<load_report> report;  //!< newest load report
    milliseconds report_age{0};
};

//! Entries of one message; about 60 bytes each.
inline constexpr std::size_t max_reported_upstreams = 48;
inline constexpr std::size_t max_replied_upstreams = 96;

std::string encode_observations(std::span<const shared_observation> observations);

struct decoded_observations {
    std::vector<shared_observation> observations;
    std::size_t malformed{0};  //!< entries that were dropped
};

decoded_observations decode_observations(std::string_view text);

//! Applies what a sync source sent.
void apply_shared(cost_state& state, std::span<const shared_observation> observations, instant now);

//! Work of all other instances; none if it isn't known as of the last `max_work_age`.
std::optional<outstanding_work> work_of_others(const cost_state& state, upstream_key upstream,
                                               instant now);

//! Reports of members are dropped after this time without a new one, as are sums from the source.
inline constexpr milliseconds max_work_age{1500};

//! Reports of all members, at a sync source.
struct fleet_observations {
    struct entry {
        shared_observation observed;
        instant as_of{};
    };

    struct member_report {
        std::unordered_map<upstream_key, entry> entries;  //!< that `totals` hold
        std::unordered_map<upstream_key, entry> newer;    //!< that the next sums will hold
        instant received_at{};
        std::size_t next{0};  //!< position in `totals` from which the next reply to it begins
    };

    //! Sums of one upstream over all members.
    struct total {
        shared_observation sum;
        double median_gap_log{0};
        double median_ratio_log{0};
        instant as_of{};
        instant reported_at{};
    };

    std::map<std::string, member_report> members;  //!< by address
    std::vector<total> totals;                     //!< by upstream key
    instant summed_at{};
};

void record_report(fleet_observations& fleet, const std::string& member,
                   std::span<const shared_observation> observations, instant now);

//! True if the sums are to be made anew for the next reply; the source reports its own observations
//! before.
bool needs_sums(const fleet_observations& fleet, instant now);

//! Sums over all members but one, as the next part of the reply to that one.
std::vector<shared_observation> sums_for(fleet_observations& fleet, const std::string& member,
                                         instant now);

}  // namespace cyclamenmount
