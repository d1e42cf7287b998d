//! A CivetWeb server that hands each request to one function.
#pragma once

#include "standins/common/exchange.h"
#include "types/errors.h"

#include <functional>
#include <memory>
#include <string>

struct mg_context;

namespace cyclamenmount::standins {

struct server_settings {
    std::string address{"127.0.0.1:0"};  //!< port 0: any free one
    int threads{64};                     //!< one is held by each open connection
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

    //! IP:PORT with the port in use.
    [[nodiscard]] const std::string& address() const {
        return address_;
    }

    //! Closes the listener and every connection. Handlers must return soon after.
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
