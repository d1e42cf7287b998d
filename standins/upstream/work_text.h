//! Outputs of the simulated upstreams; each is a pure function of the input.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenmount::standins {

//! Returns the token with this index in the response to the input.
std::string token_of(std::string_view input, int index);

//! Returns the output of an encoder, retriever, reranker or service: the start of the input, the
//! pool and a hash of the input.
std::string output_of(std::string_view pool, std::string_view input);

//! Returns the word `mark=...` of the input; empty if there is none.
std::string mark_of(std::string_view input);

//! Returns the hash of the prompt's first 64 bytes, the key of the prefix cache.
std::uint64_t prefix_of(std::string_view input);

}  // namespace cyclamenmount::standins
