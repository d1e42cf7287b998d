//! Encoding of several messages in one body, each after a 4-byte big-endian length.
#pragma once

#include "types/errors.h"

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenmount::detail {

void append_message(std::string& body, std::string_view message);

//! Splits a body into messages, as views into `body`. Fails if the body is truncated.
result<std::vector<std::string_view>> split_batch(std::string_view body);

inline constexpr std::size_t length_prefix_bytes = 4;

}  // namespace cyclamenmount::detail
