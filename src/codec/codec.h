//! Messages, events and effects as JSON; messages as MessagePack on the wire.
#pragma once

#include "types/effects.h"

#include <span>
#include <string>

#include <nlohmann/json.hpp>

namespace cyclamenmount {

//! MessagePack bytes of a message.
std::string encode_message(const peer_message& message);

//! Rejects unknown kinds, missing and wrongly typed fields, and inputs over the frame limit.
result<peer_message> decode_message(std::string_view bytes);

//! For golden sessions and dumps.
nlohmann::json event_to_json(const event& happened);
result<event> event_from_json(const nlohmann::json& value);
nlohmann::json effect_to_json(const effect& wanted);

inline constexpr std::size_t max_message_bytes = std::size_t{2} * 1024 * 1024;

}  // namespace cyclamenmount
