//! Test server that responds before it has read a request's body, and ends its connections in
//! chosen ways.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cyclamenmount::testing {

//! Connection on which the head of a request has arrived, and at most a little of its body.
class early_connection {
public:
    explicit early_connection(int descriptor) : descriptor_(descriptor) {}

    void send(const std::string& bytes) const {
        (void)::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    //! Ends the own direction in order; the client can still write.
    void finish() const {
        (void)shutdown(descriptor_, SHUT_WR);
    }

    //! Lets the close of the connection send a reset.
    void reset() const {
        const linger abortive{1, 0};
        (void)setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
    }

    //! Reads to the end of the next head on a connection that is kept, with what is left of the
    //! request before it; what came until the client closed the connection if there is none.
    [[nodiscard]] std::string read_next_head() const {
        std::string head;
        char byte = 0;
        while (!head.ends_with("\r\n\r\n") && recv(descriptor_, &byte, 1, 0) == 1) {
            head += byte;
        }
        return head;
    }

    //! Reads until the client closes the connection; returns the number of bytes.
    std::size_t read_on() const {
        std::size_t total = 0;
        char buffer[65536];
        for (auto count = recv(descriptor_, buffer, sizeof(buffer), 0); count > 0;
             count = recv(descriptor_, buffer, sizeof(buffer), 0)) {
            total += static_cast<std::size_t>(count);
        }
        return total;
    }

private:
    int descriptor_;
};

class early_server {
public:
    //! Called with the head of each request; the connection is closed when it returns.
    using script = std::function<void(const std::string& head, const early_connection& on)>;

    explicit early_server(script respond) : respond_(std::move(respond)) {
        // A small receive buffer, so that a long request doesn't fit between the two ends.
        const int receive_bytes = 16 * 1024;
        (void)setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(name);
        (void)bind(listener_, reinterpret_cast<sockaddr*>(&name), size);
        (void)listen(listener_, 64);
        (void)getsockname(listener_, reinterpret_cast<sockaddr*>(&name), &size);
        address_ = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
        acceptor_ = std::thread([this] { accept_all(); });
    }

    ~early_server() {
        (void)shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        {
            const std::lock_guard lock(mutex_);
            for (const int descriptor : open_) {
                (void)shutdown(descriptor, SHUT_RDWR);
            }
        }
        for (std::thread& thread : threads_) {
            thread.join();
        }
        close(listener_);
    }

    early_server(const early_server&) = delete;
    early_server& operator=(const early_server&) = delete;
    early_server(early_server&&) = delete;
    early_server& operator=(early_server&&) = delete;

    [[nodiscard]] const std::string& address() const {
        return address_;
    }

    //! Number of requests so far.
    [[nodiscard]] int requests() const {
        return requests_;
    }

private:
    void accept_all() {
        for (int accepted = accept(listener_, nullptr, nullptr); accepted >= 0;
             accepted = accept(listener_, nullptr, nullptr)) {
            const std::lock_guard lock(mutex_);
            open_.push_back(accepted);
            threads_.emplace_back([this, accepted] { serve(accepted); });
        }
    }

    void serve(int descriptor) {
        const early_connection accepted(descriptor);
        const std::string head = accepted.read_next_head();
        if (head.ends_with("\r\n\r\n")) {
            ++requests_;
            respond_(head, accepted);
        }
        const std::lock_guard lock(mutex_);
        open_.remove(descriptor);
        close(descriptor);
    }

    script respond_;
    int listener_{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    std::string address_;
    std::thread acceptor_;
    std::mutex mutex_;
    std::list<int> open_;
    std::list<std::thread> threads_;
    std::atomic<int> requests_{0};
};

}  // namespace cyclamenmount::testing
