#include "config_check/config_check.h"

#include "serving/serving_config.h"
#include "types/numeric.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace cyclamenmount {

namespace {

//! Collects the findings of one configuration.
struct findings_collector {
    std::vector<config_finding> found;

    void add_error(std::string place, std::string text) {
        found.push_back({finding_severity::error, std::move(place), std::move(text)});
    }

    void add_warning(std::string place, std::string text) {
        found.push_back({finding_severity::warning, std::move(place), std::move(text)});
    }
};

std::string place_of(const route& one) {
    return "route " + one.host + one.path_prefix;
}

std::string place_of(const pool_name& pool) {
    return "pool " + pool.value;
}

std::string text_of(milliseconds time) {
    return std::to_string(time.count()) + " ms";
}

const pool_limits* find_pool(const serving_config& config, const pool_name& name) {
    const auto found = config.pools.find(name);
    return found == config.pools.end() ? nullptr : &found->second;
}

//! Shortest time of one call of the pool, with one piece.
double shortest_call_ms(const serving_config& config, const pool_name& name) {
    const pool_limits* const pool = find_pool(config, name);
    return pool == nullptr || !pool->stage ? 0 : pool->stage->call_ms + pool->stage->piece_ms;
}

//! Shortest time until all stages have completed; none if a stage depends on a stage that doesn't
//! exist, or on itself, directly or through others.
std::optional<double> shortest_stages_ms(const serving_config& config, const route& one) {
    const std::size_t count = one.stages.size();
    std::vector<std::optional<double>> ends(count);
    // Each round completes at least one stage, unless the rest depend on each other.
    for (std::size_t round = 0; round < count; ++round) {
        for (std::size_t i = 0; i < count; ++i) {
            double start = 0;
            const bool is_startable = std::ranges::all_of(one.stages[i].after, [&](std::size_t at) {
                if (at >= count || !ends[at]) {
                    return false;
                }
                start = std::max(start, *ends[at]);
                return true;
            });
            if (is_startable && !ends[i]) {
                ends[i] = start + shortest_call_ms(config, one.stages[i].pool);
            }
        }
    }
    double last = 0;
    for (const auto& end : ends) {
        if (!end) {
            return std::nullopt;
        }
        last = std::max(last, *end);
    }
    return last;
}

void check_match(const serving_config& config, std::size_t index, findings_collector& to) {
    const route& one = config.routes[index];
    if (!one.path_prefix.starts_with('/') || !one.path_prefix.ends_with('/')) {
        to.add_error(place_of(one), "the path prefix has to begin and end with a slash");
    }
    const auto end = config.routes.begin() + static_cast<std::ptrdiff_t>(index);
    const bool is_shadowed = std::any_of(config.routes.begin(), end, [&](const route& earlier) {
        return earlier.host == one.host && earlier.path_prefix == one.path_prefix;
    });
    if (is_shadowed) {
        to.add_warning(place_of(one), "never matches: an earlier route has its host and path");
    }
}

void check_route_pools(const serving_config& config, const route& one, findings_collector& to) {
    for (const weighted_pool& entry : one.pools) {
        if (find_pool(config, entry.pool) == nullptr) {
            to.add_error(place_of(one),
                         "leads to the pool " + entry.pool.value + ", which isn't listed");
        }
        if (entry.weight <= 0 && one.pools.size() > 1) {
            to.add_warning(place_of(one), "the pool " + entry.pool.value +
                                              " gets no requests: its weight is " +
                                              std::to_string(entry.weight));
        }
    }
    for (const route_stage& stage : one.stages) {
        const pool_limits* const pool = find_pool(config, stage.pool);
        if (pool == nullptr) {
            to.add_error(place_of(one),
                         "has a stage at the pool " + stage.pool.value + ", which isn't listed");
        } else if (!pool->stage) {
            to.add_error(place_of(one), "has a stage at the pool " + stage.pool.value +
                                            ", which has no limits of a stage");
        }
    }
}

void check_route_limits(const serving_config& config, const route& one, findings_collector& to) {
    if (one.timeout <= 0ms) {
        to.add_error(place_of(one), "the timeout isn't positive");
    } else if (one.objective > one.timeout) {
        to.add_warning(place_of(one), "the objective (" + text_of(one.objective) +
                                          ") is above the timeout (" + text_of(one.timeout) + ")");
    }
    const auto stages_ms = shortest_stages_ms(config, one);
    if (!stages_ms) {
        to.add_error(place_of(one), "a stage depends on itself or on one that doesn't exist");
    } else if (one.timeout > 0ms && *stages_ms > static_cast<double>(one.timeout.count())) {
        to.add_error(place_of(one), "the timeout (" + text_of(one.timeout) +
                                        ") is shorter than the shortest time of the stages (" +
                                        text_of(to_milliseconds(*stages_ms)) + ")");
    }
    if (one.max_attempts > 1 && !is_repeatable(one)) {
        to.add_warning(place_of(one), "max_attempts is " + std::to_string(one.max_attempts) +
                                          ", but its requests run at most once");
    }
    if (one.is_resumable && one.kind != request_kind::stream) {
        to.add_warning(place_of(one), "only streams can be resumed");
    }
}

//! Largest result of a piece that the routes expect of the pool, in bytes.
std::uint64_t largest_result(const serving_config& config, const pool_name& pool) {
    std::uint64_t largest = 0;
    for (const route& one : config.routes) {
        for (const route_stage& stage : one.stages) {
            largest = std::max(largest, stage.pool == pool ? stage.result_bytes : 0);
        }
    }
    return largest;
}

void check_stage_pool(const serving_config& config, const pool_limits& pool,
                      findings_collector& to) {
    const stage_limits& stage = *pool.stage;
    constexpr double bytes_per_mb = 1e6;
    const double batch_mb =
        static_cast<double>(largest_result(config, pool.name)) * stage.batch / bytes_per_mb;
    if (batch_mb > stage.result_mb) {
        to.add_warning(place_of(pool.name),
                       "the results of a whole batch (" +
                           std::to_string(round_to<std::int64_t>(std::ceil(batch_mb))) +
                           " MB) exceed the memory for results");
    }
    const double batch_ms = stage.call_ms + stage.piece_ms * stage.batch;
    if (batch_ms > static_cast<double>(stage.result_lifetime.count())) {
        to.add_warning(place_of(pool.name), "results expire (after " +
                                                text_of(stage.result_lifetime) +
                                                ") within the time of a whole batch");
    }
}

void check_pools(const checked_config& checked, findings_collector& to) {
    const serving_config& config = checked.config;
    std::set<pool_name> used;
    std::set<pool_name> used_by_stages;
    for (const route& one : config.routes) {
        for (const weighted_pool& entry : one.pools) {
            used.insert(entry.pool);
        }
        for (const route_stage& stage : one.stages) {
            used_by_stages.insert(stage.pool);
        }
    }
    std::set<pool_name> listed;
    for (const pool_name& name : checked.listed_pools) {
        if (!listed.insert(name).second) {
            to.add_error(place_of(name), "is listed more than once");
        }
    }
    for (const auto& [name, pool] : config.pools) {
        if (!used.contains(name) && !used_by_stages.contains(name)) {
            to.add_warning(place_of(name), "no route and no stage uses it");
        }
        if (pool.stage) {
            check_stage_pool(config, pool, to);
        }
    }
}

void check_workspaces(const checked_config& checked, findings_collector& to) {
    std::map<std::string, std::string> holders;
    std::set<std::string> names;
    for (const listed_workspace& one : checked.workspaces) {
        const std::string& name = one.workspace.name.value;
        const std::string place = "workspace " + name;
        if (!names.insert(name).second) {
            to.add_error(place, "is listed more than once");
        }
        if (one.keys.empty()) {
            to.add_warning(place, "has no keys, so that no request can belong to it");
        }
        for (std::size_t i = 0; i < one.keys.size(); ++i) {
            const auto [holder, is_new] = holders.emplace(one.keys[i], name);
            if (!is_new && holder->second != name) {
                to.add_error(place, "its key " + std::to_string(i) +
                                        " is also a key of the workspace " + holder->second);
            } else if (!is_new) {
                to.add_warning(place, "its key " + std::to_string(i) + " is listed twice");
            }
        }
    }
}

void check_caller_limits(const caller_limits& limits, findings_collector& to) {
    if (limits.header_bytes == 0 || limits.header_timeout <= 0ms || limits.idle_timeout <= 0ms) {
        to.add_error("limits", "a limit on headers or idle connections isn't positive");
    }
}

}  // namespace

std::vector<config_finding> check_config(const checked_config& checked) {
    findings_collector to;
    for (const std::string& part : checked.config.unreadable) {
        to.add_error(part, "can't be read");
    }
    for (std::size_t i = 0; i < checked.config.routes.size(); ++i) {
        const route& one = checked.config.routes[i];
        check_match(checked.config, i, to);
        if (!one.is_usable) {
            continue;  // reported as unreadable; its other fields have no values
        }
        check_route_pools(checked.config, one, to);
        check_route_limits(checked.config, one, to);
    }
    check_pools(checked, to);
    check_workspaces(checked, to);
    check_caller_limits(checked.config.limits, to);
    return std::move(to.found);
}

bool has_errors(std::span<const config_finding> findings) {
    return std::ranges::any_of(findings, [](const config_finding& one) {
        return one.severity == finding_severity::error;
    });
}

}  // namespace cyclamenmount
