//! Versioned objects in memory, as the platform's Object API keeps them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace cyclamenmount::standins {

inline constexpr std::size_t max_value_bytes = 1048576;

struct object_record {
    std::uint64_t version{0};
    std::string value;
    bool deleted{false};
};

struct object_store {
    std::uint64_t revision{0};
    std::map<std::string, object_record> objects;
};

//! What a conditional update demands: a version, or 0 for an object that must not exist.
struct write_outcome {
    bool done{false};
    std::uint64_t version{0};  //!< the new one, or the present one if the update lost; 0: absent
};

//! The object unless absent or deleted.
const object_record* find_object(const object_store& store, const std::string& key);

write_outcome put_object(object_store& store, const std::string& key, std::string value,
                         std::uint64_t expected);

write_outcome delete_object(object_store& store, const std::string& key, std::uint64_t expected);

//! True if an object under the prefix, deleted or not, is newer than `after`.
bool has_newer(const object_store& store, std::string_view prefix, std::uint64_t after);

//! Present objects under the prefix.
nlohmann::json list_objects(const object_store& store, std::string_view prefix);

//! Objects under the prefix newer than `after`, deleted ones included.
nlohmann::json list_newer(const object_store& store, std::string_view prefix, std::uint64_t after);

}  // namespace cyclamenmount::standins
