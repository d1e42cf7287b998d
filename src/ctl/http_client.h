//! HTTP client of the command line, based on CivetWeb's client.
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
    std::vector<std::string> headers;  //!< one `Name: value` each
    std::string body;
};

struct client_response {
    int status{0};
    std::string etag;
    std::string body;
};

//! Sends a request on a new connection and reads the whole response. CivetWeb's client has no
//! timeout for a response body that stalls, so the program sets an alarm that ends the process.
result<client_response> exchange(const client_request& request);

}  // namespace cyclamenmount
