//! Checks an upstream's answer as it comes in. Pure; the transfer feeds it.
#pragma once

#include "upstreams/attempt_call.h"

#include <string_view>
#include <vector>

namespace cyclamenmount::detail {

//! The headers that an upstream echoes.
struct echoed_headers {
    std::string request;
    std::string stage;
    std::string attempt;
};

//! State of one answer.
struct answer_reader {
    int status{0};
    echoed_headers echo;
    std::optional<upstream_report> load;
    std::string buffer;  //!< the body so far, or the unfinished line of a stream
    std::size_t received{0};
    int next_index{0};  //!< of a stream
    int accepted{0};    //!< tokens of a stream
    bool done{false};   //!< the last line of a stream has come
    milliseconds busy{0};
    std::string output;
    std::vector<received_token> tokens;  //!< accepted and not yet taken
    attempt_fault fault{attempt_fault::none};
};

//! Notes one header line.
void read_header(answer_reader& reader, std::string_view line);

//! Takes in a part of the body. False if the answer can't be accepted; see `fault`.
bool read_body(answer_reader& reader, const attempt_call& call, std::string_view part);

//! Checks the answer after its regular end.
attempt_fault finish_answer(answer_reader& reader, const attempt_call& call);

}  // namespace cyclamenmount::detail
