#include "http_exchange/connection_end.h"

#include <algorithm>
#include <vector>

#include <sys/resource.h>

namespace cyclamenmount {

namespace {

//! Bytes that are dropped before the connection is reset after all, so that a peer that never stops
//! doesn't take the processor for the whole time.
constexpr std::size_t max_dropped_bytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t most_closing = 512;
//! Fraction of the descriptors that closing connections may take.
constexpr std::size_t descriptor_divisor = 4;
constexpr std::size_t drop_bytes = std::size_t{64} * 1024;

//! Counts a connection that is being closed.
class closing_guard {
public:
    explicit closing_guard(std::shared_ptr<closing_connections> all) : all_(std::move(all)) {
        ++all_->count;
    }

    ~closing_guard() {
        --all_->count;
    }

    closing_guard(const closing_guard&) = delete;
    closing_guard& operator=(const closing_guard&) = delete;
    closing_guard(closing_guard&&) = delete;
    closing_guard& operator=(closing_guard&&) = delete;

private:
    std::shared_ptr<closing_connections> all_;
};

//! Receives bytes that nobody needs and returns their number; an error at the end of the
//! connection.
std::size_t drop_received(tcp::socket& from, error_code& failed) {
    // One buffer for all connections, as the bytes aren't used; on the heap, as thread-local
    // storage is taken from the stacks of all threads.
    static thread_local std::vector<char> dropped(drop_bytes);
    const std::size_t count = from.read_some(asio::buffer(dropped), failed);
    if (failed == asio::error::would_block) {
        failed = {};
    }
    return count;
}

}  // namespace

std::shared_ptr<closing_connections> make_closing_connections() {
    rlimit descriptors{};
    std::size_t max = most_closing;
    if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0) {
        max = std::min<std::size_t>(max, descriptors.rlim_cur / descriptor_divisor);
    }
    return std::make_shared<closing_connections>(closing_connections{0, max, 0});
}

task<> close_in_order(connection_ptr ended, std::shared_ptr<closing_connections> all,
                      milliseconds limit) {
    if (ended->is_closed) {
        co_return;
    }
    if (all->count >= all->max) {
        ++all->closed_at_once;
        ended->close();
        co_return;
    }
    const closing_guard counted(all);
    const time_limit limited(ended, limit);
    ended->buffer.clear();
    ended->release_memory();
    error_code failed;
    ended->socket.shutdown(tcp::socket::shutdown_send, failed);
    if (!failed) {
        ended->socket.non_blocking(true, failed);
    }
    std::size_t received = 0;
    while (!failed && received < max_dropped_bytes) {
        co_await ended->socket.async_wait(tcp::socket::wait_read, redirect_error_to(failed));
        if (!failed) {
            received += drop_received(ended->socket, failed);
        }
    }
    ended->close();
}

}  // namespace cyclamenmount
