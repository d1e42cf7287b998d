//! Field names of messages in one byte, since names would be most of a heartbeat.
#pragma once

#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

//! Replaces each known field name by its one-byte form. Unknown names stay as they are.
nlohmann::json with_short_names(const nlohmann::json& value);

//! Undoes `with_short_names`; takes full names as well.
nlohmann::json with_full_names(const nlohmann::json& value);

}  // namespace cyclamenmount::detail
