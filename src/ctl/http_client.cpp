#include "ctl/http_client.h"

#include "settings/settings.h"

#include <array>
#include <memory>

#include <civetweb.h>

namespace cyclamenmount {

namespace {

constexpr int response_timeout_ms = 30'000;

struct connection_closer {
    void operator()(mg_connection* connection) const {
        mg_close_connection(connection);
    }
};

std::string request_text(const client_request& request) {
    std::string text = request.method + ' ' + request.path + " HTTP/1.1\r\n";
    text += "Host: " + request.server + "\r\nConnection: close\r\n";
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    for (const auto& header : request.headers) {
        text += header + "\r\n";
    }
    return text + "\r\n" + request.body;
}

}  // namespace

result<client_response> exchange(const client_request& request) {
    const auto server = parse_endpoint(request.server);
    if (server.has_error()) {
        return server.error();
    }
    std::array<char, 256> fault{};
    const std::unique_ptr<mg_connection, connection_closer> connection(mg_connect_client(
        server.value().ip.c_str(), server.value().port, 0, fault.data(), fault.size()));
    if (connection == nullptr) {
        return error{error_kind::unreachable, request.server + ": " + fault.data()};
    }
    const std::string text = request_text(request);
    mg_write(connection.get(), text.data(), text.size());
    if (mg_get_response(connection.get(), fault.data(), fault.size(), response_timeout_ms) < 0) {
        return error{error_kind::timeout, request.server + ": " + fault.data()};
    }
    client_response response;
    response.status = mg_get_response_info(connection.get())->status_code;
    if (const char* const etag = mg_get_header(connection.get(), "ETag")) {
        response.etag = etag;
    }
    std::array<char, 16384> chunk{};
    int count = 0;
    while ((count = mg_read(connection.get(), chunk.data(), chunk.size())) > 0) {
        response.body.append(chunk.data(), static_cast<std::size_t>(count));
    }
    return response;
}

}  // namespace cyclamenmount
