//! Non-blocking TCP sockets as move-only objects.
#include "peers/internal/sockets.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <memory>

#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cyclamenmount::detail {

namespace {

constexpr int backlog = 128;  // connections that wait to be accepted

struct address_list_deleter {
    void operator()(addrinfo* list) const {
        freeaddrinfo(list);
    }
};

using address_list = std::unique_ptr<addrinfo, address_list_deleter>;

error system_error(const char* what) {
    return {error_kind::system, std::string(what) + ": " + std::strerror(errno)};
}

result<address_list> parse_address(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return error{error_kind::invalid, "not a numeric IP:PORT address: " + address};
    }
    addrinfo hints{};
    hints.ai_family = AF_UNSPEC;
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    addrinfo* found = nullptr;
    const std::string host = address.substr(0, colon);
    const std::string port = address.substr(colon + 1);
    if (getaddrinfo(host.c_str(), port.c_str(), &hints, &found) != 0) {
        return error{error_kind::invalid, "not a numeric IP:PORT address: " + address};
    }
    return address_list(found);
}

descriptor open_socket(const addrinfo& address) {
    return descriptor(
        socket(address.ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP));
}

void send_without_delay(const descriptor& socket) {
    const int on = 1;
    setsockopt(socket.value(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

descriptor::~descriptor() {
    if (value_ >= 0) {
        close(value_);
    }
}

result<descriptor> listen_on(const std::string& address) {
    auto parsed = parse_address(address);
    if (!parsed) {
        return parsed.error();
    }
    const addrinfo& target = *parsed.value();
    descriptor listener = open_socket(target);
    const int on = 1;
    setsockopt(listener.value(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(listener.value(), target.ai_addr, target.ai_addrlen) != 0) {
        return system_error("failed to bind the listening socket");
    }
    if (listen(listener.value(), backlog) != 0) {
        return system_error("failed to listen on the bound socket");
    }
    return listener;
}

result<descriptor> connect_to(const std::string& address) {
    auto parsed = parse_address(address);
    if (!parsed) {
        return parsed.error();
    }
    const addrinfo& target = *parsed.value();
    descriptor created = open_socket(target);
    if (!created.is_open()) {
        return system_error("failed to create a socket");
    }
    send_without_delay(created);
    const int status = connect(created.value(), target.ai_addr, target.ai_addrlen);
    if (status != 0 && errno != EINPROGRESS) {
        return system_error("failed to start a TCP connection");
    }
    return created;
}

descriptor accept_from(const descriptor& listener) {
    descriptor accepted(accept4(listener.value(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted.is_open()) {
        send_without_delay(accepted);
    }
    return accepted;
}

std::string bound_address(const descriptor& listener) {
    sockaddr_storage bound{};
    socklen_t size = sizeof bound;
    std::array<char, NI_MAXHOST> host{};
    std::array<char, NI_MAXSERV> port{};
    auto* generic = reinterpret_cast<sockaddr*>(&bound);
    if (getsockname(listener.value(), generic, &size) != 0 ||
        getnameinfo(generic, size, host.data(), host.size(), port.data(), port.size(),
                    NI_NUMERICHOST | NI_NUMERICSERV) != 0) {
        return {};
    }
    return std::string(host.data()) + ":" + port.data();
}

bool is_connected(const descriptor& socket) {
    int socket_error = 0;
    socklen_t size = sizeof socket_error;
    return getsockopt(socket.value(), SOL_SOCKET, SO_ERROR, &socket_error, &size) == 0 &&
           socket_error == 0;
}

result<descriptor> make_wakeup_event() {
    descriptor created(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (!created.is_open()) {
        return system_error("failed to create an eventfd");
    }
    return created;
}

void notify(const descriptor& wakeup_event) {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = write(wakeup_event.value(), &one, sizeof one);
}

void clear(const descriptor& wakeup_event) {
    std::uint64_t count = 0;
    [[maybe_unused]] const auto taken = read(wakeup_event.value(), &count, sizeof count);
}

}  // namespace cyclamenmount::detail
