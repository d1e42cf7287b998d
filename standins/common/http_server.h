//! HTTP server on CivetWeb that passes every request to one handler function.
#pragma once

#include "standins/common/exchange.h"
#include "types/errors.h"

#include <functional>
#include <memory>
#include <string>

struct mg_context;

namespace cyclamenmount::standins {

struct server_settings {
    std::string address{"127.0.0.1:0"};  //!< IP:PORT; port 0 picks a free port
    int threads{64};                     //!< worker threads; each open connection occupies one
};

class http_server {
public:
    using handler = std::function<void(exchange&)>;

    static result<std::unique_ptr<http_server>> start(const server_settings& settings,
                                                      handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    //! IP:PORT that the server listens on.
    [[nodiscard]] const std::string& address() const {
        return address_;
    }

    //! Closes the listening socket and all connections, then waits for running handlers, which must
    //! return soon.
    void stop();

private:
    explicit http_server(handler handle);
    static int handle_request(mg_connection* connection);

    handler handle_;
    std::string address_;
    int port_{0};
    mg_context* context_{nullptr};
};

}  // namespace cyclamenmount::standins
