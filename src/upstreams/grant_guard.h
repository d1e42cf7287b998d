//! Guard that posts exactly one `attempt_ended` for each granted attempt.
#pragma once

#include "types/events.h"

#include <exception>
#include <functional>
#include <utility>

#include <glog/logging.h>

namespace cyclamenmount {

//! Posts `attempt_ended` once: on `post_end` or in its destructor, whichever is first.
class grant_guard {
public:
    grant_guard(std::function<void(event)> post, attempt_id attempt, upstream_id upstream)
        : post_(std::move(post)) {
        ended_.attempt = std::move(attempt);
        ended_.upstream = std::move(upstream);
        ended_.outcome = attempt_outcome::not_started;
    }

    ~grant_guard() {
        try {
            post_end();
        } catch (const std::exception& failure) {
            LOG(ERROR) << "upstreams: end of attempt " << ended_.attempt.value
                       << ": unexpected exception: " << failure.what();
        }
    }

    grant_guard(const grant_guard&) = delete;
    grant_guard& operator=(const grant_guard&) = delete;

    grant_guard(grant_guard&& other) noexcept
        : post_(std::exchange(other.post_, nullptr)), ended_(std::move(other.ended_)) {}

    grant_guard& operator=(grant_guard&&) = delete;

    //! Event that will be posted; may be changed until then.
    attempt_ended& ended() {
        return ended_;
    }

    void post_end() {
        if (post_) {
            std::exchange(post_, nullptr)(ended_);
        }
    }

private:
    std::function<void(event)> post_;
    attempt_ended ended_;
};

}  // namespace cyclamenmount
