//! Encoding of the calls to stage upstreams.
#pragma once

#include "http_exchange/client_exchange.h"
#include "packing/packer.h"
#include "upstream_directives/upstream_directives.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenmount {

//! Functions that encode calls to stage upstreams and decode their responses. All are set.
struct stage_protocol {
    std::function<http_request_message(const make_call& call)> make_run_request;

    //! Returns the outcomes of the pieces of a call, in their order; none if `body` doesn't hold
    //! any.
    std::function<std::optional<std::vector<piece_outcome>>(const std::string& body)>
        decode_outcomes;

    //! Makes the request that frees results at the upstream with the address.
    std::function<http_request_message(const std::string& address,
                                       const std::vector<std::string>& results)>
        make_release_request;

    std::function<upstream_directives(const http::response_header<>& head)> decode_directives;
};

}  // namespace cyclamenmount
