#include "codec/internal/field_names.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace cyclamenmount::detail {

namespace {

//! The index of a name determines its one-byte wire form: append new names at the end, and never
//! remove or reorder any.
constexpr std::array<std::string_view, 92> field_names = {"kind",
                                                          "from",
                                                          "sequence",
                                                          "versions",
                                                          "leaving",
                                                          "value",
                                                          "version",
                                                          "name",
                                                          "have",
                                                          "orders",
                                                          "upstream",
                                                          "incarnation",
                                                          "sign",
                                                          "generation",
                                                          "reports",
                                                          "attempt",
                                                          "lasts_at_most",
                                                          "waits_at_most",
                                                          "granted",
                                                          "restartable",
                                                          "attempts",
                                                          "workspace",
                                                          "requests_per_second",
                                                          "concurrent",
                                                          "running",
                                                          "tokens_per_minute",
                                                          "demands",
                                                          "applied",
                                                          "shares",
                                                          "number",
                                                          "key",
                                                          "body",
                                                          "pool",
                                                          "operation",
                                                          "known",
                                                          "status",
                                                          "verdict",
                                                          "permit",
                                                          "outcome",
                                                          "request",
                                                          "stage",
                                                          "output",
                                                          "runner",
                                                          "finished_stages",
                                                          "died",
                                                          "cleared",
                                                          "suspects",
                                                          "quarantined",
                                                          "id",
                                                          "address",
                                                          "zone",
                                                          "settled",
                                                          "members",
                                                          "proposal",
                                                          "role",
                                                          "condition",
                                                          "in_flight",
                                                          "capacity",
                                                          "who",
                                                          "reason",
                                                          "what",
                                                          "at_ms",
                                                          "base",
                                                          "text",
                                                          "changes",
                                                          "plans",
                                                          "allowances",
                                                          "availability",
                                                          "emergency_digest",
                                                          "quarantine_digest",
                                                          "pieces",
                                                          "inputs",
                                                          "result_bytes",
                                                          "aim_in",
                                                          "needed_in",
                                                          "priority",
                                                          "depth",
                                                          "results",
                                                          "retry_after",
                                                          "bytes_to_zone",
                                                          "pool_wait",
                                                          "millicores",
                                                          "age",
                                                          "topics",
                                                          "call_waits",
                                                          "memory_waits",
                                                          "drained_in",
                                                          "limited",
                                                          "crash_key",
                                                          "streams",
                                                          "beyond_share",
                                                          "workspaces"};

constexpr char first_short_name = '!';
constexpr char last_printable = '~';

static_assert(first_short_name + field_names.size() <= last_printable);

std::string short_name(std::string_view full) {
    const auto found = std::ranges::find(field_names, full);
    if (found == field_names.end()) {
        return std::string(full);
    }
    return {static_cast<char>(first_short_name + (found - field_names.begin()))};
}

std::string full_name(std::string_view name) {
    const auto index = static_cast<std::size_t>(name.empty() ? 0 : name[0] - first_short_name);
    if (name.size() != 1 || index >= field_names.size()) {
        return std::string(name);
    }
    return std::string(field_names.at(index));
}

template <typename Rename>
nlohmann::json rename_fields(const nlohmann::json& value, Rename rename) {
    if (value.is_array()) {
        nlohmann::json out = nlohmann::json::array();
        for (const auto& element : value) {
            out.push_back(rename_fields(element, rename));
        }
        return out;
    }
    if (!value.is_object()) {
        return value;
    }
    nlohmann::json out = nlohmann::json::object();
    for (const auto& [name, field] : value.items()) {
        out[rename(name)] = rename_fields(field, rename);
    }
    return out;
}

}  // namespace

nlohmann::json with_short_names(const nlohmann::json& value) {
    return rename_fields(value, short_name);
}

nlohmann::json with_full_names(const nlohmann::json& value) {
    return rename_fields(value, full_name);
}

}  // namespace cyclamenmount::detail
