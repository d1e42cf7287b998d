//! Chooses the upstream for a request from this instance's own records of load and health.
#pragma once

#include "serving/types/fleet_view.h"
#include "types/prompt.h"
#include "upstream_cost/shared_costs.h"
#include "upstream_directives/upstream_directives.h"

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenmount {

//! Outcome of a request sent to an upstream, as evidence of the upstream's health.
enum class send_outcome {
    answered,     //!< complete response, or a stream up to its end
    refused,      //!< rejected: the upstream is full and did no work
    misdirected,  //!< rejected: another upstream uses the address now
    error,
    unreachable,  //!< connection not established
    broken,       //!< connection closed before the response was complete
    timed_out,    //!< no response in time
    abandoned,    //!< cancelled by this instance; no evidence of the upstream's health
};

//! A prompt part that was sent to an upstream, which therefore has it in its cache.
struct sent_part {
    std::uint64_t tokens{0};
    instant used_at{};
};

//! What this instance has recorded of one upstream.
struct upstream_record {
    int in_flight{0};  //!< requests of this instance in progress at the upstream
    //! Prompt tokens in requests of this instance that have no first event yet.
    std::uint64_t unread_tokens{0};
    std::optional<load_report> report;  //!< last load report
    instant reported_at{};
    int in_flight_at_report{0};  //!< `in_flight` when the last load report arrived
    double error_rate{0};  //!< smoothed fraction of requests that ended with an error response
    instant backoff_until{};
    milliseconds backoff{0};  //!< current backoff; 0 after a response
    directive_state directives;
    instance_rank rank;             //!< of this instance for the upstream
    std::uint64_t ranked_among{0};  //!< version of the sharing members that `rank` is for
    // Under load control.
    std::uint64_t kv_tokens{0};  //!< that this instance's requests take in the key-value cache
    //! Prompt parts that this instance has sent, by the hash of their id.
    std::unordered_map<std::uint64_t, sent_part> sent_parts;
    int speed_step{0};  //!< coarse logarithm of the factor, which decides the homes of prefixes
};

struct placement_settings {
    //! Factor applied to the configured request rate of a cold upstream.
    double cold_overshoot{1.5};
    //! Requests per second added to the rate of a cold upstream, after the factor.
    double cold_extra_rate{5};
    std::string address;         //!< address of this instance in the list of members
    bool under_pressure{false};  //!< the deployment expects more demand than room in all pools
    //! Upstreams under load control are chosen by expected cost. No settings turn it on yet: on a
    //! day with bursts it served fewer requests on time than the choice by load.
    bool chooses_by_cost{false};
};

//! Instances that share the rates of upstreams. An instance that has left still counts until its
//! last requests are outside the window; larger parts of the others would exceed the rate until
//! then.
struct sharing_members {
    std::map<std::string, instant> last_seen;  //!< by address
    std::uint64_t version{0};                  //!< changes with the addresses
    std::uint64_t view_number{0};              //!< view that was applied last
    bool is_known{false};                      //!< that view holds the list of members
    instant next_removal{instant::max()};      //!< when the next one that has left is removed
};

//! One upstream of a pool as the choice by cost reads it.
struct indexed_upstream {
    upstream_record* record{nullptr};
    upstream_key key{0};
    std::uint64_t id_hash{0};
    double factor{1};           //!< learned time relative to the pool
    double weight{1};           //!< in the choice of homes
    double evidence{0};         //!< number of samples behind `factor`
    outstanding_work others{};  //!< work of the other instances
    load_report report{};       //!< newest one of any instance
    instant reported_at{};      //!< zero if none
};

//! The upstreams of a pool in the order of the view.
struct pool_index {
    const void* owner{nullptr};  //!< the state that the pointers lead into
    std::uint64_t view_number{0};
    std::vector<indexed_upstream> upstreams;
    instant refreshed_at{};
    double gap_ms{0};  //!< mean time between events of the pool; 0 if unknown
};

//! How the last upstream was chosen by cost, for the log.
struct placement_decision {
    upstream_id chosen;
    upstream_id runner_up;  //!< empty if there was no other candidate
    double cost_ms{0};
    double runner_up_cost_ms{0};
    double factor{1};
    double evidence{0};               //!< samples behind the factor
    milliseconds report_age{-1};      //!< of the load report; negative if there is none
    double own_unread_tokens{0};      //!< of the request
    double tokens_to_first_event{0};  //!< unread ones of the request and of those before it
    std::size_t candidates{0};
};

struct placement_state {
    placement_settings settings;
    std::map<upstream_id, upstream_record> records;
    double error_rate{0};  //!< smoothed fraction of error responses of all upstreams
    sharing_members sharing;
    std::map<pool_name, double> mean_prompt_tokens;  //!< smoothed, by pool
    //! Pools whose upstreams report how long work takes at the moment.
    std::set<pool_name> pools_with_work_time;
    cost_state costs;
    std::map<pool_name, pool_index> indexes;
    std::optional<placement_decision> last_decision;  //!< none if the last choice wasn't by cost
};

struct placement_request {
    pool_name pool;
    zone_name zone;  //!< preferred zone; empty: no preference
    //! Forbids other zones while any upstream in the preferred zone has capacity. Ignored by
    //! place().
    bool must_stay_in_zone{false};
    std::span<const prompt_part> prompt;  //!< parts of the prompt; empty for requests without one
    std::set<upstream_id> excluded;       //!< upstreams already tried
    //! Software versions of which the upstream must be one; none: any.
    std::optional<std::set<software_version>> versions;
    std::uint64_t random{0};        //!< random bits for the choice
    double expected_events{0};      //!< length of the response; 0 if unknown
    milliseconds max_event_gap{0};  //!< target for the longest gap between events; 0 if none
};

//! A request that is sent under load control.
struct sent_request {
    std::span<const prompt_part> prompt;
    double expected_events{0};
    const pool_limits* limits{nullptr};  //!< null if the configuration doesn't name the pool
};

//! What a sent request takes at its upstream.
struct request_load {
    std::uint64_t unread_tokens{0};   //!< prompt tokens that aren't cached there
    std::uint64_t kv_tokens{0};       //!< in the key-value cache
    double tokens_to_first_event{0};  //!< unread ones of the request and of those before it
    double factor{1};                 //!< expected factor of the upstream
};

//! Returns the state of an instance that has sent no request yet.
placement_state make_placement_state(placement_settings settings);

//! Chooses an upstream for the request; none if no upstream has capacity now.
std::optional<serving_upstream> place(placement_state& state, const fleet_view& view,
                                      const placement_request& wanted, instant now);

//! Number of instances by which the rates of upstreams are divided: members, and those that left a
//! short time ago. 0 if this instance has no part, as it isn't listed.
int share_divisor(placement_state& state, const fleet_view& view, instant now);

//! Time until the directives of at least one upstream of the pool allow a request of this instance;
//! `milliseconds::max()` if the pool has no upstream, or only leaving ones.
milliseconds time_to_room(placement_state& state, const fleet_view& view, const pool_name& pool,
                          instant now);

//! Number of requests that the directives of the pool's upstreams allow this instance at a time
//! `at`; none if no upstream gives any, or one that gives none isn't full.
std::optional<int> pool_room_at(placement_state& state, const fleet_view& view,
                                const pool_name& pool, instant at, instant now);

//! Zone of the upstream that most likely has the shared parts of the prompt cached; empty without a
//! prompt or a usable upstream.
zone_name preferred_zone(placement_state& state, const fleet_view& view,
                         const placement_request& wanted, instant now);

//! Records that a request was sent to an upstream.
void record_sent(placement_state& state, const serving_upstream& to, std::uint64_t prompt_tokens,
                 instant now);
//! The same under load control, with the load that the request brings.
request_load record_sent(placement_state& state, const serving_upstream& to,
                         const sent_request& sent, instant now);
//! Records that a request sent under load control has ended.
void record_released(placement_state& state, const upstream_id& from, const request_load& load);
//! Records the first event of a response, or its end without one: the prompt no longer counts as
//! unread.
void record_first_event(placement_state& state, const upstream_id& from,
                        std::uint64_t prompt_tokens);
//! Records what an upstream asked for in its response to a request sent at `sent_at`. Returns true
//! if its limit changed, which other instances should know.
bool record_directives(placement_state& state, const serving_upstream& from,
                       const upstream_directives& directives, instant sent_at, instant now);
//! Records a limit that another instance has learned of; none: the limit has ended.
void record_known_limit(placement_state& state, const serving_upstream& from,
                        std::optional<double> max_per_second, instant now);
//! True if load control is in force for the pool: the deployment calls for it, or upstreams of the
//! pool report that they share their machines.
bool has_load_control(const placement_state& state, const pool_name& pool);
//! True if load control is in force for any pool.
bool has_load_control(const placement_state& state);
//! Observations of this instance in the pools under load control, those of upstreams in use first;
//! at most `max_reported_upstreams`.
std::vector<shared_observation> own_observations(const placement_state& state, instant now);
//! Records a load report of an upstream of the pool.
void record_load(placement_state& state, const pool_name& pool, const upstream_id& from,
                 const load_report& report, instant now);
//! Records a load report.
void record_load(placement_state& state, const upstream_id& from, const load_report& report,
                 instant now);
//! Records the outcome of a sent request.
void record_send_outcome(placement_state& state, const upstream_id& from, send_outcome end,
                         instant now);

}  // namespace cyclamenmount
