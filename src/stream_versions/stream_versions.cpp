#include "stream_versions/stream_versions.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include <xxhash.h>

namespace cyclamenmount {

namespace {

//! Records kept at most; an instance begins a few streams a second.
constexpr std::size_t max_records = 4096;
//! A caller repeats a request within its own deadline, which may lie beyond the route's timeout.
constexpr int timeouts_of_callers = 2;
//! Time in which a caller comes back, and in which all instances learn of a change.
constexpr milliseconds take_up_margin{10'000};

}  // namespace

std::string stream_key(std::string_view attempt) {
    constexpr int dropped_bits = 16;  // 48 bits tell apart what can be taken up at a time
    char text[16];
    std::snprintf(text, sizeof(text), "%012llx",
                  static_cast<unsigned long long>(XXH3_64bits(attempt.data(), attempt.size()) >>
                                                  dropped_bits));
    return text;
}

void add_record(stream_records& records, stream_record added) {
    records.recent.push_back(std::move(added));
    if (records.recent.size() > max_records) {
        records.recent.pop_front();
    }
}

void expire_records(stream_records& records, instant oldest) {
    while (!records.recent.empty() && records.recent.front().began_at < oldest) {
        records.recent.pop_front();
    }
}

std::optional<stream_origin> find_origin(const stream_records& records, std::string_view key) {
    const auto found = std::ranges::find(records.recent, key, &stream_record::key);
    return found == records.recent.end() ? std::nullopt : std::optional(found->origin);
}

std::optional<stream_origin> find_origin(const stored_streams& stored, std::string_view key,
                                         const std::set<pool_name>& pools) {
    const auto recorded = stored.origins.find(std::string(key));
    if (recorded != stored.origins.end()) {
        return recorded->second;
    }
    std::optional<stream_origin> only;
    for (const pool_name& pool : pools) {
        const auto versions = stored.versions.find(pool);
        if (versions == stored.versions.end() || versions->second.empty()) {
            continue;  // a version is registered before it begins a stream
        }
        if (only || versions->second.size() != 1) {
            return std::nullopt;
        }
        only = stream_origin{pool, *versions->second.begin()};
    }
    return only;
}

bool needs_records(const pool_versions& registered, const std::set<pool_name>& shared,
                   const pool_name& pool) {
    const auto found = registered.find(pool);
    return found == registered.end() || found->second.size() != 1 || shared.contains(pool);
}

void record_route_pools(route_pools& known, const serving_config& config, milliseconds lifetime,
                        instant now) {
    for (const route& one : config.routes) {
        if (one.kind != request_kind::stream || !one.is_resumable) {
            continue;
        }
        for (const weighted_pool& target : one.pools) {
            known.last_seen[one.name][target.pool] = now;
        }
    }
    for (auto& [name, pools] : known.last_seen) {
        std::erase_if(pools, [&](const auto& pool) { return now - pool.second > lifetime; });
    }
    std::erase_if(known.last_seen, [](const auto& one) { return one.second.empty(); });
}

std::set<pool_name> shared_pools(const route_pools& known) {
    std::set<pool_name> shared;
    for (const auto& [name, pools] : known.last_seen) {
        if (pools.size() < 2) {
            continue;
        }
        for (const auto& [pool, last_seen] : pools) {
            shared.insert(pool);
        }
    }
    return shared;
}

std::set<pool_name> pools_of(const route_pools& known, const std::string& route,
                             const pool_name& pool) {
    std::set<pool_name> pools{pool};
    const auto found = known.last_seen.find(route);
    if (found != known.last_seen.end()) {
        for (const auto& [name, last_seen] : found->second) {
            pools.insert(name);
        }
    }
    return pools;
}

milliseconds take_up_time(const serving_config& config) {
    milliseconds longest{0};
    for (const route& one : config.routes) {
        if (one.is_resumable) {
            longest = std::max(longest, timeouts_of_callers * one.timeout + take_up_margin);
        }
    }
    return longest;
}

pool_versions versions_in_use(const fleet_view& view) {
    pool_versions used;
    if (!view.config) {
        return used;
    }
    for (const route& one : view.config->routes) {
        if (one.kind != request_kind::stream || !one.is_resumable) {
            continue;
        }
        for (const weighted_pool& target : one.pools) {
            const auto pool = view.pools.find(target.pool);
            if (pool == view.pools.end() || used.contains(target.pool)) {
                continue;
            }
            for (const serving_upstream& upstream : pool->second) {
                used[target.pool].insert(upstream.version);
            }
        }
    }
    return used;
}

bool can_begin_streams(const fleet_view& view) {
    const pool_versions used = versions_in_use(view);
    const pool_versions unregistered = difference(used, view.stream_versions);
    return std::ranges::all_of(used, [&](const auto& entry) {
        const auto found = unregistered.find(entry.first);
        return found == unregistered.end() || found->second.size() < entry.second.size();
    });
}

pool_versions versions_present(const fleet_state& fleet) {
    pool_versions present;
    for (const auto& [id, entry] : fleet.upstreams) {
        present[entry.value.pool].insert(entry.value.version);
    }
    return present;
}

pool_versions difference(const pool_versions& all, const pool_versions& without) {
    pool_versions rest;
    for (const auto& [pool, versions] : all) {
        const auto other = without.find(pool);
        for (const software_version& version : versions) {
            if (other == without.end() || !other->second.contains(version)) {
                rest[pool].insert(version);
            }
        }
    }
    return rest;
}

pool_versions active_versions(const version_register& registered) {
    return difference(registered.versions, registered.retired);
}

pool_versions intersection(const pool_versions& one, const pool_versions& other) {
    return difference(one, difference(one, other));
}

void add_forgotten_version(version_register& registered) {
    const software_version forgotten{"forgotten"};
    for (auto& [pool, known] : registered.versions) {
        known.insert(forgotten);
        registered.retired[pool].insert(forgotten);
    }
}

void merge(pool_versions& into, const pool_versions& added) {
    for (const auto& [pool, versions] : added) {
        into[pool].insert(versions.begin(), versions.end());
    }
}

void record_sightings(version_sightings& sightings, const pool_versions& registered,
                      const pool_versions& present, instant now) {
    std::map<stream_origin, instant> last_seen;
    for (const auto& [pool, versions] : registered) {
        const auto found = present.find(pool);
        for (const software_version& version : versions) {
            const stream_origin origin{pool, version};
            const auto known = sightings.last_seen.find(origin);
            const bool is_present = found != present.end() && found->second.contains(version);
            // A version that this process hasn't seen yet may have left just before it started.
            last_seen[origin] =
                is_present || known == sightings.last_seen.end() ? now : known->second;
        }
    }
    sightings.last_seen = std::move(last_seen);
}

void apply_obsolete(version_register& registered, const obsolete_versions& obsolete) {
    const pool_versions removed = intersection(obsolete.to_remove, registered.retired);
    const pool_versions retired = intersection(obsolete.to_retire, active_versions(registered));
    registered.versions = difference(registered.versions, removed);
    registered.retired = difference(registered.retired, removed);
    merge(registered.retired, retired);
}

void record_retirement(version_sightings& sightings, const pool_versions& retired, instant now) {
    for (const auto& [pool, versions] : retired) {
        for (const software_version& version : versions) {
            sightings.last_seen[{pool, version}] = now;
        }
    }
}

pool_versions versions_to_retire(const version_sightings& sightings,
                                 const version_register& registered, milliseconds absence,
                                 instant now) {
    pool_versions absent;
    for (const auto& [pool, versions] : active_versions(registered)) {
        std::set<software_version> candidates;
        std::optional<std::pair<instant, software_version>> latest;
        for (const software_version& version : versions) {
            const auto seen = sightings.last_seen.find({pool, version});
            if (seen == sightings.last_seen.end()) {
                continue;
            }
            if (!latest || seen->second > latest->first) {
                latest = {seen->second, version};
            }
            if (now - seen->second >= absence) {
                candidates.insert(version);
            }
        }
        if (latest && candidates.size() == versions.size()) {
            candidates.erase(latest->second);
        }
        if (!candidates.empty()) {
            absent[pool] = std::move(candidates);
        }
    }
    return absent;
}

pool_versions versions_to_remove(const version_sightings& sightings,
                                 const version_register& registered, milliseconds absence,
                                 instant now) {
    pool_versions removable;
    for (const auto& [pool, versions] : registered.retired) {
        for (const software_version& version : versions) {
            const auto seen = sightings.last_seen.find({pool, version});
            if (seen != sightings.last_seen.end() && now - seen->second >= absence) {
                removable[pool].insert(version);
            }
        }
    }
    return removable;
}

}  // namespace cyclamenmount
