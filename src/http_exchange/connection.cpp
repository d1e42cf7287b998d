#include "http_exchange/connection.h"

#include "http_exchange/tcp_options.h"

#include <charconv>

#include <sys/socket.h>

namespace cyclamenmount {

namespace {

constexpr std::size_t max_idle_per_address = 32;

}  // namespace

result<tcp::endpoint> parse_endpoint_address(const std::string& address) {
    const error invalid{error_kind::invalid, "not an IP:PORT address: " + address};
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return invalid;
    }
    error_code failed;
    const auto ip = asio::ip::make_address(address.substr(0, colon), failed);
    unsigned port = 0;
    const char* const end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (failed || parsed.ec != std::errc() || parsed.ptr != end || port == 0 || port > 65535) {
        return invalid;
    }
    return tcp::endpoint(ip, static_cast<unsigned short>(port));
}

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

void connection::release_memory() {
    buffer.shrink_to_fit();
}

struct time_limit::limited_use {
    connection_ptr limited;
    asio::steady_timer timer;
    expiry at_end;
    progress_limit progress;            //!< not used while its step is 0
    std::size_t received_bytes_before;  //!< of the connection at the last look
};

void time_limit::start(const std::shared_ptr<limited_use>& use, milliseconds limit) {
    use->received_bytes_before = use->limited->received_bytes;
    use->timer.expires_after(limit);
    // The handler may run without an error after the cancellation, if the timer has expired
    // already.
    use->timer.async_wait([target = std::weak_ptr(use)](const error_code& cancelled) {
        const auto expired = target.lock();
        // A limit that was replaced as it passed is no longer the current one.
        if (cancelled || !expired || expired->timer.expiry() > std::chrono::steady_clock::now()) {
            return;
        }
        connection& ended = *expired->limited;
        progress_limit& progress = expired->progress;
        if (ended.received_bytes > expired->received_bytes_before &&
            progress.total > progress.step) {
            progress.total -= progress.step;
            start(expired, progress.step);
            return;
        }
        ended.timed_out = true;
        if (expired->at_end == expiry::close) {
            ended.close();
            return;
        }
        error_code ignored;  // the connection may be closed already
        ended.socket.cancel(ignored);
    });
}

time_limit::time_limit(const connection_ptr& limited, milliseconds limit, expiry at_end)
    : use_(std::make_shared<limited_use>(
          limited_use{limited, asio::steady_timer(limited->loop), at_end, {}, 0})) {
    start(use_, std::max(limit, milliseconds(0)));
}

void time_limit::follow_progress(progress_limit limit) {
    use_->progress = limit;
    start(use_, limit.step);
}

time_limit::~time_limit() {
    error_code ignored;  // the timer may have expired already
    use_->timer.cancel(ignored);
}

task<result<connection_ptr>> open_connection(asio::io_context& loop, const std::string& address,
                                             milliseconds limit) {
    const auto endpoint = parse_endpoint_address(address);
    if (!endpoint) {
        co_return endpoint.error();
    }
    auto opened = std::make_shared<connection>(loop, address);
    const time_limit limited(opened, limit);
    error_code failed;
    co_await opened->socket.async_connect(endpoint.value(), redirect_error_to(failed));
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
    idle->release_memory();
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

}  // namespace cyclamenmount
