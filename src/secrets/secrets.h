//! Hashes, random ids and constant-time comparison of secrets.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cyclamenmount {

//! SHA-256 digest as 64 lower-case hex digits.
std::string sha256_hex(std::string_view text);

//! Generates a random id of 16 lower-case hex digits.
std::string generate_id();

//! Compares two secrets in a time that depends only on their lengths, so that timing reveals
//! nothing about the content.
bool secrets_equal(std::string_view left, std::string_view right);

}  // namespace cyclamenmount
