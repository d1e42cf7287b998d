//! Short HTTP exchanges of the command line, with CivetWeb's client.
#pragma once

#include "types/errors.h"

#include <map>
#include <string>
#include <vector>

namespace cyclamenmount {

struct client_request {
    std::string method{"GET"};
    std::string server;  //!< IP:PORT
    std::string path;
    std::vector<std::string> headers;  //!< `Name: value`
    std::string body;
};

struct client_response {
    int status{0};
    std::string etag;
    std::string body;
};

//! One exchange on a connection of its own. CivetWeb's client can't bound a body that stops in the
//! middle, so the program sets an alarm that ends the process.
result<client_response> exchange(const client_request& request);

}  // namespace cyclamenmount
