//! HTTP client for short exchanges: one thread that runs libcurl's multi interface.
//!
//! Error kinds: `unreachable` if no connection was established, so that nothing was sent; `timeout`
//! if no complete response arrived in time; `protocol` if the connection was closed early or the
//! response is malformed or too large.
#pragma once

#include "types/errors.h"
#include "types/progress_limit.h"

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
    //! Limit of the whole exchange; on timeout the connection is closed.
    milliseconds timeout{1500};
    //! Replaces `timeout` once the head of the response has arrived, unless its step is 0.
    progress_limit progress{};
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

    //! Queues a request without blocking. `done` is called exactly once on the loop's thread, no
    //! later than when the loop stops; on the calling thread if the loop is already stopping.
    //! A method other than GET uses a new connection: libcurl repeats a request when a reused
    //! connection closes without a response, which isn't safe for writes.
    void submit(http_request request, std::function<void(result<http_response>)> done);

private:
    struct impl;
    explicit http_loop(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
