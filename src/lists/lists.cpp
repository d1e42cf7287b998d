#include "lists/lists.h"

#include "ini/ini.h"

#include <algorithm>
#include <map>

namespace cyclamenmount {

namespace {

constexpr double max_rate = 1'000'000;
constexpr int max_concurrent = 1'000'000;
constexpr double max_tokens_per_minute = 1'000'000'000;
constexpr int lowest_priority = 9;
constexpr std::size_t sha256_hex_digits = 64;

bool is_sha256(std::string_view value) {
    const auto is_hex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return value.size() == sha256_hex_digits && std::ranges::all_of(value, is_hex);
}

void read_workspace_entry(ini_check& check, const ini_entry& entry, workspace_entry& target) {
    if (entry.name == "plan") {
        check_name(check, entry, entry.value);
        target.plan = plan_name{entry.value};
        return;
    }
    if (entry.name == "key_sha256") {
        if (!is_sha256(entry.value)) {
            check.report(entry, "key_sha256 must be 64 lower case hex digits");
        }
        target.key_sha256 = entry.value;
        return;
    }
    check.report(entry, "unknown name '" + entry.name + "' in a workspace");
}

//! Parses a comma separated list of names; reports invalid names and leaves them out.
template <typename Name>
std::set<Name> parse_name_set(ini_check& check, const ini_entry& entry) {
    std::set<Name> names;
    for (auto& part : split_commas(entry.value)) {
        if (check_name(check, entry, part)) {
            names.insert(Name{std::move(part)});
        }
    }
    return names;
}

void read_allowance_entry(ini_check& check, const ini_entry& entry, allowance& target) {
    if (entry.name == "pipelines") {
        target.pipelines = parse_name_set<pipeline_name>(check, entry);
    } else if (entry.name == "services") {
        target.services = parse_name_set<pool_name>(check, entry);
    } else if (entry.name == "requests_per_second") {
        target.requests_per_second = parse_decimal(check, entry, 0, max_rate, 0);
    } else if (entry.name == "concurrent") {
        target.concurrent = parse_integer(check, entry, 0, max_concurrent, 0);
    } else if (entry.name == "tokens_per_minute") {
        target.tokens_per_minute = parse_decimal(check, entry, 0, max_tokens_per_minute, 0);
    } else if (entry.name == "priority") {
        target.priority = parse_integer(check, entry, 0, lowest_priority, 1);
    } else {
        check.report(entry, "unknown name '" + entry.name + "' in a plan");
    }
}

//! First entry and entry names of a section, for findings about the section and repeated names.
struct seen_section {
    ini_entry first;
    std::set<std::string> names;
};

//! Records the entry's name; reports a name that its section already has.
void record_name(ini_check& check, seen_section& seen, const ini_entry& entry) {
    if (seen.names.empty()) {
        seen.first = entry;
    }
    if (!seen.names.insert(entry.name).second) {
        check.report(entry, "'" + entry.name + "' is given twice");
    }
}

//! Reports workspaces without plan or key, and keys used twice.
void check_workspaces(ini_check& check, const plan_list& list,
                      const std::map<std::string, seen_section>& seen) {
    std::map<std::string, std::string> workspace_of_key;
    for (const auto& workspace : list.workspaces) {
        const auto& place = seen.at(workspace.name.value).first;
        if (workspace.plan.empty()) {
            check.report(place, "workspace '" + workspace.name.value + "' has no plan");
        }
        if (workspace.key_sha256.empty()) {
            check.report(place, "workspace '" + workspace.name.value + "' has no key_sha256");
            continue;
        }
        const auto [at, added] =
            workspace_of_key.emplace(workspace.key_sha256, workspace.name.value);
        if (!added) {
            check.report(place, "workspaces '" + at->second + "' and '" + workspace.name.value +
                                    "' have the same key");
        }
    }
}

}  // namespace

checked<plan_list> parse_plans(std::string_view text, std::string_view file) {
    const auto entries = read_ini(text, file);
    if (entries.has_error()) {
        return entries.error();
    }
    ini_check check{std::string(file), {}};
    plan_list list;
    std::map<std::string, std::size_t> position;
    std::map<std::string, seen_section> seen;
    for (const auto& entry : entries.value()) {
        const auto name = section_name(entry, "workspace");
        if (!name.has_value()) {
            check.report(entry, "expected a section [workspace NAME]");
            continue;
        }
        const auto [at, added] = position.emplace(*name, list.workspaces.size());
        if (added) {
            check_name(check, entry, *name);
            list.workspaces.push_back({workspace_name{*name}, {}, {}});
        }
        record_name(check, seen[*name], entry);
        read_workspace_entry(check, entry, list.workspaces[at->second]);
    }
    check_workspaces(check, list, seen);
    if (!check.found.empty()) {
        return check.found;
    }
    return list;
}

checked<allowance_list> parse_allowances(std::string_view text, std::string_view file) {
    const auto entries = read_ini(text, file);
    if (entries.has_error()) {
        return entries.error();
    }
    ini_check check{std::string(file), {}};
    allowance_list list;
    std::map<std::string, seen_section> seen;
    for (const auto& entry : entries.value()) {
        const auto name = section_name(entry, "plan");
        if (!name.has_value()) {
            check.report(entry, "expected a section [plan NAME]");
            continue;
        }
        record_name(check, seen[*name], entry);
        auto& plan = list.plans[plan_name{*name}];
        if (plan.plan.empty()) {
            check_name(check, entry, *name);
            plan.plan = plan_name{*name};
        }
        read_allowance_entry(check, entry, plan);
    }
    if (!check.found.empty()) {
        return check.found;
    }
    return list;
}

findings cross_check(const plan_list& plans, const allowance_list& allowances,
                     const topology& known, std::string_view file) {
    findings found;
    const auto report = [&](std::string message) {
        found.push_back({std::string(file), 0, std::move(message)});
    };
    for (const auto& workspace : plans.workspaces) {
        if (!allowances.plans.contains(workspace.plan)) {
            report("workspace '" + workspace.name.value + "' has plan '" + workspace.plan.value +
                   "', which has no allowance");
        }
    }
    for (const auto& [name, plan] : allowances.plans) {
        for (const auto& pipeline : plan.pipelines) {
            if (!known.pipelines.contains(pipeline)) {
                report("plan '" + name.value + "' allows the unknown pipeline '" + pipeline.value +
                       "'");
            }
        }
        for (const auto& service : plan.services) {
            const auto pool = known.pools.find(service);
            if (pool == known.pools.end() || pool->second.kind != pool_kind::service) {
                report("plan '" + name.value + "' allows the unknown service '" + service.value +
                       "'");
            }
        }
    }
    return found;
}

}  // namespace cyclamenmount
