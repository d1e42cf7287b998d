#include "http_exchange/connection.h"

#include "http_exchange/tcp_options.h"

#include <charconv>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sys/socket.h>

namespace cyclamenmount {

namespace {

//! Idle limit if the server sends no Keep-Alive timeout.
constexpr milliseconds default_idle_limit{4000};
//! Fraction of the server's Keep-Alive timeout after which a connection isn't reused, so that no
//! request is sent while the server closes it.
constexpr double idle_fraction = 0.6;
//! Request bodies from this size on are written while the response is read.
constexpr std::size_t min_concurrent_write_bytes = std::size_t{8} * 1024;
constexpr std::size_t max_idle_per_address = 32;

std::optional<tcp::endpoint> parse_address(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    error_code failed;
    const auto ip = asio::ip::make_address(address.substr(0, colon), failed);
    unsigned port = 0;
    const char* const end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (failed || parsed.ec != std::errc() || parsed.ptr != end || port == 0 || port > 65535) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, static_cast<unsigned short>(port));
}

//! Parses the `timeout=` parameter (seconds) of a Keep-Alive header; none if it is missing.
std::optional<milliseconds> parse_keep_alive_timeout(const http::fields& headers) {
    const auto value = headers[http::field::keep_alive];
    const std::string_view text(value.data(), value.size());
    constexpr std::string_view name = "timeout=";
    const auto at = text.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char* const from = text.data() + at + name.size();
    if (std::from_chars(from, text.data() + text.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

}  // namespace

connection::connection(asio::io_context& event_loop, std::string peer_address)
    : loop(event_loop), socket(event_loop), address(std::move(peer_address)) {}

void connection::close() {
    is_closed = true;
    error_code ignored;  // closing a closed socket is harmless
    socket.close(ignored);
}

bool connection::is_unusable() {
    if (is_closed || buffer.size() != 0) {
        return true;
    }
    char byte = 0;
    const auto count = recv(socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

time_limit::time_limit(const connection_ptr& limited, milliseconds limit)
    : limited_(std::make_shared<connection_ptr>(limited)),
      timer_(limited->loop, std::max(limit, milliseconds(0))) {
    // The handler may run without an error after the cancellation, if the timer has expired
    // already.
    timer_.async_wait([target = std::weak_ptr(limited_)](const error_code& cancelled) {
        const auto expired = target.lock();
        if (!cancelled && expired) {
            (*expired)->timed_out = true;
            (*expired)->close();
        }
    });
}

time_limit::~time_limit() {
    error_code ignored;  // the timer may have expired already
    timer_.cancel(ignored);
}

task<result<connection_ptr>> open_connection(asio::io_context& loop, const std::string& address,
                                             milliseconds limit) {
    const auto endpoint = parse_address(address);
    if (!endpoint) {
        co_return error{error_kind::invalid, "not an IP:PORT address: " + address};
    }
    auto opened = std::make_shared<connection>(loop, address);
    const time_limit limited(opened, limit);
    error_code failed;
    co_await opened->socket.async_connect(*endpoint, redirect_error_to(failed));
    if (failed || opened->is_closed) {
        const bool is_timed_out = opened->timed_out;
        opened->close();
        co_return error{is_timed_out ? error_kind::timeout : error_kind::unreachable,
                        failed.message()};
    }
    set_tcp_options(opened->socket.native_handle());
    co_return opened;
}

task<result<connection_ptr>> connection_pool::acquire(std::string address, milliseconds limit) {
    connection_ptr idle = take_idle(address);
    if (idle) {
        co_return idle;
    }
    co_return co_await open_connection(loop_, address, limit);
}

connection_ptr connection_pool::take_idle(const std::string& address) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& idle_connections = found->second;
    const instant now = boot_clock::now();
    while (!idle_connections.empty()) {
        const connection_ptr newest = std::move(idle_connections.back());
        idle_connections.pop_back();
        if (now - newest->idle_since <= newest->idle_limit && !newest->is_unusable()) {
            return newest;
        }
        newest->close();
    }
    return nullptr;
}

void connection_pool::release(const connection_ptr& idle) {
    auto& idle_connections = idle_[idle->address];
    if (idle->is_closed || idle_connections.size() >= max_idle_per_address) {
        idle->close();
        return;
    }
    idle->idle_since = boot_clock::now();
    idle->is_reused = true;
    idle_connections.push_back(idle);
}

void connection_pool::expire() {
    const instant now = boot_clock::now();
    for (auto& [address, idle_connections] : idle_) {
        std::erase_if(idle_connections, [&](const connection_ptr& one) {
            if (now - one->idle_since <= one->idle_limit) {
                return false;
            }
            one->close();
            return true;
        });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

void connection_pool::discard_idle(const std::string& address) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return;
    }
    for (const connection_ptr& one : found->second) {
        one->close();
    }
    idle_.erase(found);
}

http_request_message make_json_request(http::verb method, const std::string& target,
                                       const std::string& host, std::string body) {
    constexpr unsigned http_version = 11;
    http_request_message request(method, target, http_version);
    request.set(http::field::host, host);
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = std::move(body);
    }
    request.prepare_payload();
    return request;
}

struct request_writer::progress {
    bool is_done{false};
    http::request_serializer<http::string_body> serializer;

    explicit progress(http_request_message& request) : serializer(request) {}
};

request_writer::request_writer(connection_ptr to, http_request_message& request)
    : to_(std::move(to)), request_(request), progress_(std::make_shared<progress>(request)) {}

bool request_writer::is_done() const {
    return progress_->is_done;
}

task<error_code> request_writer::start() {
    error_code failed;
    if (request_.body().size() < min_concurrent_write_bytes) {
        co_await http::async_write(to_->socket, progress_->serializer, redirect_error_to(failed));
        progress_->is_done = !failed;
        co_return failed;
    }
    // Writes a long request in a separate coroutine while the response is read. The copy keeps the
    // body alive if the exchange ends before the write.
    auto copy = std::make_shared<http_request_message>(request_);
    auto state = std::make_shared<progress>(*copy);
    progress_ = state;
    asio::co_spawn(
        to_->loop,
        [to = to_, copy, state]() -> task<> {
            error_code ended;
            co_await http::async_write(to->socket, state->serializer, redirect_error_to(ended));
            state->is_done = !ended;
        },
        asio::detached);
    co_return failed;
}

bool can_be_reused(connection& used, const http::response_header<>& response, bool keep_alive) {
    const auto keep_alive_timeout = parse_keep_alive_timeout(response);
    used.idle_limit =
        keep_alive_timeout
            ? std::chrono::duration_cast<milliseconds>(*keep_alive_timeout * idle_fraction)
            : default_idle_limit;
    return keep_alive && used.buffer.size() == 0 && !used.is_closed;
}

task<exchange_reply> exchange(connection_ptr with, http_request_message& request,
                              milliseconds limit, const response_filter* filter) {
    exchange_reply reply;
    const time_limit limited(with, limit);
    request_writer writer(with, request);
    // A failed write doesn't end the exchange, as the server may have responded early. Without a
    // response, the read below fails.
    (void)co_await writer.start();
    while (true) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_response_bytes);
        parser.header_limit(max_response_head_bytes);
        error_code failed;
        co_await http::async_read_header(with->socket, with->buffer, parser,
                                         redirect_error_to(failed));
        if (failed) {
            break;
        }
        co_await http::async_read(with->socket, with->buffer, parser, redirect_error_to(failed));
        if (failed) {
            break;
        }
        if (filter != nullptr && !(*filter)(parser.get())) {
            continue;
        }
        reply.outcome = exchange_outcome::completed;
        reply.response = parser.release();
        if (!writer.is_done() ||
            !can_be_reused(*with, reply.response, reply.response.keep_alive())) {
            with->close();
        }
        co_return reply;
    }
    reply.outcome = with->timed_out ? exchange_outcome::timed_out : exchange_outcome::broken;
    with->close();
    co_return reply;
}

}  // namespace cyclamenmount
