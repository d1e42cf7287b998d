#include "standins/common/exchange.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <arpa/inet.h>
#include <civetweb.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace cyclamenmount::standins {

namespace {

constexpr std::size_t read_chunk_bytes = 16384;
constexpr std::size_t max_query_value_bytes = 2048;
constexpr int first_descriptor = 3;

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string read_body(mg_connection* connection) {
    std::string body;
    std::array<char, read_chunk_bytes> buffer{};
    while (true) {
        const int got = mg_read(connection, buffer.data(), buffer.size());
        if (got <= 0) {
            return body;
        }
        body.append(buffer.data(), static_cast<std::size_t>(got));
    }
}

incoming_request read_request(mg_connection* connection) {
    const mg_request_info* info = mg_get_request_info(connection);
    incoming_request request;
    request.method = info->request_method;
    request.path = info->local_uri == nullptr ? "" : info->local_uri;
    request.query = info->query_string == nullptr ? "" : info->query_string;
    for (int i = 0; i < info->num_headers; ++i) {
        request.headers[lower(info->http_headers[i].name)] = info->http_headers[i].value;
    }
    request.body = read_body(connection);
    return request;
}

std::string format_head(mg_connection* connection, int status,
                        const std::vector<std::string>& headers) {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " +
                       mg_get_response_code_text(connection, status) + "\r\n";
    for (const std::string& line : headers) {
        head += line + "\r\n";
    }
    return head;
}

int port_of(int socket, bool remote) {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    const int status =
        remote ? getpeername(socket, generic, &length) : getsockname(socket, generic, &length);
    return status == 0 && address.sin_family == AF_INET ? ntohs(address.sin_port) : -1;
}

int descriptor_scan_end() {
    constexpr rlim_t max_scanned_descriptors = 20000;
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<int>(std::min(limit.rlim_cur, max_scanned_descriptors));
}

//! Returns the descriptor of a connection, -1 if not found. CivetWeb doesn't expose it, so it is
//! identified by the connection's remote and local port.
int find_descriptor(mg_connection* connection) {
    const mg_request_info* info = mg_get_request_info(connection);
    const int end = descriptor_scan_end();
    for (int candidate = first_descriptor; candidate < end; ++candidate) {
        if (port_of(candidate, true) == info->remote_port &&
            port_of(candidate, false) == info->server_port) {
            return candidate;
        }
    }
    return -1;
}

}  // namespace

std::string header_of(const incoming_request& request, const std::string& name) {
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

std::optional<std::string> query_value(const incoming_request& request, const std::string& name) {
    std::array<char, max_query_value_bytes> buffer{};
    const int length = mg_get_var(request.query.data(), request.query.size(), name.c_str(),
                                  buffer.data(), buffer.size());
    if (length < 0) {
        return std::nullopt;
    }
    return std::string(buffer.data(), static_cast<std::size_t>(length));
}

long long number_or(const std::optional<std::string>& text, long long otherwise) {
    long long value = 0;
    if (!text.has_value()) {
        return otherwise;
    }
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
    return parsed.ec == std::errc() ? value : otherwise;
}

exchange::exchange(mg_connection* connection)
    : connection_(connection), request_(read_request(connection)) {}

void exchange::respond(int status, const std::vector<std::string>& headers, std::string_view body) {
    std::string response = format_head(connection_, status, headers);
    if (status != 204 && status != 304) {
        response += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    response += "\r\n";
    response += body;
    mg_write(connection_, response.data(), response.size());
}

void exchange::respond_truncated(int status, const std::vector<std::string>& headers,
                                 std::string_view body) {
    std::string response = format_head(connection_, status, headers);
    response += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    response += body.substr(0, body.size() / 2);
    mg_write(connection_, response.data(), response.size());
    abandon();
}

bool exchange::begin_stream(int status, const std::vector<std::string>& headers) {
    const std::string head =
        format_head(connection_, status, headers) + "Transfer-Encoding: chunked\r\n\r\n";
    return mg_write(connection_, head.data(), head.size()) > 0;
}

bool exchange::write_chunk(std::string_view data) {
    return mg_send_chunk(connection_, data.data(), static_cast<unsigned>(data.size())) > 0;
}

void exchange::end_stream() {
    mg_send_chunk(connection_, "", 0);
}

void exchange::abandon() {
    mg_disable_connection_keep_alive(connection_);
}

int exchange::socket() {
    if (!socket_.has_value()) {
        socket_ = find_descriptor(connection_);
    }
    return *socket_;
}

bool exchange::peer_gone() {
    return is_closed(socket());
}

void shut_down_port(int server_port) {
    const int end = descriptor_scan_end();
    for (int candidate = first_descriptor; candidate < end; ++candidate) {
        if (port_of(candidate, false) == server_port) {
            shutdown(candidate, SHUT_RDWR);
        }
    }
}

bool is_closed(int socket) {
    pollfd watched{socket, POLLRDHUP, 0};
    return socket >= 0 && poll(&watched, 1, 0) > 0 &&
           (watched.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace cyclamenmount::standins
