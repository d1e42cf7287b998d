//! How documents stand in the Object API, and the text of the availability document.
#pragma once

#include "coordination/documents/documents.h"

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenmount::detail {

//! Changes kept in an object.
inline constexpr std::size_t kept_changes = 64;

//! `{"text":...,"changes":[...]}`.
std::string stored_value(const document& value);

//! None if the value is malformed.
std::optional<document> parse_stored(const stored_object& object);

//! One line a name: `zone NAME` or `upstream NAME`, sorted.
std::string availability_text(const availability& value);

availability parse_availability(std::string_view text);

//! Puts a change first and drops those over the limit.
void prepend_change(document& value, change_record change);

//! Changes made on `base` or later, newest first.
std::vector<change_record> changes_since(const document& value, object_version base);

//! Version that the change with this operation led to; 0 if it isn't among the changes.
object_version version_of_operation(const document& value, std::string_view operation);

}  // namespace cyclamenmount::detail
