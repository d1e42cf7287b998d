//! Helpers of the tests that run clients against the stand-ins.
#pragma once

#include "http_loop/http_loop.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenmount::standins {

//! Timeout of a test for an expected value or response.
inline constexpr milliseconds test_timeout{20000};

//! Collects values that other threads add.
template <typename T>
class collector {
public:
    void add(T value) {
        const std::lock_guard lock(mutex_);
        values_.push_back(std::move(value));
        changed_.notify_all();
    }

    //! Waits for at least `count` values and returns all; fewer after the timeout.
    std::vector<T> wait_for(std::size_t count) {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, test_timeout, [&] { return values_.size() >= count; });
        return values_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<T> values_;
};

//! Sends one request and waits for the response. The status is 0 if the request failed.
inline http_response exchange_with(http_loop& loop, const std::string& method,
                                   const std::string& address, const std::string& path,
                                   const std::string& body = "",
                                   const std::vector<std::string>& headers = {}) {
    // Shared with the callback, which may run after the timeout.
    const auto responses = std::make_shared<collector<result<http_response>>>();
    loop.submit(
        {method, "http://" + address + path, headers, body, test_timeout},
        [responses](result<http_response> response) { responses->add(std::move(response)); });
    const auto received = responses->wait_for(1);
    return !received.empty() && received.front() ? received.front().value() : http_response{};
}

}  // namespace cyclamenmount::standins
