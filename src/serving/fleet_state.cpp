#include "serving/fleet_state.h"

#include "types/overloaded.h"
#include "types/store_version.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

using fleet_changes = std::vector<fleet_change>;

//! Time for which a departed upstream is remembered; copies of the store are some seconds old.
constexpr milliseconds departed_lifetime{30'000};
//! Suspects kept at most, to bound the memory that crashes during an outage of the store take.
constexpr std::size_t max_suspects = 2048;

//! Returns true while upstreams whose entries expired in an outage may still register again.
bool may_reregister(const fleet_state& state, instant now) {
    return !state.store_reached || now < state.store_reachable_since + reregistration_time;
}

//! True if the version belongs to a later era of the store than the known one.
bool begins_era(object_version version, object_version known) {
    return known != 0 && era_of(version) > era_of(known);
}

//! True if the upstream left in an earlier era, so that its entry stems from an older copy.
bool has_departed(const fleet_state& state, const serving_upstream& listed,
                  object_version revision) {
    const auto found = state.departed.find(listed.id);
    return found != state.departed.end() && found->second.started_at_ms == listed.started_at_ms &&
           begins_era(revision, found->second.revision);
}

//! Applies a written entry. Returns false if it isn't newer than the known one.
bool apply_write(fleet_state& state, upstream_written written, fleet_changes& out) {
    const auto known = state.upstreams.find(written.upstream.id);
    if (known != state.upstreams.end() && known->second.revision >= written.revision) {
        return false;
    }
    bool left_in_earlier_era = false;
    if (known != state.upstreams.end() &&
        known->second.value.started_at_ms == written.upstream.started_at_ms) {
        const upstream_entry& entry = known->second;
        left_in_earlier_era =
            entry.left_in_earlier_era ||
            (entry.value.is_leaving && begins_era(written.revision, entry.revision));
        written.upstream.is_leaving = written.upstream.is_leaving || left_in_earlier_era;
    }
    const bool is_new = known == state.upstreams.end() || known->second.is_removed;
    const bool starts_leaving =
        written.upstream.is_leaving && (is_new || !known->second.value.is_leaving);
    state.departed.erase(written.upstream.id);
    state.upstreams[written.upstream.id] = {
        written.upstream, written.revision, left_in_earlier_era, false, {}};
    if (starts_leaving) {
        out.push_back(
            {"upstream_leaving", written.upstream.id.value, revision_of(written.revision)});
    } else if (is_new) {
        out.push_back(
            {"upstream_joined", written.upstream.id.value, revision_of(written.revision)});
    }
    return true;
}

//! Marks an upstream as removed; it expires at once, or later if it may still register again.
void apply_removal(fleet_state& state, const upstream_id& id, object_version revision, instant now,
                   fleet_changes& out) {
    const auto known = state.upstreams.find(id);
    if (known == state.upstreams.end() || known->second.is_removed ||
        known->second.revision > revision) {
        return;
    }
    known->second.is_removed = true;
    known->second.revision = revision;
    known->second.expires_at = now;
    if (may_reregister(state, now)) {
        known->second.expires_at = state.store_reachable_since + reregistration_time;
    } else {
        state.departed[id] = {known->second.value.started_at_ms, revision, now};
    }
    out.push_back({"upstream_gone", id.value, revision_of(revision)});
}

//! Replaces all upstreams with those of a complete list.
void apply_list(fleet_state& state, const upstreams_listed& list, instant now, fleet_changes& out) {
    if (begins_era(list.revision, state.upstreams_version)) {
        // Upstreams that registered after the copy was made register again.
        state.store_reachable_since = now;
    }
    state.upstreams_version = std::max(state.upstreams_version, list.revision);
    std::set<upstream_id> listed;
    for (const serving_upstream& upstream : list.upstreams) {
        if (has_departed(state, upstream, list.revision)) {
            out.push_back({"upstream_departed", upstream.id.value, revision_of(list.revision)});
            continue;
        }
        listed.insert(upstream.id);
        // Entries get the revision of the list: none of them is newer, and later events carry
        // higher revisions.
        apply_write(state, {upstream, list.revision}, out);
    }
    for (const auto& [id, known] : state.upstreams) {
        if (!listed.contains(id)) {
            apply_removal(state, id, list.revision, now, out);
        }
    }
    state.upstreams_known = true;
}

//! Has the next view publish the suspects anew: once for all events that arrived together.
void mark_suspects_changed(fleet_state& state) {
    state.published_suspects.reset();
}

//! Reports the new value of a suspect and has the next view publish it.
void report_suspect(fleet_state& state, const crash_suspect& before, const crash_suspect& after,
                    fleet_changes& out) {
    mark_suspects_changed(state);
    const std::string kind = is_request_key(after.key) ? "request" : "prompt_part";
    const bool was_quarantined = is_quarantined(before);
    if (!is_quarantined(after)) {
        const bool is_cleared = was_quarantined || after.crashes.empty();
        out.push_back(
            {kind + (is_cleared ? "_cleared" : "_suspected"), after.key, after.crashes.size()});
    } else if (!was_quarantined) {
        out.push_back({kind + "_quarantined", after.key, after.crashes.size()});
    }
}

//! Keeps the crashes of an entry that a restored store lacks, until they are stored again.
void keep_stored_crashes(suspect_entry& entry) {
    for (const upstream_crash& crash : entry.stored.value.crashes) {
        if (std::ranges::find(entry.unconfirmed, crash) == entry.unconfirmed.end()) {
            entry.unconfirmed.push_back(crash);
        }
    }
}

//! Applies a written suspect. Returns true if its value changed.
bool apply_suspect(fleet_state& state, const stored_suspect& written, instant now,
                   fleet_changes& out) {
    suspect_entry& entry = state.suspects[written.value.key];
    if (entry.stored.revision >= written.revision) {
        return false;
    }
    const crash_suspect before = merged_suspect(entry);
    if (begins_era(written.revision, entry.stored.revision)) {
        keep_stored_crashes(entry);
    }
    entry.stored = written;
    std::erase_if(entry.unconfirmed,
                  [&](const upstream_crash& crash) { return holds_crash(written.value, crash); });
    const crash_suspect after = merged_suspect(entry);
    if (after == before) {
        return false;
    }
    entry.changed_at = now;
    report_suspect(state, before, after, out);
    return true;
}

//! Applies a crash that this instance saw itself. Returns true if the suspect changed.
bool apply_seen_crash(fleet_state& state, const crash_seen& seen, instant now, fleet_changes& out) {
    if (!state.suspects.contains(seen.key) && state.suspects.size() >= max_suspects) {
        out.push_back({"suspect_dropped", seen.key, state.suspects.size()});
        return false;
    }
    suspect_entry& entry = state.suspects[seen.key];
    entry.stored.value.key = seen.key;
    const crash_suspect before = merged_suspect(entry);
    crash_suspect after = before;
    if (!add_crash(after, seen.crash)) {
        return false;
    }
    entry.unconfirmed.push_back(seen.crash);
    entry.changed_at = now;
    report_suspect(state, before, after, out);
    return true;
}

//! Drops the unconfirmed crashes for which `is_dropped` holds, and the suspect if none is left.
template <typename Predicate>
void drop_unconfirmed(fleet_state& state, const std::string& key, Predicate is_dropped,
                      fleet_changes& out) {
    const auto found = state.suspects.find(key);
    if (found == state.suspects.end()) {
        return;
    }
    suspect_entry& entry = found->second;
    const crash_suspect before = merged_suspect(entry);
    if (std::erase_if(entry.unconfirmed, is_dropped) == 0) {
        return;
    }
    report_suspect(state, before, merged_suspect(entry), out);
    if (entry.stored.revision == 0 && entry.unconfirmed.empty()) {
        state.suspects.erase(found);
    }
}

//! Drops the unconfirmed crashes of suspects whose lifetime has passed.
void expire_unconfirmed(fleet_state& state, instant now, fleet_changes& out) {
    std::vector<std::string> expired;
    for (const auto& [key, entry] : state.suspects) {
        if (!entry.unconfirmed.empty() &&
            now - entry.changed_at >= lifetime_of(merged_suspect(entry))) {
            expired.push_back(key);
        }
    }
    for (const std::string& key : expired) {
        drop_unconfirmed(
            state, key, [](const upstream_crash& /*any*/) { return true; }, out);
    }
}

//! Removes a suspect unless it was written after the revision.
void apply_suspect_removal(fleet_state& state, const std::string& key, object_version revision,
                           fleet_changes& out) {
    const auto known = state.suspects.find(key);
    if (known == state.suspects.end() || known->second.stored.revision > revision ||
        known->second.stored.revision == 0) {
        return;
    }
    suspect_entry& entry = known->second;
    const crash_suspect before = merged_suspect(entry);
    if (begins_era(revision, entry.stored.revision)) {
        keep_stored_crashes(entry);
        entry.stored = {{key, {}}, 0};
        return;
    }
    entry.stored = {{key, {}}, 0};
    report_suspect(state, before, merged_suspect(entry), out);
    if (entry.unconfirmed.empty()) {
        state.suspects.erase(known);
    }
}

//! Replaces the suspects with those of a complete list. Returns true if a value changed.
bool apply_suspect_list(fleet_state& state, const suspects_listed& list, instant now,
                        fleet_changes& out) {
    bool is_changed = false;
    std::set<std::string> missing;
    for (const auto& [key, known] : state.suspects) {
        missing.insert(key);
    }
    for (const stored_suspect& suspect : list.suspects) {
        missing.erase(suspect.value.key);
        is_changed = apply_suspect(state, suspect, now, out) || is_changed;
    }
    for (const std::string& key : missing) {
        apply_suspect_removal(state, key, list.revision, out);
    }
    return is_changed;
}

//! The suspects to publish.
std::shared_ptr<const crash_suspects> make_crash_suspects(const fleet_state& state) {
    auto suspects = std::make_shared<crash_suspects>();
    for (const auto& [key, known] : state.suspects) {
        suspects->emplace_hint(suspects->end(), key, merged_suspect(known));
    }
    return suspects;
}

//! Erases removed upstreams that have expired. Returns true if there were any.
bool erase_expired(fleet_state& state, instant now) {
    return std::erase_if(state.upstreams, [&](const auto& entry) {
               return entry.second.is_removed && now >= entry.second.expires_at;
           }) != 0;
}

//! Keeps the known ones that a list lacks. After a restoration they stay until their writers had
//! the time to repeat them; `kept_until` holds them, also over further lists.
template <typename Key, typename Add>
void keep_until_repeated(std::map<Key, instant>& kept_until, std::span<const Key> known,
                         bool is_restored, instant now, Add add_if_missing) {
    for (const Key& key : known) {
        const bool is_kept = kept_until.contains(key);
        if (!is_kept && !is_restored) {
            continue;
        }
        if (!add_if_missing(key)) {
            kept_until.erase(key);
        } else if (!is_kept) {
            kept_until[key] = now + rewrite_time;
        }
    }
}

//! Replaces the zones out of service.
void apply_zone_list(fleet_state& state, const zones_out_of_service_listed& listed, instant now,
                     fleet_changes& out) {
    std::set<zone_name> zones = listed.zones;
    const std::vector<zone_name> known(state.zones_out_of_service.begin(),
                                       state.zones_out_of_service.end());
    keep_until_repeated<zone_name>(
        state.zones_kept_until, known, begins_era(listed.revision, state.zones_version), now,
        [&](const zone_name& zone) { return zones.insert(zone).second; });
    state.zones_version = std::max(state.zones_version, listed.revision);
    if (zones != state.zones_out_of_service) {
        state.zones_out_of_service = std::move(zones);
        out.push_back({"zones_out", std::to_string(state.zones_out_of_service.size()), 0});
    }
}

//! Replaces the members. Returns true if they changed.
bool apply_member_list(fleet_state& state, const members_listed& listed, instant now) {
    std::map<std::string, member> members;
    for (const member& instance : listed.members) {
        members[instance.address] = instance;
    }
    std::vector<std::string> known;
    for (const auto& [address, instance] : state.members) {
        known.push_back(address);
    }
    keep_until_repeated<std::string>(
        state.members_kept_until, known, begins_era(listed.revision, state.members_version), now,
        [&](const std::string& address) {
            return members.emplace(address, state.members.at(address)).second;
        });
    state.members_version = std::max(state.members_version, listed.revision);
    const bool is_changed = !state.members_known || members != state.members;
    state.members = std::move(members);
    state.members_known = true;
    return is_changed;
}

//! Drops what a restored store lacks and nobody has written again in time. Returns true if the
//! members changed.
bool drop_unrepeated(fleet_state& state, instant now, fleet_changes& out) {
    std::erase_if(state.zones_kept_until, [&](const auto& kept) {
        if (now < kept.second) {
            return false;
        }
        state.zones_out_of_service.erase(kept.first);
        out.push_back({"zone_back", kept.first.value, 0});
        return true;
    });
    return std::erase_if(state.members_kept_until, [&](const auto& kept) {
               return now >= kept.second && state.members.erase(kept.first) != 0;
           }) != 0;
}

//! Forgets upstreams that left so long ago that no copy of the store lists them.
void forget_departed(fleet_state& state, instant now) {
    std::erase_if(state.departed, [&](const auto& entry) {
        return now - entry.second.departed_at >= departed_lifetime;
    });
}

//! Creates the next view. It excludes upstreams that are leaving or in a zone out of service.
fleet_view_ptr make_view(fleet_state& state) {
    auto view = std::make_shared<fleet_view>();
    view->config = state.config;
    for (const auto& [id, known] : state.upstreams) {
        const bool in_service = !state.zones_out_of_service.contains(known.value.zone);
        if (in_service && !known.value.is_leaving) {
            view->pools[known.value.pool].push_back(known.value);
        }
    }
    for (const auto& [address, instance] : state.members) {
        view->members.push_back(instance);
    }
    if (!state.published_suspects) {
        state.published_suspects = make_crash_suspects(state);
    }
    view->suspects = state.published_suspects;
    view->stream_versions = state.stream_versions;
    view->rollouts = state.rollouts;
    view->upstreams_known = state.upstreams_known;
    view->members_known = state.members_known;
    view->number = ++state.view_count;
    return view;
}

//! Applies one event. Returns true if it needs a new view. An event that appends changes to `out`
//! needs one too, whatever is returned.
bool apply(fleet_state& state, const store_event& event, instant now, fleet_changes& out) {
    bool is_changed = false;
    std::visit(
        overloaded{
            [&](const serving_config_read& read) {
                if (!state.config || read.config.version > state.config->version) {
                    state.config = std::make_shared<const serving_config>(read.config);
                    out.push_back({"configuration", "main", read.config.version});
                }
            },
            [&](const upstreams_listed& listed) {
                is_changed = !state.upstreams_known;
                apply_list(state, listed, now, out);
            },
            [&](const upstream_written& written) { is_changed = apply_write(state, written, out); },
            [&](const upstream_removed& removed) {
                apply_removal(state, removed.id, removed.revision, now, out);
            },
            [&](const zones_out_of_service_listed& listed) {
                apply_zone_list(state, listed, now, out);
            },
            [&](const zone_taken_out_of_service& taken) {
                state.zones_kept_until.erase(taken.zone);
                if (state.zones_out_of_service.insert(taken.zone).second) {
                    out.push_back({"zone_out", taken.zone.value, 0});
                }
            },
            [&](const zone_returned_to_service& returned) {
                state.zones_kept_until.erase(returned.zone);
                if (state.zones_out_of_service.erase(returned.zone) != 0) {
                    out.push_back({"zone_back", returned.zone.value, 0});
                }
            },
            [&](const members_listed& listed) {
                is_changed = apply_member_list(state, listed, now);
            },
            [&](const member_written& written) {
                state.members_kept_until.erase(written.value.address);
                is_changed = !(state.members[written.value.address] == written.value);
                state.members[written.value.address] = written.value;
            },
            [&](const member_removed& removed) {
                const auto known = state.members.find(removed.address);
                is_changed = known != state.members.end() && known->second.id == removed.id;
                if (is_changed) {
                    state.members.erase(known);
                }
            },
            [&](const rollouts_listed& listed) {
                is_changed = listed.orders != state.rollouts;
                state.rollouts = listed.orders;
            },
            [&](const rollout_written& written) {
                rollout_order& known = state.rollouts[written.order.name];
                is_changed = !(known == written.order);
                known = written.order;
            },
            [&](const rollout_removed& removed) {
                is_changed = state.rollouts.erase(removed.name) != 0;
            },
            [&](const suspects_listed& listed) {
                is_changed = apply_suspect_list(state, listed, now, out);
            },
            [&](const suspect_written& written) {
                is_changed = apply_suspect(state, written.suspect, now, out);
            },
            [&](const suspect_removed& removed) {
                apply_suspect_removal(state, removed.key, removed.revision, out);
            },
            [&](const crash_seen& seen) { is_changed = apply_seen_crash(state, seen, now, out); },
            [&](const crash_disproved& disproved) {
                drop_unconfirmed(
                    state, disproved.key,
                    [&](const upstream_crash& crash) { return crash.pool == disproved.pool; }, out);
            },
            [&](const stream_versions_read& read) {
                is_changed = state.stream_versions != read.versions;
                state.stream_versions = read.versions;
            },
            [&](const store_became_unreachable&) {
                if (state.store_reached) {
                    state.store_reached = false;
                    out.push_back({"store_lost", "store", 0});
                }
            },
            [&](const store_became_reachable&) {
                if (!state.store_reached) {
                    state.store_reached = true;
                    state.store_reachable_since = now;
                    out.push_back({"store_regained", "store", 0});
                }
            },
            [&](const fleet_tick&) {
                expire_unconfirmed(state, now, out);
                forget_departed(state, now);
                is_changed = drop_unrepeated(state, now, out);
            },
        },
        event);
    return is_changed;
}

}  // namespace

fleet_update reduce(fleet_state& state, std::span<const store_event> events, instant now) {
    fleet_update outcome;
    bool is_changed = false;
    for (const store_event& event : events) {
        is_changed = apply(state, event, now, outcome.changes) || is_changed;
    }
    const bool erased = erase_expired(state, now);
    if (erased || is_changed || !outcome.changes.empty()) {
        outcome.view = make_view(state);
    }
    return outcome;
}

fleet_update reduce(fleet_state& state, const store_event& event, instant now) {
    return reduce(state, std::span(&event, 1), now);
}

crash_suspect merged_suspect(const suspect_entry& entry) {
    crash_suspect merged = entry.stored.value;
    for (const upstream_crash& crash : entry.unconfirmed) {
        add_crash(merged, crash);
    }
    return merged;
}

std::vector<stored_suspect> expired_suspects(const fleet_state& state, instant now) {
    std::vector<stored_suspect> expired;
    for (const auto& [key, known] : state.suspects) {
        if (known.stored.revision != 0 &&
            now - known.changed_at >= lifetime_of(merged_suspect(known))) {
            expired.push_back(known.stored);
        }
    }
    return expired;
}

}  // namespace cyclamenmount
