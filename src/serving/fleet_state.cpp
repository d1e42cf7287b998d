#include "serving/fleet_state.h"

#include "types/overloaded.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

using fleet_changes = std::vector<fleet_change>;

//! Returns true while upstreams whose entries expired in an outage may still register again.
bool may_reregister(const fleet_state& state, instant now) {
    return !state.store_reached || now < state.store_reachable_since + reregistration_time;
}

//! Applies a written entry. Returns false if it isn't newer than the known one.
bool apply_write(fleet_state& state, const upstream_written& written, fleet_changes& out) {
    const auto known = state.upstreams.find(written.upstream.id);
    if (known != state.upstreams.end() && known->second.revision >= written.revision) {
        return false;
    }
    const bool is_new = known == state.upstreams.end() || known->second.is_removed;
    const bool starts_leaving =
        written.upstream.is_leaving && (is_new || !known->second.value.is_leaving);
    state.upstreams[written.upstream.id] = {written.upstream, written.revision, false, {}};
    if (starts_leaving) {
        out.push_back({"upstream_leaving", written.upstream.id.value, written.revision});
    } else if (is_new) {
        out.push_back({"upstream_joined", written.upstream.id.value, written.revision});
    }
    return true;
}

//! Marks an upstream as removed; it expires at once, or later if it may still register again.
void apply_removal(fleet_state& state, const upstream_id& id, std::uint64_t revision, instant now,
                   fleet_changes& out) {
    const auto known = state.upstreams.find(id);
    if (known == state.upstreams.end() || known->second.is_removed ||
        known->second.revision > revision) {
        return;
    }
    known->second.is_removed = true;
    known->second.revision = revision;
    known->second.expires_at =
        may_reregister(state, now) ? state.store_reachable_since + reregistration_time : now;
    out.push_back({"upstream_gone", id.value, revision});
}

//! Replaces all upstreams with those of a complete list.
void apply_list(fleet_state& state, const upstreams_listed& list, instant now, fleet_changes& out) {
    std::set<upstream_id> listed;
    for (const serving_upstream& upstream : list.upstreams) {
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

//! Applies a written suspect. Returns true if its value changed.
bool apply_suspect(fleet_state& state, const stored_suspect& written, instant now,
                   fleet_changes& out) {
    const crash_suspect& value = written.value;
    const auto [entry, is_new] = state.suspects.try_emplace(value.key);
    stored_suspect& known = entry->second.stored;
    if (!is_new && known.revision >= written.revision) {
        return false;
    }
    if (!is_new && known.value == value) {
        known.revision = written.revision;
        return false;
    }
    const bool was_quarantined = !is_new && is_quarantined(known.value);
    entry->second = {written, now};
    mark_suspects_changed(state);
    if (!is_quarantined(value)) {
        out.push_back({was_quarantined ? "prompt_part_cleared" : "prompt_part_suspected", value.key,
                       value.crashes.size()});
    } else if (!was_quarantined) {
        out.push_back({"prompt_part_quarantined", value.key, value.crashes.size()});
    }
    return true;
}

//! Removes a suspect unless it was written after the revision.
void apply_suspect_removal(fleet_state& state, const std::string& key, std::uint64_t revision,
                           fleet_changes& out) {
    const auto known = state.suspects.find(key);
    if (known == state.suspects.end() || known->second.stored.revision > revision) {
        return;
    }
    out.push_back({"prompt_part_cleared", key, 0});
    state.suspects.erase(known);
    mark_suspects_changed(state);
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
        suspects->emplace_hint(suspects->end(), key, known.stored.value);
    }
    return suspects;
}

//! Erases removed upstreams that have expired. Returns true if there were any.
bool erase_expired(fleet_state& state, instant now) {
    return std::erase_if(state.upstreams, [&](const auto& entry) {
               return entry.second.is_removed && now >= entry.second.expires_at;
           }) != 0;
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
    view->upstreams_known = state.upstreams_known;
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
                if (listed.zones != state.zones_out_of_service) {
                    state.zones_out_of_service = listed.zones;
                    out.push_back({"zones_out", std::to_string(listed.zones.size()), 0});
                }
            },
            [&](const zone_taken_out_of_service& taken) {
                if (state.zones_out_of_service.insert(taken.zone).second) {
                    out.push_back({"zone_out", taken.zone.value, 0});
                }
            },
            [&](const zone_returned_to_service& returned) {
                if (state.zones_out_of_service.erase(returned.zone) != 0) {
                    out.push_back({"zone_back", returned.zone.value, 0});
                }
            },
            [&](const members_listed& listed) {
                std::map<std::string, member> members;
                for (const member& instance : listed.members) {
                    members[instance.address] = instance;
                }
                is_changed = members != state.members;
                state.members = std::move(members);
            },
            [&](const member_written& written) {
                is_changed = !(state.members[written.value.address] == written.value);
                state.members[written.value.address] = written.value;
            },
            [&](const member_removed& removed) {
                is_changed = state.members.erase(removed.address) != 0;
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
            [](const fleet_tick&) {},
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

std::vector<stored_suspect> expired_suspects(const fleet_state& state, instant now) {
    std::vector<stored_suspect> expired;
    for (const auto& [key, known] : state.suspects) {
        if (now - known.changed_at >= lifetime_of(known.stored.value)) {
            expired.push_back(known.stored);
        }
    }
    return expired;
}

}  // namespace cyclamenmount
