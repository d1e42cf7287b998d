//! Keeps streams of events at the software version that began them.
//!
//! Upstreams of several software versions may serve one pool side by side, and what two versions
//! write doesn't fit together. Two kinds of data in the store tell every instance, also one that
//! has just started, where a stream began:
//! - the versions of each pool whose resumable streams may be taken up. A version is registered
//!   before it begins the first one and stays until none of its streams can still be taken up.
//!   Before it is removed it is retired: it begins no stream until it is registered again. While a
//!   pool has one version, a stream needs no record.
//! - records of the streams of pools with several versions, written by the instances that began
//!   them. A stream without a record isn't taken up then.
//!
//! Pure functions.
#pragma once

#include "serving/fleet_state.h"
#include "types/stream_origin.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cyclamenmount {

//! Key of a stream: a short digest of the id of the attempt that brought its first event.
std::string stream_key(std::string_view attempt);

//! A resumable stream that this instance began or took up.
struct stream_record {
    std::string key;
    stream_origin origin;
    instant began_at{};
};

//! The latest streams of this instance, oldest first.
struct stream_records {
    std::deque<stream_record> recent;
};

//! Adds a record; the oldest ones are dropped beyond a bound.
void add_record(stream_records& records, stream_record added);

//! Drops the records of streams that began before `oldest`.
void expire_records(stream_records& records, instant oldest);

//! Origin of a stream that this instance has recorded; none if it hasn't.
std::optional<stream_origin> find_origin(const stream_records& records, std::string_view key);

//! The versions that are registered.
struct version_register {
    pool_versions versions;  //!< all, also those that are retired
    pool_versions retired;

    bool operator==(const version_register&) const = default;
};

//! Registered versions that may begin streams.
pool_versions active_versions(const version_register& registered);

//! What the store holds of versions and streams.
struct stored_streams {
    pool_versions versions;                        //!< registered versions
    std::map<std::string, stream_origin> origins;  //!< of recorded streams, by key
};

//! Origin of a stream according to the store: its record, or the only version of all the pools in
//! which it may have begun. None if neither exists.
std::optional<stream_origin> find_origin(const stored_streams& stored, std::string_view key,
                                         const std::set<pool_name>& pools);

//! True if streams of the pool have to be recorded, as the pool isn't known to have one version, or
//! is one of several in which a stream of a route may have begun.
bool needs_records(const pool_versions& registered, const std::set<pool_name>& shared,
                   const pool_name& pool);

//! When each resumable route led to each of its pools last. A stream may be taken up after its
//! route was moved to another pool.
struct route_pools {
    std::map<std::string, std::map<pool_name, instant>> last_seen;  //!< by route and pool
};

//! Updates the pools of the routes; forgets those that no route has led to for `lifetime`.
void record_route_pools(route_pools& known, const serving_config& config, milliseconds lifetime,
                        instant now);

//! Pools that are one of several in which a stream of a route may have begun.
std::set<pool_name> shared_pools(const route_pools& known);

//! Pools in which a stream may have begun that would be sent to the pool now.
std::set<pool_name> pools_of(const route_pools& known, const std::string& route,
                             const pool_name& pool);

//! Time after its beginning in which a stream may be taken up; zero without resumable routes.
milliseconds take_up_time(const serving_config& config);

//! Versions of the usable upstreams in the pools of resumable routes.
pool_versions versions_in_use(const fleet_view& view);

//! True if all pools of resumable routes that have upstreams have one of a registered version.
bool can_begin_streams(const fleet_view& view);

//! Versions of all known upstreams, also of those that are leaving.
pool_versions versions_present(const fleet_state& fleet);

//! Versions of `all` that `without` lacks.
pool_versions difference(const pool_versions& all, const pool_versions& without);

//! Versions that are in both.
pool_versions intersection(const pool_versions& one, const pool_versions& other);

//! Adds a retired version without upstreams to each pool. It stands for versions that nobody
//! remembers: the streams of the pool need records until it is removed as absent.
void add_forgotten_version(version_register& registered);

//! Adds the versions of `added`.
void merge(pool_versions& into, const pool_versions& added);

//! When the last upstream of a registered version was seen, or the version was found retired.
struct version_sightings {
    std::map<stream_origin, instant> last_seen;
};

//! Updates the sightings of the registered versions.
void record_sightings(version_sightings& sightings, const pool_versions& registered,
                      const pool_versions& present, instant now);

//! Versions whose entries in the store are to be changed.
struct obsolete_versions {
    pool_versions to_retire;
    pool_versions to_remove;
};

//! Retires and removes versions. What another instance has registered again meanwhile stays.
void apply_obsolete(version_register& registered, const obsolete_versions& obsolete);

//! Notes that versions were found retired: their absence counts from then on.
void record_retirement(version_sightings& sightings, const pool_versions& retired, instant now);

//! Active versions without an upstream for at least `absence`. Of each pool the version seen last
//! is kept.
pool_versions versions_to_retire(const version_sightings& sightings,
                                 const version_register& registered, milliseconds absence,
                                 instant now);

//! Retired versions that have been so, and without an upstream, for at least `absence`. All
//! instances have learned within that time that they begin no streams, so none relies on them, also
//! where the removal is carried out late.
pool_versions versions_to_remove(const version_sightings& sightings,
                                 const version_register& registered, milliseconds absence,
                                 instant now);

}  // namespace cyclamenmount
