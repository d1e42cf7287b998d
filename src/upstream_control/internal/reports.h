//! Interpretation of upstreams' responses to status reads and commands.
#pragma once

#include "http_loop/http_loop.h"
#include "types/events.h"

namespace cyclamenmount::detail {

//! Counts a response with another upstream's id, at the same address, as no response.
upstream_polled interpret_status(const upstream_id& upstream,
                                 const result<http_response>& response);

//! `refused` and `conflict` if the command certainly had no effect, `unknown` if it may have had
//! one.
store_status interpret_command(const result<http_response>& response);

std::optional<upstream_condition> parse_condition(std::string_view name);

}  // namespace cyclamenmount::detail
