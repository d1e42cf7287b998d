//! Format of documents in the store's objects, and the text of the availability document.
#pragma once

#include "coordination/documents/documents.h"

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenmount::detail {

//! Maximum number of changes kept in an object's history.
inline constexpr std::size_t max_stored_changes = 64;

//! JSON of a stored document: `{"text":...,"changes":[...]}`.
std::string stored_value(const document& value);

//! The document in a stored object; empty if its value is malformed.
std::optional<document> parse_stored(const stored_object& object);

//! Text of the availability document: one line per name, `zone NAME` or `upstream NAME`, sorted.
std::string availability_text(const availability& value);

//! Reads the text of the availability document; ignores unknown kinds of names.
availability parse_availability(std::string_view text);

//! Adds a change at the front of the history and drops the oldest changes over the limit.
void prepend_change(document& value, change_record change);

//! Changes that were made to version `base` or a later one, newest first.
std::vector<change_record> changes_since(const document& value, object_version base);

//! Version that the change with this operation id produced; 0 if the history doesn't contain it.
object_version version_of_operation(const document& value, std::string_view operation);

}  // namespace cyclamenmount::detail
