//! Encodes peer messages as MessagePack, and events and effects as JSON.
#pragma once

#include "types/effects.h"

#include <span>
#include <string>

#include <nlohmann/json.hpp>

namespace cyclamenmount {

//! Encodes a message as MessagePack, with one-byte field names.
std::string encode_message(const peer_message& message);

//! Decodes a message. Rejects unknown kinds, missing fields, fields of a wrong type or out of
//! range, and inputs over `max_message_bytes`.
result<peer_message> decode_message(std::string_view bytes);

//! JSON for the recorded sessions of tests and for dumps.
nlohmann::json event_to_json(const event& value);
result<event> event_from_json(const nlohmann::json& value);
nlohmann::json effect_to_json(const effect& value);

inline constexpr std::size_t max_message_bytes = std::size_t{2} * 1024 * 1024;

}  // namespace cyclamenmount
