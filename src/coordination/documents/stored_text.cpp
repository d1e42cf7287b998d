#include "coordination/documents/internal/stored_text.h"

#include <algorithm>
#include <sstream>

#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

namespace {

using nlohmann::json;

json to_json(const change_record& change) {
    return {{"operation", change.operation}, {"who", change.who},     {"reason", change.reason},
            {"what", change.what},           {"at_ms", change.at_ms}, {"base", change.base}};
}

change_record change_from(const json& value) {
    change_record change;
    change.operation = value.at("operation").get<std::string>();
    change.who = value.value("who", "");
    change.reason = value.value("reason", "");
    change.what = value.value("what", "");
    change.at_ms = value.value("at_ms", std::int64_t{0});
    change.base = value.value("base", object_version{0});
    return change;
}

}  // namespace

std::string stored_value(const document& value) {
    json changes = json::array();
    for (const change_record& change : value.changes) {
        changes.push_back(to_json(change));
    }
    return json{{"text", value.text}, {"changes", std::move(changes)}}.dump();
}

std::optional<document> parse_stored(const stored_object& object) {
    document value{object.key, object.version, {}, {}};
    try {
        const json parsed = json::parse(object.value);
        value.text = parsed.at("text").get<std::string>();
        for (const json& change : parsed.at("changes")) {
            value.changes.push_back(change_from(change));
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return value;
}

std::string availability_text(const availability& value) {
    std::string text;
    for (const zone_name& zone : value.zones) {
        text += "zone " + zone.value + "\n";
    }
    for (const upstream_id& upstream : value.upstreams) {
        text += "upstream " + upstream.value + "\n";
    }
    return text;
}

availability parse_availability(std::string_view text) {
    availability value;
    std::istringstream lines{std::string(text)};
    std::string kind;
    std::string name;
    while (lines >> kind >> name) {
        if (kind == "zone") {
            value.zones.insert(zone_name{name});
        } else if (kind == "upstream") {
            value.upstreams.insert(upstream_id{name});
        }
    }
    return value;
}

void prepend_change(document& value, change_record change) {
    value.changes.insert(value.changes.begin(), std::move(change));
    if (value.changes.size() > max_stored_changes) {
        value.changes.resize(max_stored_changes);
    }
}

std::vector<change_record> changes_since(const document& value, object_version base) {
    std::vector<change_record> found;
    for (const change_record& change : value.changes) {
        if (change.base >= base) {
            found.push_back(change);
        }
    }
    return found;
}

object_version version_of_operation(const document& value, std::string_view operation) {
    const auto found = std::find_if(
        value.changes.begin(), value.changes.end(),
        [operation](const change_record& change) { return change.operation == operation; });
    if (found == value.changes.end()) {
        return 0;
    }
    for (auto newer = found; newer != value.changes.begin();) {
        --newer;
        if (newer->base > found->base) {
            return newer->base;
        }
    }
    return value.version;
}

}  // namespace cyclamenmount::detail
