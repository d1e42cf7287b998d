#include "standins/object_api/object_store.h"

namespace cyclamenmount::standins {

namespace {

std::uint64_t current_version(const object_store& store, const std::string& key) {
    const object_record* found = find_object(store, key);
    return found == nullptr ? 0 : found->version;
}

nlohmann::json to_json(const std::string& key, const object_record& record) {
    nlohmann::json value{{"key", key}, {"version", record.version}};
    if (record.deleted) {
        value["deleted"] = true;
    } else {
        value["value"] = record.value;
    }
    return value;
}

}  // namespace

const object_record* find_object(const object_store& store, const std::string& key) {
    const auto found = store.objects.find(key);
    if (found == store.objects.end() || found->second.deleted) {
        return nullptr;
    }
    return &found->second;
}

write_outcome put_object(object_store& store, const std::string& key, std::string value,
                         std::uint64_t expected) {
    const std::uint64_t current = current_version(store, key);
    if (current != expected) {
        return {false, current};
    }
    ++store.revision;
    store.objects[key] = {store.revision, std::move(value), false};
    return {true, store.revision};
}

write_outcome delete_object(object_store& store, const std::string& key, std::uint64_t expected) {
    const std::uint64_t current = current_version(store, key);
    if (current != expected) {
        return {false, current};
    }
    ++store.revision;
    store.objects[key] = {store.revision, "", true};
    return {true, store.revision};
}

bool has_newer(const object_store& store, std::string_view prefix, std::uint64_t after) {
    for (auto it = store.objects.lower_bound(std::string(prefix));
         it != store.objects.end() && it->first.starts_with(prefix); ++it) {
        if (it->second.version > after) {
            return true;
        }
    }
    return false;
}

nlohmann::json list_objects(const object_store& store, std::string_view prefix) {
    nlohmann::json objects = nlohmann::json::array();
    for (const auto& [key, record] : store.objects) {
        if (key.starts_with(prefix) && !record.deleted) {
            objects.push_back(to_json(key, record));
        }
    }
    return {{"revision", store.revision}, {"objects", objects}};
}

nlohmann::json list_newer(const object_store& store, std::string_view prefix, std::uint64_t after) {
    nlohmann::json objects = nlohmann::json::array();
    for (const auto& [key, record] : store.objects) {
        if (key.starts_with(prefix) && record.version > after) {
            objects.push_back(to_json(key, record));
        }
    }
    return {{"revision", store.revision}, {"objects", objects}};
}

}  // namespace cyclamenmount::standins
