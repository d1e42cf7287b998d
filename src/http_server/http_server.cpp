#include "http_server/http_server.h"

#include "http_server/request_framing.h"

#include <array>

#include <civetweb.h>
#include <glog/logging.h>

namespace cyclamenmount {

namespace {

constexpr const char* request_timeout_ms = "10000";
constexpr int internal_error_status = 500;

struct context_stopper {
    void operator()(mg_context* context) const {
        mg_stop(context);
    }
};

//! Reads the complete body; none if it exceeds the limit or is shorter than its length header.
std::optional<std::string> read_body(mg_connection* connection, long long length,
                                     std::size_t limit) {
    std::string body;
    std::array<char, 16384> chunk{};
    if (length > static_cast<long long>(limit)) {
        return std::nullopt;
    }
    while (body.size() <= limit) {
        const int count = mg_read(connection, chunk.data(), chunk.size());
        if (count <= 0) {
            break;
        }
        body.append(chunk.data(), static_cast<std::size_t>(count));
    }
    const bool complete = length < 0 || body.size() == static_cast<std::size_t>(length);
    if (body.size() > limit || !complete) {
        return std::nullopt;
    }
    return body;
}

void write_response(mg_connection* connection, const http_server_response& response) {
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + ' ' +
                       mg_get_response_code_text(connection, response.status) + "\r\n";
    head += "Content-Type: " + response.content_type + "\r\n";
    head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    head += "Connection: close\r\n";
    for (const auto& [name, value] : response.headers) {
        head += name + ": " + value + "\r\n";
    }
    head += "\r\n";
    mg_write(connection, head.data(), head.size());
    mg_write(connection, response.body.data(), response.body.size());
}

http_server_response internal_error() {
    return {internal_error_status,
            "application/problem+json",
            {},
            R"({"title":"internal error","status":500})"};
}

//! Calls `work`; returns false and logs the request if it throws an exception.
template <typename Work>
bool succeeds(const mg_connection* connection, Work work) {
    try {
        work();
        return true;
    } catch (const std::exception& failure) {
        const mg_request_info* const info = mg_get_request_info(connection);
        LOG(ERROR) << "HTTP server: " << info->request_method << ' ' << info->local_uri
                   << ": unexpected exception: " << failure.what();
        return false;
    }
}

}  // namespace

struct http_server::impl {
    std::function<http_server_response(const http_server_request&)> handler;
    std::size_t max_body_bytes{0};
    std::unique_ptr<mg_context, context_stopper> context;

    http_server_response respond(mg_connection* connection) const;
    int serve(mg_connection* connection) const noexcept;
};

http_server_response http_server::impl::respond(mg_connection* connection) const {
    const mg_request_info* const info = mg_get_request_info(connection);
    if (!is_well_framed(framing_of(*info))) {
        return {400,
                "application/problem+json",
                {},
                R"({"title":"the end of the request can't be told from its headers"})"};
    }
    auto body = read_body(connection, info->content_length, max_body_bytes);
    if (!body.has_value()) {
        return {413,
                "application/problem+json",
                {},
                R"({"title":"request body too large or incomplete"})"};
    }
    http_server_request call;
    call.method = info->request_method;
    call.path = info->local_uri;
    call.query = info->query_string == nullptr ? "" : info->query_string;
    call.body = std::move(*body);
    call.header = [connection](const char* name) -> std::optional<std::string> {
        const char* const value = mg_get_header(connection, name);
        return value == nullptr ? std::nullopt : std::make_optional<std::string>(value);
    };
    return handler(call);
}

//! Serves one request. An exception must not pass through CivetWeb's C code.
int http_server::impl::serve(mg_connection* connection) const noexcept {
    http_server_response response;
    const bool has_response = succeeds(connection, [&] { response = respond(connection); }) ||
                              succeeds(connection, [&] { response = internal_error(); });
    if (!has_response) {
        return internal_error_status;
    }
    succeeds(connection, [&] { write_response(connection, response); });
    return response.status;
}

result<std::unique_ptr<http_server>>
http_server::start(const http_server_settings& settings,
                   std::function<http_server_response(const http_server_request&)> handler) {
    auto implementation = std::make_unique<impl>();
    implementation->handler = std::move(handler);
    implementation->max_body_bytes = settings.max_body_bytes;
    const std::string threads = std::to_string(settings.threads);
    const std::array<const char*, 11> options = {"listening_ports",
                                                 settings.listen.c_str(),
                                                 "num_threads",
                                                 threads.c_str(),
                                                 "request_timeout_ms",
                                                 request_timeout_ms,
                                                 "enable_keep_alive",
                                                 "no",
                                                 "decode_url",
                                                 "no",
                                                 nullptr};
    mg_callbacks callbacks{};
    callbacks.log_message = [](const mg_connection*, const char*) { return 1; };
    implementation->context.reset(
        mg_start(&callbacks, implementation.get(), const_cast<const char**>(options.data())));
    if (implementation->context == nullptr) {
        return error{error_kind::system,
                     "CivetWeb did not start on listen address " + settings.listen};
    }
    mg_set_request_handler(
        implementation->context.get(), "/",
        [](mg_connection* connection, void* user_data) {
            return static_cast<const impl*>(user_data)->serve(connection);
        },
        implementation.get());
    return std::unique_ptr<http_server>(new http_server(std::move(implementation)));
}

http_server::http_server(std::unique_ptr<impl> implementation) : impl_(std::move(implementation)) {}

http_server::~http_server() = default;

int http_server::port() const {
    mg_server_port bound{};
    return mg_get_server_ports(impl_->context.get(), 1, &bound) == 1 ? bound.port : 0;
}

}  // namespace cyclamenmount
