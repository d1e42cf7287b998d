//! Test upstream on a real socket; a function of the test writes the bytes of each response.
#pragma once

#include <atomic>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace cyclamenmount::testing {

struct upstream_request {
    std::string path;
    std::map<std::string, std::string> headers;  //!< names in lower case
    std::string body;
    int number_on_connection{0};  //!< index of the request on its connection, from 0
    bool keep_alive{false};       //!< true if the connection stays open after the response
};

//! Connection on which a request was received.
class reply_socket {
public:
    explicit reply_socket(int descriptor) : descriptor_(descriptor) {}

    void send(const std::string& bytes) const {
        (void)::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    //! Sends the bytes again and again until the client closes the connection.
    void send_endlessly(const std::string& bytes) const {
        std::size_t sent = 0;
        while (true) {
            const auto count =
                ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return;
            }
            sent = (sent + static_cast<std::size_t>(count)) % bytes.size();
        }
    }

    //! Lets the following close send a reset (RST) instead of a normal end.
    void reset() const {
        const linger abortive{1, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
    }

    //! Sends nothing and returns when the client closes the connection.
    void stay_silent() const {
        char byte = 0;
        while (recv(descriptor_, &byte, 1, 0) > 0) {}
    }

private:
    int descriptor_;
};

using upstream_script = std::function<void(const upstream_request&, const reply_socket&)>;

class scripted_upstream {
public:
    explicit scripted_upstream(upstream_script script, bool keep_alive = false)
        : script_(std::move(script)), keep_alive_(keep_alive) {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
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

    ~scripted_upstream() {
        shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        {
            const std::lock_guard lock(mutex_);
            for (const int descriptor : open_sockets_) {
                shutdown(descriptor, SHUT_RDWR);
            }
        }
        for (std::thread& thread : threads_) {
            thread.join();
        }
        close(listener_);
    }

    scripted_upstream(const scripted_upstream&) = delete;
    scripted_upstream& operator=(const scripted_upstream&) = delete;
    scripted_upstream(scripted_upstream&&) = delete;
    scripted_upstream& operator=(scripted_upstream&&) = delete;

    [[nodiscard]] const std::string& address() const {
        return address_;
    }

    //! All requests received so far, except cancel requests.
    std::vector<upstream_request> requests() {
        const std::lock_guard lock(mutex_);
        return requests_;
    }

    [[nodiscard]] int cancels() const {
        return cancels_;
    }

private:
    void accept_all() {
        for (;;) {
            const int descriptor = accept(listener_, nullptr, nullptr);
            if (descriptor < 0) {
                return;
            }
            const std::lock_guard lock(mutex_);
            open_sockets_.push_back(descriptor);
            threads_.emplace_back([this, descriptor] { serve(descriptor); });
        }
    }

    void serve(int descriptor) {
        upstream_request request;
        for (int number = 0; read_request(descriptor, request); ++number) {
            request.number_on_connection = number;
            request.keep_alive = keep_alive_;
            respond(descriptor, request);
            if (!keep_alive_ || number > 0) {
                break;
            }
        }
        const std::lock_guard lock(mutex_);
        open_sockets_.remove(descriptor);
        close(descriptor);
    }

    void respond(int descriptor, const upstream_request& request) {
        const reply_socket socket(descriptor);
        if (request.path == "/v1/cancel") {
            ++cancels_;
            socket.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
            return;
        }
        {
            const std::lock_guard lock(mutex_);
            requests_.push_back(request);
        }
        script_(request, socket);
    }

    static bool read_request(int descriptor, upstream_request& request) {
        std::string bytes;
        std::size_t head_end = std::string::npos;
        std::size_t length = 0;
        while (head_end == std::string::npos || bytes.size() < head_end + 4 + length) {
            char buffer[4096];
            const auto count = recv(descriptor, buffer, sizeof(buffer), 0);
            if (count <= 0) {
                return false;
            }
            bytes.append(buffer, static_cast<std::size_t>(count));
            if (head_end == std::string::npos) {
                head_end = bytes.find("\r\n\r\n");
                if (head_end != std::string::npos) {
                    read_head(bytes.substr(0, head_end), request);
                    length = std::stoul("0" + request.headers["content-length"]);
                }
            }
        }
        request.body = bytes.substr(head_end + 4, length);
        return true;
    }

    static void read_head(const std::string& head, upstream_request& request) {
        const auto first = head.find(' ');
        request.path = head.substr(first + 1, head.find(' ', first + 1) - first - 1);
        std::size_t at = head.find("\r\n");
        while (at != std::string::npos) {
            const auto end = head.find("\r\n", at + 2);
            const std::string line = head.substr(at + 2, end - at - 2);
            const auto colon = line.find(':');
            std::string name = line.substr(0, colon);
            for (char& c : name) {
                c = static_cast<char>(std::tolower(c));
            }
            request.headers[name] = line.substr(std::min(colon + 2, line.size()));
            at = end;
        }
    }

    upstream_script script_;
    bool keep_alive_;
    int listener_{-1};
    std::string address_;
    std::thread acceptor_;
    std::mutex mutex_;
    std::list<int> open_sockets_;
    std::list<std::thread> threads_;
    std::vector<upstream_request> requests_;
    std::atomic<int> cancels_{0};
};

//! Response head that echoes the identity headers of the request. `extra` holds further header
//! lines, each with its line end.
inline std::string answer_head(const upstream_request& request, int status,
                               const std::string& extra) {
    const auto echoed = [&request](const char* name) {
        return std::string(name) + ": " + request.headers.at(name) + "\r\n";
    };
    const std::string connection = request.keep_alive ? "" : "Connection: close\r\n";
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + echoed("x-request-id") +
           echoed("x-stage") + echoed("x-attempt") + connection +
           "X-Load: in_flight=1;capacity=8;state=warm;incarnation=i1\r\n" + extra + "\r\n";
}

inline nlohmann::json echo_body(const upstream_request& request) {
    return {{"request", request.headers.at("x-request-id")},
            {"stage", request.headers.at("x-stage")},
            {"attempt", request.headers.at("x-attempt")}};
}

inline void send_whole(const upstream_request& request, const reply_socket& socket, int status,
                       const std::string& body) {
    socket.send(
        answer_head(request, status, "Content-Length: " + std::to_string(body.size()) + "\r\n") +
        body);
}

//! Sends a valid response of a stage or service.
inline void send_output(const upstream_request& request, const reply_socket& socket,
                        const std::string& output) {
    nlohmann::json body = echo_body(request);
    body["output"] = output;
    body["busy_ms"] = 3;
    send_whole(request, socket, 200, body.dump());
}

inline void send_not_run(const upstream_request& request, const reply_socket& socket) {
    send_whole(request, socket, 503, R"({"execution":"not_run"})");
}

//! Sends the head of a token stream in chunked encoding; `end_stream` sends the last chunk.
inline void begin_stream(const upstream_request& request, const reply_socket& socket) {
    socket.send(answer_head(request, 200,
                            "Content-Type: application/x-ndjson\r\n"
                            "Transfer-Encoding: chunked\r\n"));
}

inline void send_line(const reply_socket& socket, const nlohmann::json& line) {
    const std::string text = line.dump() + "\n";
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    socket.send(size + text + "\r\n");
}

inline void send_token(const upstream_request& request, const reply_socket& socket, int index) {
    nlohmann::json line = echo_body(request);
    line["index"] = index;
    line["token"] = "t" + std::to_string(index) + " ";
    send_line(socket, line);
}

inline void send_done(const upstream_request& request, const reply_socket& socket, int count) {
    nlohmann::json line = echo_body(request);
    line["done"] = true;
    line["count"] = count;
    line["busy_ms"] = 5;
    send_line(socket, line);
}

inline void end_stream(const reply_socket& socket) {
    socket.send("0\r\n\r\n");
}

inline int resume_from(const upstream_request& request) {
    return nlohmann::json::parse(request.body).value("resume_from", 0);
}

//! Sends a valid token stream up to index `count` - 1, from the requested index on.
inline void stream_tokens(const upstream_request& request, const reply_socket& socket, int count) {
    begin_stream(request, socket);
    for (int index = resume_from(request); index < count; ++index) {
        send_token(request, socket, index);
    }
    send_done(request, socket, count);
    end_stream(socket);
}

}  // namespace cyclamenmount::testing
