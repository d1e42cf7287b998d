//! Non-blocking TCP sockets owned by value.
#pragma once

#include "types/errors.h"

#include <string>
#include <utility>

namespace cyclamenmount::detail {

//! Closes its descriptor at the end of its life.
class descriptor {
public:
    descriptor() = default;

    explicit descriptor(int value) : value_(value) {}

    ~descriptor();
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;

    descriptor(descriptor&& other) noexcept : value_(std::exchange(other.value_, -1)) {}

    descriptor& operator=(descriptor&& other) noexcept {
        std::swap(value_, other.value_);
        return *this;
    }

    [[nodiscard]] int value() const {
        return value_;
    }

    [[nodiscard]] bool is_open() const {
        return value_ >= 0;
    }

private:
    int value_{-1};
};

//! `address` is IP:PORT; port 0 takes any free one.
result<descriptor> listen_on(const std::string& address);

//! Starts connecting; the socket becomes writable once connected or refused.
result<descriptor> connect_to(const std::string& address);

//! Next waiting connection; not open if there is none.
descriptor accept_from(const descriptor& listener);

//! IP:PORT that a listener is bound to.
std::string bound_address(const descriptor& listener);

//! True unless connecting has failed.
bool is_connected(const descriptor& socket);

//! A descriptor that becomes readable on `notify`.
result<descriptor> make_wake_up();
void notify(const descriptor& wake_up);
void clear(const descriptor& wake_up);

}  // namespace cyclamenmount::detail
