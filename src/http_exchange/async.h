//! Coroutines of the edge's event loops.
#pragma once

// Boost 1.74's awaitable.hpp uses std::exchange without including <utility>.
#include "types/time.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cyclamenmount {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

template <typename T = void>
using task = asio::awaitable<T>;

//! Completion token: the coroutine waits, and errors go to `failed` instead of being thrown.
inline auto waiting(error_code& failed) {
    return asio::redirect_error(asio::use_awaitable, failed);
}

//! Wakes one waiting coroutine of the same event loop.
class signal {
public:
    explicit signal(asio::io_context& loop) : timer_(loop) {}

    //! A notification before the wait isn't lost.
    void notify() {
        is_set_ = true;
        timer_.cancel();
    }

    //! Returns when notified, at the latest after `limit`.
    task<> wait(milliseconds limit) {
        if (!is_set_) {
            timer_.expires_after(std::max(limit, milliseconds(0)));
            error_code ignored;  // cancelled: notified; none: the limit has passed
            co_await timer_.async_wait(waiting(ignored));
        }
        is_set_ = false;
    }

private:
    asio::steady_timer timer_;
    bool is_set_{false};
};

inline task<> pause(asio::io_context& loop, milliseconds time) {
    asio::steady_timer timer(loop, time);
    error_code ignored;  // only the end of the loop cancels it
    co_await timer.async_wait(waiting(ignored));
}

}  // namespace cyclamenmount
