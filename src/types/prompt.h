//! Prompts of generation requests.
#pragma once

#include <cstdint>
#include <string>

namespace cyclamenmount {

//! One part of a prompt; upstreams cache parts by id.
struct prompt_part {
    std::string id;
    std::uint64_t tokens{0};
};

}  // namespace cyclamenmount
