//! Reading of HTTP/1.1 messages in steps, between which the caller checks what they keep.
#pragma once

#include "http_exchange/connection.h"

#include <boost/beast/http/basic_parser.hpp>

namespace cyclamenmount {

namespace http = boost::beast::http;

//! Parses buffered bytes, or receives more if the parser needs them. Returns after either, at the
//! latest when the connection's buffer is full (`http::error::buffer_overflow`). Fails with
//! `http::error::end_of_stream` if the connection ended before the message.
template <bool is_request>
task<error_code> read_step(connection& from, http::basic_parser<is_request>& parser);

extern template task<error_code> read_step<true>(connection&, http::basic_parser<true>&);
extern template task<error_code> read_step<false>(connection&, http::basic_parser<false>&);

//! True if a message was rejected because it exceeds a limit.
bool is_over_limit(const error_code& failed);

//! Estimate of the memory that parsed headers take.
std::size_t memory_of(const http::fields& headers);

}  // namespace cyclamenmount
