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
constexpr int min_period_ms = 10;
constexpr int max_period_ms = 600'000;
constexpr std::size_t max_stages = 16;

//! Everything that one read of the file builds up.
struct reading {
    ini_check check;
    daemon_settings settings;
    std::map<std::string, ini_entry> stage_lists;  //!< `stages` entry by pipeline
    std::set<std::string> seen;                    //!< section and name
};

using entry_reader = std::function<void(reading&, const ini_entry&)>;
using entry_readers = std::map<std::string, entry_reader, std::less<>>;

std::string checked_endpoint(reading& into, const ini_entry& entry) {
    if (parse_endpoint(entry.value).has_error()) {
        into.check.report(entry, entry.name + " must be IP:PORT");
    }
    return entry.value;
}

milliseconds period(reading& into, const ini_entry& entry, milliseconds fallback) {
    return milliseconds(whole_number(into.check, entry, min_period_ms, max_period_ms,
                                     static_cast<int>(fallback.count())));
}

//! Reader of a period of `timing_settings`.
entry_reader timing_reader(milliseconds timing_settings::*field) {
    return [field](reading& into, const ini_entry& entry) {
        auto& target = into.settings.timing.*field;
        target = period(into, entry, target);
    };
}

//! Reader of a plain text value.
entry_reader text_reader(std::string daemon_settings::*field) {
    return [field](reading& into, const ini_entry& entry) {
        if (entry.value.empty()) {
            into.check.report(entry, entry.name + " is empty");
        }
        into.settings.*field = entry.value;
    };
}

//! Reader of an IP:PORT value.
entry_reader endpoint_reader(std::string daemon_settings::*field) {
    return [field](reading& into, const ini_entry& entry) {
        into.settings.*field = checked_endpoint(into, entry);
    };
}

