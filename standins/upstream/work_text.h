//! What the stand-ins answer: a pure function of the input.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenmount::standins {

//! The token of this index in the answer to the input.
std::string token_of(std::string_view input, int index);

//! Output of an encoder, retriever, reranker or service: the input's start and a digest.
std::string output_of(std::string_view pool, std::string_view input);

//! The word `mark=...` of the input; empty if there is none.
std::string mark_of(std::string_view input);

//! Hash of the prompt's start, as the engine caches it.
std::uint64_t prefix_of(std::string_view input);

}  // namespace cyclamenmount::standins
