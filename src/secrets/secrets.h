//! Hashes, unguessable ids and comparisons that don't tell by their time.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cyclamenmount {

//! SHA-256 as 64 lower case hex digits.
std::string sha256_hex(std::string_view text);

//! An id of 16 random hex digits.
std::string draw_id();

//! Compares in time that depends on the lengths only.
bool same_secret(std::string_view left, std::string_view right);

}  // namespace cyclamenmount
