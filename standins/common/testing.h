//! What contract tests against the stand-ins share.
#pragma once

#include "http_loop/http_loop.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenmount::standins {

//! Longest wait of a test for something that has to come.
inline constexpr milliseconds test_patience{20000};

//! Collects what other threads deliver.
template <typename T>
class collector {
public:
    void add(T value) {
        const std::lock_guard lock(mutex_);
        values_.push_back(std::move(value));
        changed_.notify_all();
    }

    //! All that came, once there are at least `count`; fewer if the patience ends.
    std::vector<T> wait_for(std::size_t count) {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, test_patience, [&] { return values_.size() >= count; });
        return values_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<T> values_;
};

//! One exchange, waited for. Status 0 if it failed.
inline http_response exchange_with(http_loop& loop, const std::string& method,
                                   const std::string& address, const std::string& path,
                                   const std::string& body = "",
                                   const std::vector<std::string>& headers = {}) {
    // Shared with the callback, which may come after the patience has ended.
    const auto answers = std::make_shared<collector<result<http_response>>>();
    loop.submit({method, "http://" + address + path, headers, body, test_patience},
                [answers](result<http_response> answer) { answers->add(std::move(answer)); });
    const auto came = answers->wait_for(1);
    return !came.empty() && came.front() ? came.front().value() : http_response{};
}

}  // namespace cyclamenmount::standins
