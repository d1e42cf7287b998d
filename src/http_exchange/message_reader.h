//! Reading of HTTP/1.1 messages in steps, between which the caller checks what they keep.
#pragma once

#include "http_exchange/connection.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace cyclamenmount {

namespace http = boost::beast::http;

//! Parses buffered bytes, or receives more if the parser needs them. Returns after either, at the
//! latest when the connection's buffer is full (`http::error::buffer_overflow`). Fails with
//! `http::error::end_of_stream` if the connection ended before the message.
template <bool is_request>
task<error_code> read_step(connection& from, http::basic_parser<is_request>& parser);

extern template task<error_code> read_step<true>(connection&, http::basic_parser<true>&);
extern template task<error_code> read_step<false>(connection&, http::basic_parser<false>&);

//! Fails with `http::error::bad_transfer_encoding` if the headers that were parsed don't tell where
//! the message ends. To be asked before its body is read.
template <bool is_request>
error_code check_framing(const http::basic_parser<is_request>& parser,
                         const http::header<is_request, http::fields>& head);

extern template error_code check_framing<true>(const http::basic_parser<true>&,
                                               const http::header<true, http::fields>&);
extern template error_code check_framing<false>(const http::basic_parser<false>&,
                                                const http::header<false, http::fields>&);

//! True if a message was rejected because it exceeds a limit.
bool is_over_limit(const error_code& failed);

//! Estimate of the memory that parsed headers take.
std::size_t memory_of(const http::fields& headers);

}  // namespace cyclamenmount
