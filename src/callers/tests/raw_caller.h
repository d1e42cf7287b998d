//! HTTP client on a raw socket, so that tests can send input that client libraries reject.
#pragma once

#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace cyclamenmount::testing {

struct caller_request {
    std::string method{"POST"};
    std::string path;
    std::vector<std::string> headers;
    std::string body;
};

struct caller_reply {
    int status{0};  //!< HTTP status; 0 if there was no valid response
    std::string head;
    std::string body;  //!< decoded if the transfer encoding is chunked
};

inline int connect_to(int port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(port));
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)connect(descriptor, reinterpret_cast<sockaddr*>(&name), sizeof(name));
    return descriptor;
}

inline void send_bytes(int descriptor, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return;
        }
        sent += static_cast<std::size_t>(count);
    }
}

inline std::string read_to_end(int descriptor) {
    std::string all;
    char buffer[4096];
    for (auto count = recv(descriptor, buffer, sizeof(buffer), 0); count > 0;
         count = recv(descriptor, buffer, sizeof(buffer), 0)) {
        all.append(buffer, static_cast<std::size_t>(count));
    }
    return all;
}

inline std::string without_chunks(const std::string& bytes) {
    std::string body;
    std::size_t at = 0;
    while (at < bytes.size()) {
        const auto line_end = bytes.find("\r\n", at);
        if (line_end == std::string::npos) {
            break;
        }
        const std::size_t size = std::stoul("0" + bytes.substr(at, line_end - at), nullptr, 16);
        body += bytes.substr(line_end + 2, size);
        at = line_end + 2 + size + 2;
    }
    return body;
}

inline caller_reply parse_reply(const std::string& bytes) {
    caller_reply reply;
    const auto head_end = bytes.find("\r\n\r\n");
    if (head_end == std::string::npos || !bytes.starts_with("HTTP/1.1 ")) {
        return reply;
    }
    reply.head = bytes.substr(0, head_end);
    reply.status = std::stoi("0" + bytes.substr(9, 3));
    reply.body = bytes.substr(head_end + 4);
    if (reply.head.find("chunked") != std::string::npos) {
        reply.body = without_chunks(reply.body);
    }
    return reply;
}

inline caller_reply send_raw(int port, const std::string& bytes) {
    const int descriptor = connect_to(port);
    send_bytes(descriptor, bytes);
    const std::string all = read_to_end(descriptor);
    close(descriptor);
    return parse_reply(all);
}

inline std::string bytes_of(const caller_request& request) {
    std::string bytes = request.method + " " + request.path + " HTTP/1.1\r\nHost: x\r\n";
    for (const std::string& header : request.headers) {
        bytes += header + "\r\n";
    }
    if (request.method == "POST") {
        bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return bytes + "\r\n" + request.body;
}

inline caller_reply send_request(int port, const caller_request& request) {
    return send_raw(port, bytes_of(request));
}

inline std::vector<nlohmann::json> frames_of(const caller_reply& reply) {
    std::vector<nlohmann::json> frames;
    std::size_t at = 0;
    while (at < reply.body.size()) {
        const auto end = std::min(reply.body.find('\n', at), reply.body.size());
        frames.push_back(nlohmann::json::parse(reply.body.substr(at, end - at), nullptr, false));
        at = end + 1;
    }
    return frames;
}

}  // namespace cyclamenmount::testing
