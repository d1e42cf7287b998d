//! Look-ups in the lists that operators have put in force.
#pragma once

#include "serving/types/catalogue.h"

#include <string_view>

namespace cyclamenmount {

//! The route of `host` with the longest prefix that begins `path`; null if there is none.
const route* find_route(const catalogue& lists, std::string_view host, std::string_view path);

//! The workspace that holds `key`; null if none does.
const serving_workspace* find_workspace(const catalogue& lists, std::string_view key);

//! One of the route's pools, drawn by weight. `draw` is a random number.
const pool_name& choose_pool(const route& from, std::uint64_t draw);

//! How long callers wait for the first answer, or event, of a request that they sent with this
//! patience. Callers of streams leave sooner than their deadline says.
milliseconds first_answer_patience(const route& which, milliseconds patience);

//! True if a request of this route may run more than once.
bool is_repeatable(const route& which);

}  // namespace cyclamenmount
