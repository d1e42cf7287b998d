//! Splits JSON texts of other writers into their members before anything is built from them.
//!
//! The JSON library fails on a whole text for one number out of range, and copies of deeply nested
//! values exhaust the stack. Values that can't be read are left out here, and their neighbours are
//! kept.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace cyclamenmount {

//! Deepest nesting of arrays and objects that is read.
inline constexpr int max_json_depth = 64;

//! A member of an object, as text.
struct json_member {
    std::string_view key;  //!< without quotes; escapes aren't resolved
    std::string_view value;
};

//! Deepest nesting of arrays and objects in the text.
int json_depth(std::string_view text);

//! Members of an object, in their order; empty if the text is no object.
std::vector<json_member> split_json_object(std::string_view text);

//! Elements of an array; empty if the text is no array.
std::vector<std::string_view> split_json_array(std::string_view text);

//! Bytes of a JSON string whose text is given with its quotes; none if it is no string. They
//! needn't be valid UTF-8: an unpaired surrogate has the three bytes of its code point.
std::optional<std::string> decode_string_bytes(std::string_view text);

//! Parses a text that isn't nested too deeply; none if it can't be read.
std::optional<nlohmann::json> parse_bounded_json(std::string_view text);

}  // namespace cyclamenmount
