//! Non-blocking TCP sockets as move-only objects.
#pragma once

#include "types/errors.h"

#include <string>
#include <utility>

namespace cyclamenmount::detail {

//! Owns a file descriptor and closes it on destruction.
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

//! Listens on `address`, which is IP:PORT; port 0 selects any free port.
result<descriptor> listen_on(const std::string& address);

//! Starts a TCP connection; the socket becomes writable when it is established or has failed.
result<descriptor> connect_to(const std::string& address);

//! Accepts a pending connection; the result isn't open if there is none.
descriptor accept_from(const descriptor& listener);

//! IP:PORT that a listener is bound to; empty on a system error.
std::string bound_address(const descriptor& listener);

//! False if the connection attempt has failed.
bool is_connected(const descriptor& socket);

//! Creates an eventfd, used to wake a thread from `poll`: `notify` makes it readable, `clear`
//! unreadable.
result<descriptor> make_wakeup_event();
void notify(const descriptor& wakeup_event);
void clear(const descriptor& wakeup_event);

}  // namespace cyclamenmount::detail
