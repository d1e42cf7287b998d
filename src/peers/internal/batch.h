//! Several messages in one body: each with its length in front.
#pragma once

#include "types/errors.h"

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenmount::detail {

void append_message(std::string& body, std::string_view message);

//! Views into `body`.
result<std::vector<std::string_view>> split_batch(std::string_view body);

inline constexpr std::size_t message_prefix_bytes = 4;

}  // namespace cyclamenmount::detail
