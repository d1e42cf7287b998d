#include "settings/settings.h"

#include "ini/ini.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>

namespace cyclamenmount {

namespace {

constexpr int max_concurrency = 4096;
constexpr int max_capacity = 100'000;
constexpr int max_deadline_ms = 600'000;
constexpr int min_deadline_ms = 100;
constexpr int min_duration_ms = 10;
constexpr int max_duration_ms = 600'000;
constexpr std::size_t max_stages = 16;

//! Settings and findings collected while the entries of a file are parsed.
struct parse_state {
    ini_check check;
    daemon_settings settings;
    //! `stages` entry of each pipeline, for findings.
    std::map<std::string, ini_entry> stage_lists;
    std::set<std::string> seen;  //!< section and name of all entries so far
};

using entry_reader = std::function<void(parse_state&, const ini_entry&)>;
using entry_readers = std::map<std::string, entry_reader, std::less<>>;

//! Returns the value; reports it unless it is IP:PORT.
std::string read_endpoint(parse_state& state, const ini_entry& entry) {
    if (parse_endpoint(entry.value).has_error()) {
        state.check.report(entry, entry.name + " must be IP:PORT");
    }
    return entry.value;
}

//! Reads a duration in milliseconds; reports a value out of bounds and returns `fallback`.
milliseconds read_duration(parse_state& state, const ini_entry& entry, milliseconds fallback) {
    return milliseconds(parse_integer(state.check, entry, min_duration_ms, max_duration_ms,
                                      static_cast<int>(fallback.count())));
}

//! Returns a reader for a member of `timing_settings`.
entry_reader timing_reader(milliseconds timing_settings::*field) {
    return [field](parse_state& state, const ini_entry& entry) {
        auto& target = state.settings.timing.*field;
        target = read_duration(state, entry, target);
    };
}

//! Returns a reader for a non-empty text value.
entry_reader text_reader(std::string daemon_settings::*field) {
    return [field](parse_state& state, const ini_entry& entry) {
        if (entry.value.empty()) {
            state.check.report(entry, entry.name + " is empty");
        }
        state.settings.*field = entry.value;
    };
}

//! Returns a reader for an IP:PORT value.
entry_reader endpoint_reader(std::string daemon_settings::*field) {
    return [field](parse_state& state, const ini_entry& entry) {
        state.settings.*field = read_endpoint(state, entry);
    };
}

const entry_readers& instance_readers() {
    static const entry_readers readers = {
        {"zone",
         [](parse_state& state, const ini_entry& entry) {
             check_name(state.check, entry, entry.value);
             state.settings.zone = zone_name{entry.value};
         }},
        {"cell",
         [](parse_state& state, const ini_entry& entry) {
             check_name(state.check, entry, entry.value);
             state.settings.cell = entry.value;
         }},
        {"peer_listen", endpoint_reader(&daemon_settings::peer_listen)},
        {"caller_listen", endpoint_reader(&daemon_settings::caller_listen)},
        {"operator_listen", endpoint_reader(&daemon_settings::operator_listen)},
        {"peer_secret_file", text_reader(&daemon_settings::peer_secret_file)},
        {"operator_secret_file", text_reader(&daemon_settings::operator_secret_file)},
        {"concurrency",
         [](parse_state& state, const ini_entry& entry) {
             auto& target = state.settings.concurrency;
             target = parse_integer(state.check, entry, 1, max_concurrency, target);
         }},
        {"stop_notice_ms",
         [](parse_state& state, const ini_entry& entry) {
             auto& target = state.settings.stop_notice;
             target = read_duration(state, entry, target);
         }},
        {"drain_limit_ms",
         [](parse_state& state, const ini_entry& entry) {
             auto& target = state.settings.drain_limit;
             target = read_duration(state, entry, target);
         }},
    };
    return readers;
}

const entry_readers& platform_readers() {
    static const entry_readers readers = {
        {"object_api", endpoint_reader(&daemon_settings::object_api)},
    };
    return readers;
}

const entry_readers& timing_readers() {
    static const entry_readers readers = {
        {"heartbeat_ms", timing_reader(&timing_settings::heartbeat)},
        {"fence_ms", timing_reader(&timing_settings::owner_lease)},
        {"fence_margin_ms", timing_reader(&timing_settings::lease_margin)},
        {"suspect_after_ms", timing_reader(&timing_settings::suspect_after)},
        {"start_window_ms", timing_reader(&timing_settings::start_window)},
        {"vouch_ms", timing_reader(&timing_settings::max_staleness)},
        {"share_period_ms", timing_reader(&timing_settings::share_period)},
        {"share_lapse_ms", timing_reader(&timing_settings::share_lifetime)},
        {"longest_attempt_ms", timing_reader(&timing_settings::longest_attempt)},
        {"watch_timeout_ms", timing_reader(&timing_settings::watch_timeout)},
        {"store_timeout_ms", timing_reader(&timing_settings::store_timeout)},
        {"poll_period_ms", timing_reader(&timing_settings::poll_period)},
        {"list_period_ms", timing_reader(&timing_settings::list_period)},
    };
    return readers;
}

void read_pool_entry(parse_state& state, const ini_entry& entry, pool_settings& pool) {
    if (entry.name == "kind") {
        static const std::map<std::string, pool_kind> kinds = {
            {"engine", pool_kind::engine},
            {"stage", pool_kind::stage},
            {"service", pool_kind::service},
        };
        const auto kind = kinds.find(entry.value);
        if (kind == kinds.end()) {
            state.check.report(entry, "kind must be engine, stage or service");
            return;
        }
        pool.kind = kind->second;
    } else if (entry.name == "capacity") {
        pool.capacity = parse_integer(state.check, entry, 1, max_capacity, pool.capacity);
    } else if (entry.name == "cold_capacity") {
        pool.cold_capacity = parse_integer(state.check, entry, 1, max_capacity, pool.cold_capacity);
    } else if (entry.name == "checks_fence") {
        pool.checks_fence = parse_yes_no(state.check, entry);
    } else if (entry.name == "idempotent") {
        for (auto& operation : split_commas(entry.value)) {
            if (check_name(state.check, entry, operation)) {
                pool.idempotent.insert(std::move(operation));
            }
        }
    } else {
        state.check.report(entry, "unknown name '" + entry.name + "' in a pool");
    }
}

void read_stages(parse_state& state, const ini_entry& entry, pipeline_settings& pipeline) {
    std::set<std::string> names;
    for (const auto& part : split_commas(entry.value)) {
        const auto colon = part.find(':');
        if (colon == std::string::npos) {
            state.check.report(entry, "'" + part + "' isn't STAGE:POOL");
            continue;
        }
        stage_settings stage{stage_name{part.substr(0, colon)}, pool_name{part.substr(colon + 1)}};
        check_name(state.check, entry, stage.name.value);
        if (!names.insert(stage.name.value).second) {
            state.check.report(entry, "stage '" + stage.name.value + "' is there twice");
        }
        pipeline.stages.push_back(std::move(stage));
    }
    if (pipeline.stages.empty() || pipeline.stages.size() > max_stages) {
        state.check.report(entry, "a pipeline has 1 to 16 stages");
    }
    state.stage_lists.emplace(pipeline.name.value, entry);
}

void read_pipeline_entry(parse_state& state, const ini_entry& entry, pipeline_settings& pipeline) {
    if (entry.name == "stages") {
        read_stages(state, entry, pipeline);
    } else if (entry.name == "deadline_ms") {
        pipeline.deadline =
            milliseconds(parse_integer(state.check, entry, min_deadline_ms, max_deadline_ms,
                                       static_cast<int>(pipeline.deadline.count())));
    } else {
        state.check.report(entry, "unknown name '" + entry.name + "' in a pipeline");
    }
}

//! Reads an entry of [instance], [platform] or [timing]; false if it is in another section.
bool read_fixed_section(parse_state& state, const ini_entry& entry) {
    const entry_readers* readers = nullptr;
    if (entry.section == "instance") {
        readers = &instance_readers();
    } else if (entry.section == "platform") {
        readers = &platform_readers();
    } else if (entry.section == "timing") {
        readers = &timing_readers();
    } else {
        return false;
    }
    const auto reader = readers->find(entry.name);
    if (reader == readers->end()) {
        state.check.report(entry, "unknown name '" + entry.name + "' in [" + entry.section + "]");
    } else {
        reader->second(state, entry);
    }
    return true;
}

void read_entry(parse_state& state, const ini_entry& entry) {
    if (!state.seen.insert(entry.section + '\n' + entry.name).second) {
        state.check.report(entry, "'" + entry.name + "' is given twice");
        return;
    }
    if (read_fixed_section(state, entry)) {
        return;
    }
    if (const auto pool_section = section_name(entry, "pool")) {
        auto& pool = state.settings.pools.pools[pool_name{*pool_section}];
        pool.name = pool_name{*pool_section};
        read_pool_entry(state, entry, pool);
        return;
    }
    if (const auto pipeline_section = section_name(entry, "pipeline")) {
        auto& pipeline = state.settings.pools.pipelines[pipeline_name{*pipeline_section}];
        pipeline.name = pipeline_name{*pipeline_section};
        read_pipeline_entry(state, entry, pipeline);
        return;
    }
    state.check.report(entry, "unknown section [" + entry.section + "]");
}

void require(parse_state& state, const std::string& value, const char* section, const char* name) {
    if (value.empty()) {
        state.check.report({}, std::string("[") + section + "] " + name + " is missing");
    }
}

//! Reports missing values and contradictions between entries.
void check_consistency(parse_state& state) {
    const auto& settings = state.settings;
    require(state, settings.zone.value, "instance", "zone");
    require(state, settings.peer_listen, "instance", "peer_listen");
    require(state, settings.caller_listen, "instance", "caller_listen");
    require(state, settings.operator_listen, "instance", "operator_listen");
    require(state, settings.peer_secret_file, "instance", "peer_secret_file");
    require(state, settings.operator_secret_file, "instance", "operator_secret_file");
    require(state, settings.object_api, "platform", "object_api");
    for (const auto& [name, pipeline] : settings.pools.pipelines) {
        const auto entry = state.stage_lists.find(name.value);
        if (entry == state.stage_lists.end()) {
            state.check.report({}, "pipeline '" + name.value + "' has no stages");
            continue;
        }
        for (const auto& stage : pipeline.stages) {
            const auto pool = settings.pools.pools.find(stage.pool);
            if (pool == settings.pools.pools.end() || pool->second.kind == pool_kind::service) {
                state.check.report(entry->second, "stage '" + stage.name.value +
                                                      "' names the unknown pool '" +
                                                      stage.pool.value + "'");
            }
        }
    }
    for (const auto& [name, pool] : settings.pools.pools) {
        if (pool.cold_capacity > pool.capacity) {
            state.check.report({}, "pool '" + name.value + "': cold_capacity is over capacity");
        }
    }
    if (settings.timing.owner_lease >= settings.timing.suspect_after) {
        state.check.report({}, "fence_ms must be under suspect_after_ms");
    }
}

}  // namespace

checked<daemon_settings> parse_settings(std::string_view text, std::string_view file) {
    const auto entries = read_ini(text, file);
    if (entries.has_error()) {
        return entries.error();
    }
    parse_state state;
    state.check.file = std::string(file);
    for (const auto& entry : entries.value()) {
        read_entry(state, entry);
    }
    check_consistency(state);
    if (!state.check.found.empty()) {
        return state.check.found;
    }
    return std::move(state.settings);
}

}  // namespace cyclamenmount
