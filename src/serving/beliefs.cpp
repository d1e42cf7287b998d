#include "serving/beliefs.h"

#include "types/overloaded.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

using changes = std::vector<belief_change>;

//! True while entries that lapsed during an outage may still come back.
bool may_come_back(const beliefs& state, instant now) {
    return !state.store_reached || now < state.store_regained_at + reregistration_time;
}

//! False if the entry is older than what is known.
bool write(beliefs& state, const upstream_written& news, changes& out) {
    const auto known = state.upstreams.find(news.upstream.id);
    if (known != state.upstreams.end() && known->second.revision >= news.revision) {
        return false;
    }
    const bool is_new = known == state.upstreams.end() || known->second.is_gone;
    const bool leaves = news.upstream.is_leaving && (is_new || !known->second.value.is_leaving);
    state.upstreams[news.upstream.id] = {news.upstream, news.revision, false, {}};
    if (leaves) {
        out.push_back({"upstream_leaving", news.upstream.id.value, news.revision});
    } else if (is_new) {
        out.push_back({"upstream_joined", news.upstream.id.value, news.revision});
    }
    return true;
}

void remove(beliefs& state, const upstream_id& id, std::uint64_t revision, instant now,
            changes& out) {
    const auto known = state.upstreams.find(id);
    if (known == state.upstreams.end() || known->second.is_gone ||
        known->second.revision > revision) {
        return;
    }
    known->second.is_gone = true;
    known->second.revision = revision;
    known->second.dropped_at =
        may_come_back(state, now) ? state.store_regained_at + reregistration_time : now;
    out.push_back({"upstream_gone", id.value, revision});
}

void replace_all(beliefs& state, const upstreams_listed& news, instant now, changes& out) {
    std::set<upstream_id> listed;
    for (const serving_upstream& one : news.upstreams) {
        listed.insert(one.id);
        // An entry of the list is at most as new as the list; its own revision isn't needed, as
        // later events carry higher ones.
        write(state, {one, news.revision}, out);
    }
    for (const auto& [id, known] : state.upstreams) {
        if (!listed.contains(id)) {
            remove(state, id, news.revision, now, out);
        }
    }
    state.upstreams_known = true;
}

bool drop_expired(beliefs& state, instant now) {
    return std::erase_if(state.upstreams, [&](const auto& entry) {
               return entry.second.is_gone && now >= entry.second.dropped_at;
           }) != 0;
}

fleet_view_ptr make_view(beliefs& state) {
    auto view = std::make_shared<fleet_view>();
    view->lists = state.lists;
    for (const auto& [id, known] : state.upstreams) {
        const bool in_service = !state.zones_out.contains(known.value.zone);
        if (in_service && !known.value.is_leaving) {
            view->pools[known.value.pool].push_back(known.value);
        }
    }
    for (const auto& [address, one] : state.members) {
        view->members.push_back(one);
    }
    view->upstreams_known = state.upstreams_known;
    view->is_store_reached = state.store_reached;
    view->number = ++state.views;
    return view;
}

//! True if the view has to change, also where the log has nothing to tell.
bool take(beliefs& state, const store_news& news, instant now, changes& out) {
    bool is_changed = false;
    std::visit(
        overloaded{
            [&](const catalogue_read& read) {
                if (!state.lists || read.lists.version > state.lists->version) {
                    state.lists = std::make_shared<const catalogue>(read.lists);
                    out.push_back({"configuration", "main", read.lists.version});
                }
            },
            [&](const upstreams_listed& listed) {
                is_changed = !state.upstreams_known;
                replace_all(state, listed, now, out);
            },
            [&](const upstream_written& written) { is_changed = write(state, written, out); },
            [&](const upstream_removed& removed) {
                remove(state, removed.id, removed.revision, now, out);
            },
            [&](const zones_out_listed& listed) {
                if (listed.zones != state.zones_out) {
                    state.zones_out = listed.zones;
                    out.push_back({"zones_out", std::to_string(listed.zones.size()), 0});
                }
            },
            [&](const zone_taken_out& taken) {
                if (state.zones_out.insert(taken.zone).second) {
                    out.push_back({"zone_out", taken.zone.value, 0});
                }
            },
            [&](const zone_returned& returned) {
                if (state.zones_out.erase(returned.zone) != 0) {
                    out.push_back({"zone_back", returned.zone.value, 0});
                }
            },
            [&](const members_listed& listed) {
                std::map<std::string, member> members;
                for (const member& one : listed.members) {
                    members[one.address] = one;
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
            [&](const store_lost&) {
                if (state.store_reached) {
                    state.store_reached = false;
                    out.push_back({"store_lost", "store", 0});
                }
            },
            [&](const store_regained&) {
                if (!state.store_reached) {
                    state.store_reached = true;
                    state.store_regained_at = now;
                    out.push_back({"store_regained", "store", 0});
                }
            },
            [](const beliefs_tick&) {},
        },
        news);
    return is_changed;
}

}  // namespace

beliefs_outcome reduce(beliefs& state, std::span<const store_news> news, instant now) {
    beliefs_outcome outcome;
    bool is_changed = false;
    for (const store_news& one : news) {
        is_changed = take(state, one, now, outcome.changes) || is_changed;
    }
    const bool dropped = drop_expired(state, now);
    if (dropped || is_changed || !outcome.changes.empty()) {
        outcome.view = make_view(state);
    }
    return outcome;
}

beliefs_outcome reduce(beliefs& state, const store_news& news, instant now) {
    return reduce(state, std::span(&news, 1), now);
}

}  // namespace cyclamenmount
