#include "callers/caller_server.h"

#include "callers/internal/server_state.h"

#include <array>
#include <thread>

#include <civetweb.h>
#include <glog/logging.h>

namespace cyclamenmount {

using detail::http_exchange;
using detail::scoped_counter;
using detail::server_state;

namespace {

constexpr int threads_for_refusals = 8;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr auto end_poll_period = 10ms;

refusal refuse(refusal_reason reason, std::string detail, std::string place) {
    return {reason, execution::not_run, std::move(detail), std::move(place), {}};
}

//! Returns the part of `path` between `start` and `end`; none if the path doesn't match or the part
//! is empty.
std::optional<std::string_view> between(std::string_view path, std::string_view start,
                                        std::string_view end) {
    const bool fits =
        path.starts_with(start) && path.ends_with(end) && path.size() > start.size() + end.size();
    if (!fits) {
        return std::nullopt;
    }
    path.remove_prefix(start.size());
    path.remove_suffix(end.size());
    return path;
}

void route_request(server_state& server, http_exchange& http) {
    const std::string_view path = http.path();
    if (const auto key = between(path, "/v1/requests/", "/frames"); key && http.method() == "GET") {
        serve_frames(server, http, *key);
        return;
    }
    if (const auto name = between(path, "/v1/pipelines/", ""); name && http.method() == "POST") {
        serve_pipeline(server, http, *name);
        return;
    }
    const auto service = between(path, "/v1/services/", "");
    const auto slash = service ? service->find('/') : std::string_view::npos;
    if (slash != std::string_view::npos && http.method() == "POST") {
        serve_service(server, http, service->substr(0, slash), service->substr(slash + 1));
        return;
    }
    http.send_problem(refuse(refusal_reason::unknown_target, "no such resource or method", "path"));
}

void route(server_state& server, http_exchange& http) {
    if (http.path() == "/livez") {
        http.send_json(status_ok, "{}");
        return;
    }
    const bool ready = !server.stopping && server.dependencies.control.ready();
    if (http.path() == "/readyz") {
        http.send_json(ready && !server.stop_announced ? status_ok : status_unavailable, "{}");
        return;
    }
    const scoped_counter counted(server.running);
    const scoped_counter handled(server.handling);
    if (server.stopping) {
        http.send_problem(refuse(refusal_reason::stopping,
                                 "this instance is stopping and accepts no new requests", {}));
        return;
    }
    if (!ready) {
        http.send_problem(refuse(refusal_reason::not_ready, "this instance is not ready", {}));
        return;
    }
    if (handled.count_at_start() > server.settings.concurrent) {
        refusal refused = refuse(refusal_reason::overloaded, "too many requests at once", {});
        refused.retry_after = 1000ms;
        http.send_problem(refused);
        return;
    }
    route_request(server, http);
}

//! Calls `work`; returns false and logs the exception if it throws one, which must not pass through
//! CivetWeb's C code.
template <typename Work>
bool succeeds(std::string_view subject, Work work) {
    try {
        work();
        return true;
    } catch (const std::exception& failure) {
        LOG(ERROR) << "callers: " << subject << " failed with an exception: " << failure.what();
        return false;
    }
}

int on_request(mg_connection* connection) {
    auto& server = *static_cast<server_state*>(mg_get_request_info(connection)->user_data);
    http_exchange http(connection);
    if (!succeeds("request", [&] { route(server, http); }) && !http.streaming()) {
        succeeds("response to a failed request", [&] {
            http.send_problem({refusal_reason::internal, execution::may_have_run, {}, {}, {}});
        });
    }
    return status_ok;
}

//! Sends a problem response for requests that CivetWeb itself rejects as malformed.
int on_http_error(mg_connection* connection, int status, const char* /*message*/) {
    http_exchange http(connection);
    const bool too_large = status == 413 || status == 414 || status == 431;
    succeeds("response to a malformed request", [&] {
        http.send_problem(refuse(too_large ? refusal_reason::too_large : refusal_reason::malformed,
                                 "the request line or headers can't be parsed", "head"));
    });
    return 0;
}

int on_log_message(const mg_connection* /*connection*/, const char* message) {
    VLOG(1) << "callers: " << message;
    return 1;
}

}  // namespace

struct caller_server::impl {
    impl(caller_settings settings, caller_dependencies dependencies)
        : server{std::move(settings), std::move(dependencies)} {}

    ~impl() {
        server.stopping = true;
        while (server.running > 0) {
            std::this_thread::sleep_for(end_poll_period);
        }
        if (context != nullptr) {
            mg_stop(context);
        }
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    bool listen() {
        const std::string threads =
            std::to_string(server.settings.concurrent + threads_for_refusals);
        const std::string timeout = std::to_string(server.settings.read_timeout.count());
        const std::array<const char*, 13> options{"listening_ports",
                                                  server.settings.address.c_str(),
                                                  "num_threads",
                                                  threads.c_str(),
                                                  "request_timeout_ms",
                                                  timeout.c_str(),
                                                  "enable_keep_alive",
                                                  "no",
                                                  "tcp_nodelay",
                                                  "1",
                                                  "listen_backlog",
                                                  "512",
                                                  nullptr};
        mg_callbacks callbacks{};
        callbacks.begin_request = &on_request;
        callbacks.http_error = &on_http_error;
        callbacks.log_message = &on_log_message;
        static const unsigned initialised = mg_init_library(MG_FEATURES_DEFAULT);
        static_cast<void>(initialised);
        context = mg_start(&callbacks, &server, const_cast<const char**>(options.data()));
        return context != nullptr;
    }

    server_state server;
    mg_context* context{nullptr};
};

caller_server::caller_server(std::unique_ptr<impl> implementation)
    : impl_(std::move(implementation)) {}

caller_server::~caller_server() = default;

result<std::unique_ptr<caller_server>> caller_server::start(caller_settings settings,
                                                            caller_dependencies dependencies) {
    auto implementation = std::make_unique<impl>(std::move(settings), std::move(dependencies));
    if (!implementation->listen()) {
        return error{error_kind::system, "can't open the listener for callers"};
    }
    return std::unique_ptr<caller_server>(new caller_server(std::move(implementation)));
}

int caller_server::port() const {
    mg_server_port ports{};
    return mg_get_server_ports(impl_->context, 1, &ports) > 0 ? ports.port : 0;
}

void caller_server::announce_stop() {
    impl_->server.stop_announced = true;
}

void caller_server::stop_accepting() {
    impl_->server.stopping = true;
}

bool caller_server::drained() const {
    return running() == 0;
}

int caller_server::running() const {
    return impl_->server.running;
}

}  // namespace cyclamenmount