const entry_readers& instance_readers() {
    static const entry_readers readers = {
        {"zone",
         [](reading& into, const ini_entry& entry) {
             plain_name(into.check, entry, entry.value);
             into.settings.zone = zone_name{entry.value};
         }},
        {"cell",
         [](reading& into, const ini_entry& entry) {
             plain_name(into.check, entry, entry.value);
             into.settings.cell = entry.value;
         }},
        {"peer_listen", endpoint_reader(&daemon_settings::peer_listen)},
        {"caller_listen", endpoint_reader(&daemon_settings::caller_listen)},
        {"operator_listen", endpoint_reader(&daemon_settings::operator_listen)},
        {"peer_secret_file", text_reader(&daemon_settings::peer_secret_file)},
        {"operator_secret_file", text_reader(&daemon_settings::operator_secret_file)},
        {"concurrency",
         [](reading& into, const ini_entry& entry) {
             auto& target = into.settings.concurrency;
             target = whole_number(into.check, entry, 1, max_concurrency, target);
         }},
        {"stop_notice_ms",
         [](reading& into, const ini_entry& entry) {
             auto& target = into.settings.stop_notice;
             target = period(into, entry, target);
         }},
        {"drain_limit_ms",
         [](reading& into, const ini_entry& entry) {
             auto& target = into.settings.drain_limit;
             target = period(into, entry, target);
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
        {"fence_ms", timing_reader(&timing_settings::fence)},
        {"fence_margin_ms", timing_reader(&timing_settings::fence_margin)},
        {"suspect_after_ms", timing_reader(&timing_settings::suspect_after)},
        {"start_window_ms", timing_reader(&timing_settings::start_window)},
        {"vouch_ms", timing_reader(&timing_settings::vouch)},
        {"share_period_ms", timing_reader(&timing_settings::share_period)},
        {"share_lapse_ms", timing_reader(&timing_settings::share_lapse)},
        {"longest_attempt_ms", timing_reader(&timing_settings::longest_attempt)},
        {"watch_timeout_ms", timing_reader(&timing_settings::watch_timeout)},
        {"store_timeout_ms", timing_reader(&timing_settings::store_timeout)},
        {"poll_period_ms", timing_reader(&timing_settings::poll_period)},
        {"list_period_ms", timing_reader(&timing_settings::list_period)},
    };
    return readers;
}

void read_pool_entry(reading& into, const ini_entry& entry, pool_settings& pool) {
    if (entry.name == "kind") {
        static const std::map<std::string, pool_kind> kinds = {
            {"engine", pool_kind::engine},
            {"stage", pool_kind::stage},
            {"service", pool_kind::service},
        };
        const auto kind = kinds.find(entry.value);
        if (kind == kinds.end()) {
            into.check.report(entry, "kind must be engine, stage or service");
            return;
        }
        pool.kind = kind->second;
    } else if (entry.name == "capacity") {
        pool.capacity = whole_number(into.check, entry, 1, max_capacity, pool.capacity);
    } else if (entry.name == "cold_capacity") {
        pool.cold_capacity = whole_number(into.check, entry, 1, max_capacity, pool.cold_capacity);
    } else if (entry.name == "checks_fence") {
        pool.checks_fence = yes_or_no(into.check, entry);
    } else if (entry.name == "idempotent") {
        for (auto& operation : comma_separated(entry.value)) {
            if (plain_name(into.check, entry, operation)) {
                pool.idempotent.insert(std::move(operation));
            }
        }
    } else {
        into.check.report(entry, "unknown name '" + entry.name + "' in a pool");
    }
}

void read_stages(reading& into, const ini_entry& entry, pipeline_settings& pipeline) {
    std::set<std::string> names;
    for (const auto& part : comma_separated(entry.value)) {
        const auto colon = part.find(':');
        if (colon == std::string::npos) {
            into.check.report(entry, "'" + part + "' isn't STAGE:POOL");
            continue;
        }
        stage_settings stage{stage_name{part.substr(0, colon)}, pool_name{part.substr(colon + 1)}};
        plain_name(into.check, entry, stage.name.value);
        if (!names.insert(stage.name.value).second) {
            into.check.report(entry, "stage '" + stage.name.value + "' is there twice");
        }
        pipeline.stages.push_back(std::move(stage));
    }
    if (pipeline.stages.empty() || pipeline.stages.size() > max_stages) {
        into.check.report(entry, "a pipeline has 1 to 16 stages");
    }
    into.stage_lists.emplace(pipeline.name.value, entry);
}

void read_pipeline_entry(reading& into, const ini_entry& entry, pipeline_settings& pipeline) {
    if (entry.name == "stages") {
        read_stages(into, entry, pipeline);
    } else if (entry.name == "deadline_ms") {
        pipeline.deadline =
            milliseconds(whole_number(into.check, entry, min_deadline_ms, max_deadline_ms,
                                      static_cast<int>(pipeline.deadline.count())));
    } else {
        into.check.report(entry, "unknown name '" + entry.name + "' in a pipeline");
    }
}

//! Reads an entry of a fixed section; false if it isn't in one.
bool read_fixed_section(reading& into, const ini_entry& entry) {
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
        into.check.report(entry, "unknown name '" + entry.name + "' in [" + entry.section + "]");
    } else {
        reader->second(into, entry);
    }
    return true;
}

void read_entry(reading& into, const ini_entry& entry) {
    if (!into.seen.insert(entry.section + '\n' + entry.name).second) {
        into.check.report(entry, "'" + entry.name + "' is given twice");
        return;
    }
    if (read_fixed_section(into, entry)) {
        return;
    }
    if (const auto pool_section = section_name(entry, "pool")) {
        auto& pool = into.settings.pools.pools[pool_name{*pool_section}];
        pool.name = pool_name{*pool_section};
        read_pool_entry(into, entry, pool);
        return;
    }
    if (const auto pipeline_section = section_name(entry, "pipeline")) {
        auto& pipeline = into.settings.pools.pipelines[pipeline_name{*pipeline_section}];
        pipeline.name = pipeline_name{*pipeline_section};
        read_pipeline_entry(into, entry, pipeline);
        return;
    }
    into.check.report(entry, "unknown section [" + entry.section + "]");
}

void require(reading& into, const std::string& value, const char* section, const char* name) {
    if (value.empty()) {
        into.check.report({}, std::string("[") + section + "] " + name + " is missing");
    }
}

void check_whole(reading& into) {
    const auto& settings = into.settings;
    require(into, settings.zone.value, "instance", "zone");
    require(into, settings.peer_listen, "instance", "peer_listen");
    require(into, settings.caller_listen, "instance", "caller_listen");
    require(into, settings.operator_listen, "instance", "operator_listen");
    require(into, settings.peer_secret_file, "instance", "peer_secret_file");
    require(into, settings.operator_secret_file, "instance", "operator_secret_file");
    require(into, settings.object_api, "platform", "object_api");
    for (const auto& [name, pipeline] : settings.pools.pipelines) {
        const auto entry = into.stage_lists.find(name.value);
        if (entry == into.stage_lists.end()) {
            into.check.report({}, "pipeline '" + name.value + "' has no stages");
            continue;
        }
        for (const auto& stage : pipeline.stages) {
            const auto pool = settings.pools.pools.find(stage.pool);
            if (pool == settings.pools.pools.end() || pool->second.kind == pool_kind::service) {
                into.check.report(entry->second, "stage '" + stage.name.value +
                                                     "' names the unknown pool '" +
                                                     stage.pool.value + "'");
            }
        }
    }
    for (const auto& [name, pool] : settings.pools.pools) {
        if (pool.cold_capacity > pool.capacity) {
            into.check.report({}, "pool '" + name.value + "': cold_capacity is over capacity");
        }
    }
    if (settings.timing.fence >= settings.timing.suspect_after) {
        into.check.report({}, "fence_ms must be under suspect_after_ms");
    }
}

}  // namespace

checked<daemon_settings> parse_settings(std::string_view text, std::string_view file) {
    const auto entries = read_ini(text, file);
    if (entries.has_error()) {
        return entries.error();
    }
    reading into;
    into.check.file = std::string(file);
    for (const auto& entry : entries.value()) {
        read_entry(into, entry);
    }
    check_whole(into);
    if (!into.check.found.empty()) {
        return into.check.found;
    }
    return std::move(into.settings);
}

}  // namespace cyclamenmount
