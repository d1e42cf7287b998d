#include "callers/internal/http_exchange.h"

#include "http_server/request_framing.h"
#include "pipeline/problem.h"

#include <array>
#include <cstdio>

#include <civetweb.h>
#include <strings.h>

namespace cyclamenmount::detail {

namespace {

constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;

std::string_view view_of(const char* text) {
    return text == nullptr ? std::string_view() : std::string_view(text);
}

const char* reason_phrase(int status) {
    return mg_get_response_code_text(nullptr, status);
}

//! Returns the value of a header, the last one if it is repeated; sets `times` to how often it
//! came.
std::optional<std::string> header_value(const mg_request_info& info, const char* name, int& times) {
    std::optional<std::string> value;
    times = 0;
    for (int at = 0; at < info.num_headers; ++at) {
        if (strcasecmp(info.http_headers[at].name, name) == 0) {
            value = info.http_headers[at].value;
            times += 1;
        }
    }
    return value;
}

refusal refuse(refusal_reason reason, std::string detail, std::string place) {
    return {reason, execution::not_run, std::move(detail), std::move(place), {}};
}

}  // namespace

http_exchange::http_exchange(mg_connection* connection) : connection_(connection) {}

std::string_view http_exchange::method() const {
    return view_of(mg_get_request_info(connection_)->request_method);
}

std::string_view http_exchange::path() const {
    return view_of(mg_get_request_info(connection_)->local_uri_raw);
}

std::string_view http_exchange::query() const {
    return view_of(mg_get_request_info(connection_)->query_string);
}

decided<request_headers> http_exchange::headers() const {
    const mg_request_info& info = *mg_get_request_info(connection_);
    if (!is_well_framed(framing_of(info))) {
        return refuse(refusal_reason::malformed,
                      "the end of the request can't be told from its headers", "Transfer-Encoding");
    }
    request_headers found;

    struct wanted_header {
        const char* name;
        std::optional<std::string>& value;
    };

    const std::array wanted{wanted_header{"Authorization", found.authorization},
                            wanted_header{"X-Deadline-Ms", found.deadline},
                            wanted_header{"Idempotency-Key", found.idempotency_key}};
    for (const wanted_header& header : wanted) {
        int times = 0;
        header.value = header_value(info, header.name, times);
        if (times > 1) {
            return refuse(refusal_reason::malformed, "the header is repeated", header.name);
        }
    }
    return found;
}

decided<std::string> http_exchange::read_body(std::size_t limit) const {
    const long long content_length = mg_get_request_info(connection_)->content_length;
    const refusal too_large = refuse(refusal_reason::too_large,
                                     "the limit is " + std::to_string(limit) + " bytes", "body");
    if (content_length > static_cast<long long>(limit)) {
        return too_large;
    }
    std::string body;
    std::array<char, 16384> buffer{};
    for (;;) {
        const int count = mg_read(connection_, buffer.data(), buffer.size());
        if (count < 0) {
            return refuse(refusal_reason::malformed, "the body can't be read", "body");
        }
        if (count == 0) {
            break;
        }
        body.append(buffer.data(), static_cast<std::size_t>(count));
        if (body.size() > limit) {
            return too_large;
        }
    }
    if (content_length >= 0 && body.size() != static_cast<std::size_t>(content_length)) {
        return refuse(refusal_reason::malformed, "the body is shorter than Content-Length", "body");
    }
    return body;
}

bool http_exchange::send(std::string_view bytes) {
    return mg_write(connection_, bytes.data(), bytes.size()) == static_cast<int>(bytes.size());
}

bool http_exchange::chunked() const {
    return view_of(mg_get_request_info(connection_)->http_version) != "1.0";
}

bool http_exchange::send_head(int status, std::string_view type, std::string_view length_line) {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) + "\r\n";
    head += "Content-Type: " + std::string(type) + "\r\n";
    head += length_line;
    if (status == status_unauthorized) {
        head += "WWW-Authenticate: Bearer\r\n";
    }
    head += "Cache-Control: no-store\r\nConnection: close\r\n\r\n";
    return send(head);
}

void http_exchange::send_json(int status, std::string_view body) {
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (send_head(status, "application/json", length)) {
        send(body);
    }
}

void http_exchange::send_problem(const refusal& refused) {
    const std::string body = problem_json(refused).dump();
    std::string lines = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (refused.retry_after > 0ms) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refused.retry_after);
        lines += "Retry-After: " + std::to_string(seconds.count()) + "\r\n";
    }
    if (send_head(http_status_of(refused.reason), "application/problem+json", lines)) {
        send(body);
    }
}

bool http_exchange::send_frames(const response_part& part, std::size_t from) {
    if (!streaming_ && part.refused && from == 0 && part.frames.size() == 1) {
        send_problem(*part.refused);
        return true;
    }
    const std::string_view framing = chunked() ? "Transfer-Encoding: chunked\r\n" : "";
    if (!streaming_ && !send_head(status_ok, "application/x-ndjson", framing)) {
        return false;
    }
    streaming_ = true;
    std::string lines;
    for (const std::string& frame : part.frames) {
        lines += frame;
        lines += '\n';
    }
    if (!chunked()) {
        return send(lines);
    }
    std::string bytes;
    if (!lines.empty()) {
        std::array<char, 24> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", lines.size());
        bytes = size.data() + lines + "\r\n";
    }
    if (part.ended) {
        bytes += "0\r\n\r\n";
    }
    return send(bytes);
}

}  // namespace cyclamenmount::detail
