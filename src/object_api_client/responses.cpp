#include "object_api_client/internal/responses.h"

#include "codec/percent_encoding.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

namespace {

using nlohmann::json;

//! Object version in the ETag header; none if absent or malformed.
std::optional<object_version> version_in(const http_response& response) {
    const auto found = response.headers.find("etag");
    if (found == response.headers.end()) {
        return std::nullopt;
    }
    std::string_view text = found->second;
    if (text.size() < 3 || text.front() != '"' || text.back() != '"') {
        return std::nullopt;
    }
    text = text.substr(1, text.size() - 2);
    object_version version = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), version);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return version;
}

//! Store status for an HTTP status other than success.
store_status status_of(int http_status) {
    switch (http_status) {
    case 404:
        return store_status::missing;
    case 412:
        return store_status::conflict;
    case 413:
    case 429:
        return store_status::refused;
    default:
        return store_status::unknown;
    }
}

store_status failed_status(const http_result& response) {
    return response ? status_of(response.value().status) : store_status::unknown;
}

stored_object object_from(const json& value) {
    stored_object object;
    object.key = value.at("key").get<std::string>();
    object.version = value.at("version").get<object_version>();
    object.deleted = value.value("deleted", false);
    object.value = object.deleted ? "" : value.at("value").get<std::string>();
    return object;
}

listed_instance instance_from(const json& value) {
    listed_instance instance;
    instance.id = value.at("id").get<std::string>();
    instance.address = value.at("address").get<std::string>();
    instance.zone = {value.at("zone").get<std::string>()};
    instance.role = value.at("role").get<std::string>();
    instance.leaving = value.at("state").get<std::string>() == "leaving";
    return instance;
}

}  // namespace

store_replied interpret_read(const store_ticket& number, const std::string& key,
                             const http_result& response) {
    store_replied replied{number, failed_status(response), {}};
    if (!response || response.value().status != 200) {
        return replied;
    }
    const std::optional<object_version> version = version_in(response.value());
    if (version.has_value()) {
        replied.status = store_status::ok;
        replied.object = {key, *version, response.value().body, false};
    }
    return replied;
}

store_replied interpret_write(const store_ticket& number, const std::string& key,
                              const http_result& response) {
    store_replied replied{number, failed_status(response), {}};
    if (!response) {
        const bool nothing_sent = response.error().kind == error_kind::unreachable;
        replied.status = nothing_sent ? store_status::refused : store_status::unknown;
        return replied;
    }
    const std::optional<object_version> version = version_in(response.value());
    if (response.value().status == 200 && version.has_value()) {
        replied.status = store_status::ok;
        replied.object = {key, *version, "", false};
    } else if (replied.status == store_status::conflict) {
        replied.object = {key, version.value_or(0), "", false};
    }
    return replied;
}

watch_ended interpret_watch(const std::string& prefix, object_version after,
                            const http_result& response) {
    watch_ended ended{prefix, failed_status(response), after, {}};
    if (!response) {
        return ended;
    }
    if (response.value().status == 304) {
        ended.status = store_status::ok;
        return ended;
    }
    if (response.value().status != 200) {
        return ended;
    }
    try {
        const json body = json::parse(response.value().body);
        std::vector<stored_object> objects;
        for (const json& object : body.at("objects")) {
            objects.push_back(object_from(object));
        }
        ended.revision = body.at("revision").get<object_version>();
        ended.objects = std::move(objects);
        ended.status = store_status::ok;
    } catch (const json::exception&) {
        ended.status = store_status::unknown;
    }
    return ended;
}

instances_listed interpret_instance_list(const http_result& response) {
    instances_listed listed{failed_status(response), {}};
    if (!response || response.value().status != 200) {
        return listed;
    }
    try {
        const json body = json::parse(response.value().body);
        std::vector<listed_instance> instances;
        for (const json& instance : body.at("instances")) {
            instances.push_back(instance_from(instance));
        }
        listed = {store_status::ok, std::move(instances)};
    } catch (const json::exception&) {
        listed.status = store_status::unknown;
    }
    return listed;
}

std::string encode_path(std::string_view text) {
    return percent_encode(text, "/");
}

}  // namespace cyclamenmount::detail
