//! What answers of the Object API mean, by the rules of docs/INTERFACES.md.
#pragma once

#include "http_loop/http_loop.h"
#include "types/events.h"

namespace cyclamenmount::detail {

using http_result = result<http_response>;

store_replied read_answer(const store_ticket& number, const std::string& key,
                          const http_result& answer);

//! `refused` also if no connection was made: then nothing was sent.
store_replied write_answer(const store_ticket& number, const std::string& key,
                           const http_result& answer);

watch_ended watch_answer(const std::string& prefix, object_version after,
                         const http_result& answer);

instances_listed list_answer(const http_result& answer);

//! Encodes all but unreserved characters and the slash.
std::string encode_path(std::string_view text);

}  // namespace cyclamenmount::detail
