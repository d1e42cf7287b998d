//! Upstreams' own reports, parsed.
#pragma once

#include "http_loop/http_loop.h"
#include "types/events.h"

namespace cyclamenmount::detail {

//! An answer of another upstream at the same address counts as none.
upstream_polled status_answer(const upstream_id& upstream, const result<http_response>& answer);

store_status order_status(const result<http_response>& answer);

std::optional<upstream_condition> parse_condition(std::string_view name);

}  // namespace cyclamenmount::detail
