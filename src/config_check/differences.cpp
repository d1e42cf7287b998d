#include "config_check/config_check.h"

#include <map>
#include <set>

namespace cyclamenmount {

namespace {

//! Properties of an entry as texts, by name.
using properties = std::map<std::string, std::string>;
//! Entries by place.
using entries = std::map<std::string, properties>;

std::string text_of(double value) {
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    return text.ends_with('.') ? text.substr(0, text.size() - 1) : text;
}

std::string text_of(milliseconds time) {
    return std::to_string(time.count()) + " ms";
}

std::string text_of(bool value) {
    return value ? "yes" : "no";
}

std::string text_of(request_kind kind) {
    switch (kind) {
    case request_kind::idempotent:
        return "idempotent";
    case request_kind::non_idempotent:
        return "non-idempotent";
    case request_kind::stream:
        return "stream";
    }
    return "unknown";
}

std::string text_of(const std::vector<weighted_pool>& pools) {
    std::string text;
    for (const weighted_pool& one : pools) {
        text += (text.empty() ? "" : ", ") + one.pool.value + " x " + std::to_string(one.weight);
    }
    return text;
}

std::string text_of(const std::vector<route_stage>& stages) {
    std::string text;
    for (const route_stage& one : stages) {
        text += (text.empty() ? "" : ", ") + one.pool.value;
        for (const std::size_t at : one.after) {
            text += " after " + std::to_string(at);
        }
        text += " (" + std::to_string(one.result_bytes) + " bytes)";
    }
    return text;
}

properties properties_of(const route& one) {
    return {{"name", one.name},
            {"kind", text_of(one.kind)},
            {"timeout", text_of(one.timeout)},
            {"objective", text_of(one.objective)},
            {"longest gap between events", text_of(one.max_event_gap)},
            {"priority", std::to_string(one.priority)},
            {"attempts", std::to_string(one.max_attempts)},
            {"pools", text_of(one.pools)},
            {"stages", text_of(one.stages)},
            {"public", text_of(one.is_public)},
            {"resumable", text_of(one.is_resumable)}};
}

properties properties_of(const pool_limits& pool) {
    properties all = {{"connections", std::to_string(pool.max_connections)},
                      {"cold requests per second", text_of(pool.cold_per_second)}};
    if (pool.stage) {
        all["batch"] = std::to_string(pool.stage->batch);
        all["time of a call"] = text_of(pool.stage->call_ms) + " ms";
        all["time of a piece"] = text_of(pool.stage->piece_ms) + " ms";
        all["memory for results"] = text_of(pool.stage->result_mb) + " MB";
        all["lifetime of results"] = text_of(pool.stage->result_lifetime);
    }
    if (pool.engine) {
        all["slots"] = std::to_string(pool.engine->slots);
        all["cache"] = std::to_string(pool.engine->cache_tokens) + " tokens";
    }
    return all;
}

entries entries_of(const checked_config& checked) {
    entries all;
    for (const route& one : checked.config.routes) {
        // Of two routes with the same host and path, only the first is ever matched.
        all.try_emplace("route " + one.host + one.path_prefix, properties_of(one));
    }
    for (const auto& [name, pool] : checked.config.pools) {
        all.emplace("pool " + name.value, properties_of(pool));
    }
    for (const listed_workspace& one : checked.workspaces) {
        properties& of = all["workspace " + one.workspace.name.value];
        const auto& priority = one.workspace.priority;
        of["priority"] = priority ? std::to_string(*priority) : "that of the route";
    }
    const caller_limits& limits = checked.config.limits;
    all["limits"] = {{"bytes of headers", std::to_string(limits.header_bytes)},
                     {"bytes of a body", std::to_string(limits.body_bytes)},
                     {"time for headers", text_of(limits.header_timeout)},
                     {"idle time", text_of(limits.idle_timeout)}};
    return all;
}

std::map<std::string, std::set<std::string>> keys_of(const checked_config& checked) {
    std::map<std::string, std::set<std::string>> all;
    for (const listed_workspace& one : checked.workspaces) {
        all[one.workspace.name.value].insert(one.keys.begin(), one.keys.end());
    }
    return all;
}

std::size_t count_missing(const std::set<std::string>& from, const std::set<std::string>& in) {
    std::size_t count = 0;
    for (const std::string& key : from) {
        count += in.contains(key) ? 0 : 1;
    }
    return count;
}

void compare_properties(const std::string& place, const properties& before, const properties& after,
                        std::vector<config_finding>& to) {
    std::set<std::string> names;
    for (const properties* const one : {&before, &after}) {
        for (const auto& [name, value] : *one) {
            names.insert(name);
        }
    }
    const auto value_in = [](const properties& all, const std::string& name) {
        const auto found = all.find(name);
        return found == all.end() || found->second.empty() ? std::string("none") : found->second;
    };
    for (const std::string& name : names) {
        const std::string old_value = value_in(before, name);
        const std::string new_value = value_in(after, name);
        if (old_value != new_value) {
            to.push_back({finding_severity::difference, place,
                          name + " changed from " + old_value + " to " + new_value});
        }
    }
}

//! Keys are counted, never shown.
void compare_keys(const checked_config& in_force, const checked_config& next,
                  std::vector<config_finding>& to) {
    const auto before = keys_of(in_force);
    for (const auto& [name, keys] : keys_of(next)) {
        const auto found = before.find(name);
        if (found == before.end()) {
            continue;
        }
        const std::size_t added = count_missing(keys, found->second);
        const std::size_t removed = count_missing(found->second, keys);
        if (added + removed > 0) {
            to.push_back(
                {finding_severity::difference, "workspace " + name,
                 "keys added: " + std::to_string(added) + ", removed: " + std::to_string(removed)});
        }
    }
}

}  // namespace

std::vector<config_finding> compare_configs(const checked_config& in_force,
                                            const checked_config& next) {
    std::vector<config_finding> found;
    if (next.config.version <= in_force.config.version) {
        found.push_back({finding_severity::error, "version",
                         std::to_string(next.config.version) + " isn't above the one in force, " +
                             std::to_string(in_force.config.version)});
    }
    const entries before = entries_of(in_force);
    const entries after = entries_of(next);
    for (const auto& [place, old_properties] : before) {
        if (!after.contains(place)) {
            found.push_back({finding_severity::difference, place, "removed"});
        }
    }
    for (const auto& [place, new_properties] : after) {
        const auto old_entry = before.find(place);
        if (old_entry == before.end()) {
            found.push_back({finding_severity::difference, place, "added"});
        } else {
            compare_properties(place, old_entry->second, new_properties, found);
        }
    }
    compare_keys(in_force, next, found);
    return found;
}

}  // namespace cyclamenmount
