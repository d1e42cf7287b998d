//! Server side of HTTP/1.1: reading of requests within limits.
#pragma once

#include "http_exchange/message_reader.h"
#include "http_exchange/receive_ledger.h"

#include <optional>
#include <string>

#include <boost/beast/http/string_body.hpp>

namespace cyclamenmount {

struct request_limits {
    std::size_t header_bytes{0};  //!< request line and headers
    std::size_t body_bytes{0};
    milliseconds header_time{0};
    milliseconds body_time{0};    //!< from the end of the headers
    milliseconds retry_after{0};  //!< of requests that are refused for lack of memory
};

using received_request = http::request<http::string_body>;

//! A request, or why there is none; neither is set if the connection ended before a request.
struct request_read {
    std::optional<received_request> request;
    //! Status with which a request was refused: it is invalid, exceeds a limit or arrives too
    //! slowly. The connection is then to be closed in order.
    std::optional<http::status> refused;
    std::string why{};  //!< reason of the refusal
};

//! Reads a request and books what it keeps. Fields of a trailer are dropped. The framing of the
//! body is bounded by the maximum size of the connection's buffer.
task<request_read> read_request(connection_ptr from, request_limits limits,
                                receive_account& account);

}  // namespace cyclamenmount
