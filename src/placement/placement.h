//! Which upstream a request goes to, from what this instance has seen of each.
#pragma once

#include "serving/types/fleet_view.h"

#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace cyclamenmount {

//! How a request sent to an upstream ended, as far as it tells of the upstream's health.
enum class sent_end {
    answered,     //!< a whole answer, or a stream to its end
    refused,      //!< full; it did nothing
    misdirected,  //!< another upstream has the address
    error,        //!< an answer that tells of a failure
    unreachable,  //!< no connection
    broken,       //!< the connection ended without a whole answer
    silent,       //!< no answer in time
    abandoned,    //!< ended by this side for reasons of its own
};

//! Load as an upstream reports it on its answers.
struct load_report {
    int running{0};
    int waiting{0};
    int slots{1};
};

//! One part of a prompt; upstreams cache parts by their id.
struct prompt_part {
    std::string id;
    std::uint64_t tokens{0};
};

struct upstream_record {
    int in_flight{0};                //!< sent from here and not ended
    std::uint64_t unread_tokens{0};  //!< of prompts sent from here without a first event
    std::optional<load_report> report;
    instant reported_at{};
    int in_flight_at_report{0};
    double error_rate{0};  //!< smoothed share of answers that tell of a failure
    instant suspect_until{};
    milliseconds backoff{0};
    std::deque<instant> cold_starts;  //!< requests sent within the last second while cold
};

struct placement_settings {
    double cold_overshoot{1.5};  //!< factor on the rate that a cold upstream tolerates
    double cold_extra{5};        //!< requests a second that it tolerates besides
    std::string address;         //!< of this instance, as its peers know it
};

struct placement_state {
    placement_settings settings;
    std::map<upstream_id, upstream_record> records;
    double error_rate{0};  //!< smoothed over all upstreams
};

struct placement_wanted {
    pool_name pool;
    zone_name zone;                 //!< preferred; empty: no preference
    bool must_stay_in_zone{false};  //!< leave the zone only if nothing in it can take the work
    std::span<const prompt_part> prompt;  //!< empty for plain requests
    std::set<upstream_id> excluded;       //!< tried already
    std::uint64_t random{0};
};

//! None if no upstream can take the request now.
std::optional<serving_upstream> place(placement_state& state, const fleet_view& view,
                                      const placement_wanted& wanted, instant now);

//! The zone where the prompt's shared parts are most likely cached; empty if there is none.
zone_name preferred_zone(const placement_state& state, const fleet_view& view,
                         const placement_wanted& wanted, instant now);

void note_sent(placement_state& state, const serving_upstream& to, std::uint64_t prompt_tokens,
               instant now);
void note_first_event(placement_state& state, const upstream_id& from, std::uint64_t prompt_tokens);
void note_load(placement_state& state, const upstream_id& from, const load_report& report,
               instant now);
void note_ended(placement_state& state, const upstream_id& from, sent_end end, instant now);

}  // namespace cyclamenmount
