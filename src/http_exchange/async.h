//! Helpers for Boost.Asio coroutines: task type, completion token, wake-up signal and pause.
#pragma once

// Boost 1.74's awaitable.hpp uses std::exchange without including <utility>.
#include "types/time.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
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

//! Completion token that suspends the coroutine and stores an error in `failed` instead of
//! throwing.
inline auto redirect_error_to(error_code& failed) {
    return asio::redirect_error(asio::use_awaitable, failed);
}

//! Wakes a single waiting coroutine. Used on one event loop.
class signal {
public:
    explicit signal(asio::io_context& loop) : timer_(loop) {}

    //! Ends the current wait, or the next one if no coroutine is waiting.
    void notify() {
        is_set_ = true;
        timer_.cancel();
    }

    //! Returns when notified, but no later than after `limit`.
    task<> wait(milliseconds limit) {
        if (!is_set_) {
            timer_.expires_after(std::max(limit, milliseconds(0)));
            error_code ignored;  // cancelled if notified; no error if the limit has passed
            co_await timer_.async_wait(redirect_error_to(ignored));
        }
        is_set_ = false;
    }

private:
    asio::steady_timer timer_;
    bool is_set_{false};
};

//! Suspends the coroutine for `time`.
inline task<> pause(asio::io_context& loop, milliseconds time) {
    asio::steady_timer timer(loop, time);
    error_code ignored;  // the wait is cancelled only when the event loop is destroyed
    co_await timer.async_wait(redirect_error_to(ignored));
}

}  // namespace cyclamenmount
