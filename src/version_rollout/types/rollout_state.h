//! Events, effects and state of version rollouts.
#pragma once

#include "serving/types/fleet_view.h"
#include "types/effects.h"
#include "types/rollout.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenmount {

// --- events -------------------------------------------------------------------------------------

//! The fleet view changed; it holds the orders.
struct rollout_view_changed {
    fleet_view_ptr view;
};

//! The store had no newer orders than those of the last view at the time `at`.
struct orders_confirmed {
    instant at{};
};

//! A member sent its counts.
struct rollout_report_received {
    rollout_report report;
};

//! A member decided, or shows that it decides.
struct rollout_notice_received {
    rollout_notice notice;
};

//! Periodic event.
struct rollout_tick {};

using rollout_event = std::variant<rollout_view_changed, orders_confirmed, rollout_report_received,
                                   rollout_notice_received, rollout_tick>;

// --- effects ------------------------------------------------------------------------------------

//! Writes the order's status unless a final one is stored or the order was replaced.
struct write_rollout_status {
    std::string name;
    std::string key;  //!< of the order
    software_version target;
    rollout_phase phase{rollout_phase::running};
    milliseconds age{0};  //!< since the start of the order
    std::string reason;
};

//! A decision, for the log.
struct rollout_decision {
    std::string what;
    pool_name pool;
    software_version target;
    milliseconds age{0};          //!< of the order
    std::string why;              //!< what decided it
    std::string runner_up;        //!< the second strongest evidence; empty if there is none
    std::string figures;          //!< that decided it
    milliseconds figures_age{0};  //!< of the oldest report among the figures
};

using rollout_effect = std::variant<send_to_peer, write_rollout_status, rollout_decision>;

// --- state --------------------------------------------------------------------------------------

struct rollout_settings {
    bool is_enabled{false};      //!< the deployment has rollouts
    double canary_share{0.1};    //!< of the pool's requests that a bad version may get
    double canary_tolerance{0};  //!< requests of all instances that it may get beyond the share
    milliseconds max_age{0};     //!< age from which the orders are stale
    member self;
};

//! Requests of this process to one version of a pool on one route.
struct route_results {
    version_results target;
    version_results others;
};

struct received_report {
    rollout_report report;
    instant received_at{};
};

//! An order and what this process knows of its progress.
struct order_progress {
    rollout_order order;
    std::string key;
    instant seen_at{};     //!< first seen by this process
    instant started_at{};  //!< earliest time at which any process saw it, as far as known
    //! Age by the wall clock, if the order was in the first list of this process; 0 if unknown.
    milliseconds listed_age{0};
    bool is_heard_of{false};  //!< another member has known it for longer
    rollout_step step{rollout_step::comparing};
    instant step_since{};
    std::string reason;

    // The share of the target.
    std::uint64_t pool_requests{0};    //!< since this process learned of the order
    std::uint64_t target_requests{0};  //!< of these and of repeats, those sent to the target
    std::uint64_t since_target{0};     //!< requests to others since the last one to the target
    std::map<std::string, std::uint64_t> sent_by_route;  //!< to the target
    std::set<upstream_id> outside_subset;  //!< upstreams of the target that get nothing yet
    instant first_target_sent_at{};        //!< zero if none was sent

    std::map<std::string, route_results> results;  //!< of this process, by route
    std::map<instance_id, received_report> reports;
    instant next_report_at{};
    instant decider_heard_at{};  //!< last notice of a decider of a higher rank
    instant next_heartbeat_at{};
    rollout_step notified_step{
        rollout_step::comparing};  //!< last one that this process sent to all
    instant next_write_at{};
    instant next_log_at{};           //!< of the figures of an open comparison
    bool has_decided_before{false};  //!< this process has acted as the decider
};

//! A version that gets nothing new although no order is in the store.
struct banned_version {
    software_version version;
    instant until{};
};

struct rollout_state {
    rollout_settings settings;
    fleet_view_ptr view;
    instant confirmed_at{};  //!< zero if the orders were never read
    bool had_orders_list{false};
    std::map<pool_name, order_progress> orders;  //!< the newest order of each pool
    //! When this process first saw an upstream of the version.
    std::map<pool_name, std::map<software_version, instant>> first_seen;
    std::map<pool_name, std::vector<banned_version>> banned;
    //! Requests of this process in progress.
    std::map<pool_name, std::map<software_version, std::uint64_t>> open;
    //! Next write of the status of a faulty order that is stored, by its key.
    std::map<std::string, instant> faulty_orders;
};

//! Versions that a new request may be sent to.
struct version_choice {
    //! Tried first; none: any version.
    std::optional<std::set<software_version>> preferred;
    //! Tried if no upstream of these has room; none: there is no second choice.
    std::optional<std::set<software_version>> otherwise;
    std::set<upstream_id> excluded;  //!< upstreams that get nothing
};

//! A request that was sent to an upstream.
struct sent_request {
    pool_name pool;
    std::string route;
    software_version version;
    bool is_repeat{false};  //!< an earlier attempt of the same request was counted
};

//! How a request ended at an upstream.
struct ended_request {
    pool_name pool;
    std::string route;
    software_version version;
    instant sent_at{};
    bool has_result{false};  //!< false: cancelled or never run, so that it says nothing
    bool is_bad{false};      //!< an error status, or no complete and signed response
    bool was_cold{false};    //!< the upstream was cold when the request was sent
    std::optional<milliseconds> first_event;
    std::optional<milliseconds> longest_gap;
    std::optional<milliseconds> plain;  //!< time of a response that isn't a stream
};

}  // namespace cyclamenmount
