//! Conversion of Object API responses into events, by the rules of docs/INTERFACES.md.
#pragma once

#include "http_loop/http_loop.h"
#include "types/events.h"

namespace cyclamenmount::detail {

using http_result = result<http_response>;

store_replied interpret_read(const store_ticket& number, const std::string& key,
                             const http_result& response);

//! `refused` also if no connection was established, since nothing was sent then.
store_replied interpret_write(const store_ticket& number, const std::string& key,
                              const http_result& response);

watch_ended interpret_watch(const std::string& prefix, object_version after,
                            const http_result& response);

instances_listed interpret_instance_list(const http_result& response);

//! Percent-encodes all characters except the unreserved ones and the slash.
std::string encode_path(std::string_view text);

}  // namespace cyclamenmount::detail
