//! HTTP/1.1 server on CivetWeb; closes each connection after one response.
#pragma once

#include "types/errors.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenmount {

struct http_server_request {
    std::string method;
    std::string path;
    std::string query;
    std::function<std::optional<std::string>(const char* name)> header;
    std::string body;
};

struct http_server_response {
    int status{200};
    std::string content_type{"application/json"};
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct http_server_settings {
    std::string listen;  //!< IP:PORT
    int threads{8};      //!< connections served concurrently
    std::size_t max_body_bytes{std::size_t{1024} * 1024};
};

class http_server {
public:
    //! `handler` is called concurrently on the server's threads.
    static result<std::unique_ptr<http_server>>
    start(const http_server_settings& settings,
          std::function<http_server_response(const http_server_request&)> handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    //! Bound port, also if the configured port is 0.
    [[nodiscard]] int port() const;

private:
    struct impl;
    explicit http_server(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
