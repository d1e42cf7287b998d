//! One thread that carries out short HTTP exchanges with libcurl's multi interface.
//!
//! Errors tell what is known of the exchange: `unreachable` if no connection was made and so
//! nothing was sent, `timeout` if no whole answer came in time, `protocol` if the connection was
//! closed early or the answer is malformed or too long.
#pragma once

#include "types/errors.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenmount {

struct http_request {
    std::string method{"GET"};
    std::string url;
    std::vector<std::string> headers;  //!< `Name: value`
    std::string body;
    milliseconds timeout{1500};  //!< for the whole exchange; a silent connection is dropped
};

struct http_response {
    int status{0};
    std::map<std::string, std::string> headers;  //!< names in lower case
    std::string body;
};

class http_loop {
public:
    static result<std::unique_ptr<http_loop>> start();
    ~http_loop();
    http_loop(const http_loop&) = delete;
    http_loop& operator=(const http_loop&) = delete;
    http_loop(http_loop&&) = delete;
    http_loop& operator=(http_loop&&) = delete;

    //! Never blocks. `done` is called on the loop's thread, exactly once, at the latest when the
    //! loop ends; by the caller if it is ending already. A method other than GET gets a connection
    //! of its own: libcurl repeats a request by itself when a reused connection closes without an
    //! answer.
    void submit(http_request request, std::function<void(result<http_response>)> done);

private:
    struct impl;
    explicit http_loop(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
