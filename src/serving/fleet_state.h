//! State of the fleet as seen by one instance: turns store updates into views.
//!
//! A reducer without I/O. Versions never decrease within a process. An upstream whose store entry
//! expired during a store outage is kept for a while, since a live upstream registers again.
#pragma once

#include "serving/types/fleet_view.h"

#include <span>
#include <string>
#include <variant>

namespace cyclamenmount {

//! A version of the serving configuration was read.
struct serving_config_read {
    serving_config config;
};

//! The complete list of upstreams was read, as of one revision of the store.
struct upstreams_listed {
    std::vector<serving_upstream> upstreams;
    object_version revision{0};
};

//! An upstream registered or changed its entry.
struct upstream_written {
    serving_upstream upstream;
    object_version revision{0};
};

//! The entry was deleted, or no longer describes a usable upstream.
struct upstream_removed {
    upstream_id id;
    object_version revision{0};
};

//! The complete list of availability zones that operators took out of service.
struct zones_out_of_service_listed {
    std::set<zone_name> zones;
    object_version revision{0};
};

//! An operator took an availability zone out of service.
struct zone_taken_out_of_service {
    zone_name zone;
};

//! An availability zone is back in service.
struct zone_returned_to_service {
    zone_name zone;
};

//! The complete list of instances was read.
struct members_listed {
    std::vector<member> members;
    object_version revision{0};
};

//! An instance registered or changed its entry.
struct member_written {
    member value;
};

//! The entry of an instance was deleted.
struct member_removed {
    std::string address;
    instance_id id{};  //!< an entry that another process wrote for the address stays
};

//! A suspect as stored.
struct stored_suspect {
    crash_suspect value;
    object_version revision{0};  //!< store revision of the last change

    bool operator==(const stored_suspect&) const = default;
};

//! The complete list of suspects was read, as of one revision of the store.
struct suspects_listed {
    std::vector<stored_suspect> suspects;
    object_version revision{0};
};

//! A key became a suspect, or its crashes changed.
struct suspect_written {
    stored_suspect suspect;
};

//! A key is no longer a suspect.
struct suspect_removed {
    std::string key;
    object_version revision{0};
};

//! This instance saw an upstream crash while it ran a request with the key. In force at once; the
//! store may take the crash later.
struct crash_seen {
    std::string key;
    upstream_crash crash;
};

//! This instance's responses disprove the crashes of a pool that the store hasn't confirmed.
struct crash_disproved {
    std::string key;
    pool_name pool;
};

//! Software versions that the store lists as those that may begin resumable streams.
struct stream_versions_read {
    pool_versions versions;
};

//! The complete list of orders to move traffic between software versions.
struct rollouts_listed {
    rollout_orders orders;
};

//! An order was written, or its status changed.
struct rollout_written {
    rollout_order order;
};

//! An order was deleted.
struct rollout_removed {
    std::string name;
};

//! The store no longer answers.
struct store_became_unreachable {};

//! The store answers again.
struct store_became_reachable {};

//! Periodic event that removes expired upstreams.
struct fleet_tick {};

using store_event =
    std::variant<serving_config_read, upstreams_listed, upstream_written, upstream_removed,
                 zones_out_of_service_listed, zone_taken_out_of_service, zone_returned_to_service,
                 members_listed, member_written, member_removed, suspects_listed, suspect_written,
                 suspect_removed, crash_seen, crash_disproved, stream_versions_read,
                 rollouts_listed, rollout_written, rollout_removed, store_became_unreachable,
                 store_became_reachable, fleet_tick>;

//! An upstream and the state of its store entry.
struct upstream_entry {
    serving_upstream value;
    object_version revision{0};  //!< store revision of the last change
    //! It left in an earlier era of the store. That is final, whatever an older copy says.
    bool left_in_earlier_era{false};
    bool is_removed{false};  //!< the store entry no longer exists
    instant expires_at{};    //!< time when an upstream without a store entry is erased
};

//! A suspect: what the store holds, and what this instance saw and the store doesn't hold yet.
struct suspect_entry {
    stored_suspect stored;  //!< revision 0: the store holds no entry
    std::vector<upstream_crash> unconfirmed;
    instant changed_at{};  //!< when this instance read or saw the last change
};

//! An upstream whose entry was deleted while the store was reachable.
struct departed_upstream {
    std::uint64_t started_at_ms{0};
    object_version revision{0};  //!< store version of the deletion
    instant departed_at{};
};

//! Everything that this instance has read from the store.
//!
//! A store that was restored from an older copy begins a new era. What was known of the era before
//! stays in force until its writers have repeated it.
struct fleet_state {
    //! Null until one was read.
    std::shared_ptr<const serving_config> config;
    std::map<upstream_id, upstream_entry> upstreams;
    std::set<zone_name> zones_out_of_service;
    std::map<std::string, member> members;  //!< instances by address
    //! Upstreams that an older copy of the store may still list.
    std::map<upstream_id, departed_upstream> departed;
    object_version upstreams_version{0};  //!< of the last list
    object_version zones_version{0};
    object_version members_version{0};
    //! What a restored store lacks, until it is written again or this time.
    std::map<zone_name, instant> zones_kept_until;
    std::map<std::string, instant> members_kept_until;
    std::map<std::string, suspect_entry> suspects;  //!< suspects by key
    //! The suspects as published in views; replaced when they change.
    std::shared_ptr<const crash_suspects> published_suspects{
        std::make_shared<const crash_suspects>()};
    pool_versions stream_versions;    //!< see `fleet_view`
    rollout_orders rollouts;          //!< see `fleet_view`
    bool upstreams_known{false};      //!< the list of upstreams was read at least once
    bool members_known{false};        //!< the list of instances was read at least once
    bool store_reached{false};        //!< the store answered the last call
    instant store_reachable_since{};  //!< end of the last store outage
    std::uint64_t view_count{0};      //!< number of views published so far
};

//! A change to be logged.
struct fleet_change {
    std::string what;          //!< kind of change, e.g. `upstream_joined`
    std::string subject;       //!< name or id of the object that changed
    std::uint64_t version{0};  //!< version or store revision of the change; 0 if it has none
};

//! Result of one reduction.
struct fleet_update {
    fleet_view_ptr view;  //!< new view; null if nothing changed
    std::vector<fleet_change> changes;
};

//! Time after a store outage in which upstreams may register again before they are removed.
inline constexpr milliseconds reregistration_time{2000};

//! Time after a restoration of the store in which operators and instances repeat what it lost.
inline constexpr milliseconds rewrite_time{10'000};

//! Applies events that arrived together and creates at most one view, since each view copies all
//! upstreams.
fleet_update reduce(fleet_state& state, std::span<const store_event> events, instant now);

fleet_update reduce(fleet_state& state, const store_event& event, instant now);

//! The crashes of a suspect that are in force: those in the store and the unconfirmed ones.
crash_suspect merged_suspect(const suspect_entry& entry);

//! Suspects whose lifetime has passed; their entries are to be deleted from the store.
std::vector<stored_suspect> expired_suspects(const fleet_state& state, instant now);

}  // namespace cyclamenmount
