//! Look-ups in the serving configuration.
#pragma once

#include "serving/types/serving_config.h"

#include <string_view>

namespace cyclamenmount {

//! Returns the route of `host` with the longest matching prefix of `path`; null if none matches.
const route* find_route(const serving_config& config, std::string_view host, std::string_view path);

//! Returns the workspace of an API key; null if the key is unknown.
const serving_workspace* find_workspace(const serving_config& config, std::string_view key);

//! Selects one of the route's pools at random by weight; `draw` is a uniform random number.
const pool_name& choose_pool(const route& from, std::uint64_t draw);

//! Returns how long a caller waits for the response, or for the first event of a stream.
//! `time_left` is the time until the caller's deadline; callers of streams give up sooner.
milliseconds first_response_timeout(const route& target, milliseconds time_left);

//! Returns true if a request of this route may run more than once.
bool is_repeatable(const route& target);

}  // namespace cyclamenmount
