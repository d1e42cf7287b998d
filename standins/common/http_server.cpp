#include "standins/common/http_server.h"

#include <array>

#include <civetweb.h>

namespace cyclamenmount::standins {

namespace {

constexpr int request_handled = 200;

int ignore_message(const mg_connection* /*connection*/, const char* /*message*/) {
    return 1;
}

}  // namespace

http_server::http_server(handler handle) : handle_(std::move(handle)) {}

http_server::~http_server() {
    stop();
}

void http_server::stop() {
    if (context_ != nullptr) {
        shut_down_port(port_);  // wakes CivetWeb's threads, which check for a stop only every 2 s
        mg_stop(context_);
        context_ = nullptr;
    }
}

int http_server::handle_request(mg_connection* connection) {
    const mg_request_info* info = mg_get_request_info(connection);
    auto* self = static_cast<http_server*>(info->user_data);
    exchange current(connection);
    try {
        self->handle_(current);
    } catch (const std::exception& failure) {  // must not pass through CivetWeb's C code
        current.respond(400, {}, failure.what());
    }
    return request_handled;
}

result<std::unique_ptr<http_server>> http_server::start(const server_settings& settings,
                                                        handler handle) {
    std::unique_ptr<http_server> server(new http_server(std::move(handle)));
    mg_callbacks callbacks{};
    callbacks.begin_request = &http_server::handle_request;
    callbacks.log_message = &ignore_message;
    const std::string threads = std::to_string(settings.threads);
    std::array<const char*, 15> options{"listening_ports",
                                        settings.address.c_str(),
                                        "num_threads",
                                        threads.c_str(),
                                        "enable_keep_alive",
                                        "yes",
                                        "keep_alive_timeout_ms",
                                        "2000",
                                        "request_timeout_ms",
                                        "10000",
                                        "listen_backlog",
                                        "512",
                                        "tcp_nodelay",
                                        "1",
                                        nullptr};
    mg_init_library(0);
    server->context_ = mg_start(&callbacks, server.get(), options.data());
    if (server->context_ == nullptr) {
        return error{error_kind::system, "cannot listen on " + settings.address};
    }
    mg_server_port port{};
    mg_get_server_ports(server->context_, 1, &port);
    const std::string ip = settings.address.substr(0, settings.address.rfind(':'));
    server->port_ = port.port;
    server->address_ = ip + ":" + std::to_string(port.port);
    return server;
}

}  // namespace cyclamenmount::standins
