#include "http_loop/internal/transfer.h"

#include "types/http_status.h"

#include <algorithm>
#include <cctype>
#include <string_view>

#include <glog/logging.h>

namespace cyclamenmount::detail {

namespace {

constexpr std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t max_header_line_bytes = std::size_t{64} * 1024;
constexpr long max_idle_seconds = 1;

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front())) != 0) {
        text.remove_prefix(1);
    }
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0) {
        text.remove_suffix(1);
    }
    return text;
}

std::string lower(std::string_view text) {
    std::string lowered(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

//! Calls `receive`; returns 0, which ends the transfer, if it throws an exception, as that must not
//! pass through libcurl's C code.
template <typename Receive>
std::size_t receive_guarded(const transfer& current, Receive receive) noexcept {
    try {
        return receive();
    } catch (const std::exception& failure) {
        LOG(ERROR) << "HTTP loop: response from " << current.request.url
                   << ": unexpected exception: " << failure.what();
        return 0;
    }
}

//! From now on the transfer is given up only for lack of progress, or after the new total.
void follow_progress(transfer& current, instant now) {
    current.latest_end = now + current.request.progress.total;
    current.next_look = std::min(now + current.request.progress.step, *current.latest_end);
    current.received_bytes_before = current.received_bytes;
}

//! Status of the response whose head is being received.
int status_of(const transfer& current) {
    long status = 0;
    curl_easy_getinfo(current.easy.get(), CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
}

std::size_t receive_body(transfer& current, const char* data, std::size_t count) {
    current.received_bytes += count;
    if (current.response.body.size() + count > max_body_bytes) {
        return 0;
    }
    current.response.body.append(data, count);
    return count;
}

std::size_t receive_header(transfer& current, const char* data, std::size_t count) {
    const std::string_view line(data, count);
    current.received_bytes += count;
    if (trimmed(line).empty()) {
        const int status = status_of(current);
        if (!is_final_status(status) && !is_interim_status(status)) {
            return 0;  // fails the exchange and closes its connection
        }
        if (!current.latest_end && is_final_status(status)) {
            follow_progress(current, boot_clock::now());
        }
    }
    if (line.starts_with("HTTP/")) {
        current.response.headers.clear();
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return count;
    }
    if (line.size() > max_header_line_bytes) {
        return 0;
    }
    current.response.headers[lower(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
    return count;
}

std::size_t on_body(char* data, std::size_t /*size*/, std::size_t count, void* user_data) {
    auto& current = *static_cast<transfer*>(user_data);
    return receive_guarded(current, [&] { return receive_body(current, data, count); });
}

std::size_t on_header(char* data, std::size_t /*size*/, std::size_t count, void* user_data) {
    auto& current = *static_cast<transfer*>(user_data);
    return receive_guarded(current, [&] { return receive_header(current, data, count); });
}

void add_header(transfer& pending, const std::string& line) {
    curl_slist* extended = curl_slist_append(pending.headers.get(), line.c_str());
    if (extended != nullptr) {
        static_cast<void>(pending.headers.release());
        pending.headers.reset(extended);
    }
}

void set_connection_options(CURL* easy, const transfer& pending) {
    const bool repeatable = pending.request.method == "GET";
    const long timeout = std::max<long>(1, pending.request.timeout.count());
    if (!has_progress_limit(pending)) {
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout);
    }
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, timeout);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, max_idle_seconds);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, repeatable ? 0L : 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, repeatable ? 0L : 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
}

void set_request_options(CURL* easy, const transfer& pending) {
    curl_easy_setopt(easy, CURLOPT_URL, pending.request.url.c_str());
    if (pending.request.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, pending.request.method.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(pending.request.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, pending.request.body.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, pending.headers.get());
}

//! False only if it is certain that no byte of the request was sent.
bool may_have_sent(CURL* easy) {
    curl_off_t connect_time = 0;
    curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connect_time);
    long connects = 0;
    curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
    long request_bytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    const bool reused = connects == 0;
    return reused || connect_time > 0 || request_bytes > 0;
}

error error_of(const transfer& ended, CURLcode code) {
    const std::string message = ended.request.url + ": " + curl_easy_strerror(code);
    if (code == CURLE_COULDNT_CONNECT) {
        return {error_kind::unreachable, message};
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        const bool sent = may_have_sent(ended.easy.get());
        return {sent ? error_kind::timeout : error_kind::unreachable, message};
    }
    // libcurl reports an unsupported protocol also if the response's status line is malformed.
    const bool is_unusable_url =
        code == CURLE_URL_MALFORMAT ||
        (code == CURLE_UNSUPPORTED_PROTOCOL && !may_have_sent(ended.easy.get()));
    if (is_unusable_url) {
        return {error_kind::unreachable, message};
    }
    return {error_kind::protocol, message};
}

}  // namespace

result<void> prepare(transfer& pending) {
    pending.easy.reset(curl_easy_init());
    if (pending.easy == nullptr) {
        return error{error_kind::system, "curl_easy_init returned no handle"};
    }
    for (const std::string& line : pending.request.headers) {
        add_header(pending, line);
    }
    add_header(pending, "Expect:");
    CURL* easy = pending.easy.get();
    set_connection_options(easy, pending);
    set_request_options(easy, pending);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &pending);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &pending);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &pending);
    pending.next_look = boot_clock::now() + pending.request.timeout;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool is_overdue(transfer& current, instant now) {
    if (now < current.next_look) {
        return false;
    }
    if (!current.latest_end || now >= *current.latest_end ||
        current.received_bytes == current.received_bytes_before) {
        return true;
    }
    current.received_bytes_before = current.received_bytes;
    current.next_look = std::min(now + current.request.progress.step, *current.latest_end);
    return false;
}

result<http_response> outcome_of(transfer& ended, CURLcode code) {
    if (code != CURLE_OK) {
        return error_of(ended, code);
    }
    ended.response.status = status_of(ended);
    if (!is_final_status(ended.response.status)) {
        return error{error_kind::protocol, ended.request.url + ": no final response"};
    }
    return std::move(ended.response);
}

}  // namespace cyclamenmount::detail
