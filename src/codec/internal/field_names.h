//! One-byte forms of field names for the wire; full names would make up most of a heartbeat.
#pragma once

#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

//! Replaces each known field name by its one-byte form. Unknown names stay as they are.
nlohmann::json with_short_names(const nlohmann::json& value);

//! Reverses `with_short_names`; leaves full names as they are.
nlohmann::json with_full_names(const nlohmann::json& value);

}  // namespace cyclamenmount::detail
