//! In-memory store of versioned objects with the semantics of the platform's Object API.
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

//! Result of a conditional write.
struct write_outcome {
    bool done{false};
    //! New version; after a failed condition the current version, 0 if the object is absent.
    std::uint64_t version{0};
};

//! Returns the object, or null if it is absent or deleted.
const object_record* find_object(const object_store& store, const std::string& key);

//! Writes the object if its current version is `expected`; 0 requires that it doesn't exist.
write_outcome put_object(object_store& store, const std::string& key, std::string value,
                         std::uint64_t expected);

write_outcome delete_object(object_store& store, const std::string& key, std::uint64_t expected);

//! Returns true if an object under the prefix, deleted or not, has a version above `after`.
bool has_newer(const object_store& store, std::string_view prefix, std::uint64_t after);

//! Lists the objects under the prefix without the deleted ones.
nlohmann::json list_objects(const object_store& store, std::string_view prefix);

//! Lists the objects under the prefix with a version above `after`, including deleted ones.
nlohmann::json list_newer(const object_store& store, std::string_view prefix, std::uint64_t after);

}  // namespace cyclamenmount::standins
