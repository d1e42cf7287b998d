//! Incremental parser and checker of an upstream's response. Does no I/O.
#pragma once

#include "upstreams/attempt_call.h"

#include <string_view>
#include <vector>

namespace cyclamenmount::detail {

//! Request headers that an upstream repeats in its response.
struct echoed_headers {
    std::string request;
    std::string stage;
    std::string attempt;
};

//! Parser state of one response.
struct response_reader {
    int status{0};
    echoed_headers echo;
    std::optional<upstream_report> load;  //!< parsed X-Load header
    std::string buffer;  //!< body received so far, or the incomplete last line of a stream
    std::size_t received_bytes{0};
    int next_index{0};     //!< expected index of the next token in a stream
    int accepted{0};       //!< number of tokens accepted from a stream
    bool done{false};      //!< true once the last line of a stream was received
    milliseconds busy{0};  //!< processing time as reported by the upstream
    std::string output;
    std::vector<received_token> tokens;  //!< accepted tokens that the caller hasn't taken yet
    attempt_fault fault{attempt_fault::none};
};

//! Processes one status or header line.
void read_header(response_reader& reader, std::string_view line);

//! Processes the next chunk of the body. On false the response is rejected; see `fault`.
bool read_body(response_reader& reader, const attempt_call& call, std::string_view chunk);

//! Checks the complete response.
attempt_fault finish_response(response_reader& reader, const attempt_call& call);

}  // namespace cyclamenmount::detail
