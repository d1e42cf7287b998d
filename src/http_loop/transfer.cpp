#include "http_loop/internal/transfer.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace cyclamenmount::detail {

namespace {

constexpr std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t max_header_bytes = std::size_t{64} * 1024;
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

std::size_t take_body(char* data, std::size_t /*size*/, std::size_t count, void* user) {
    auto* current = static_cast<transfer*>(user);
    if (current->response.body.size() + count > max_body_bytes) {
        return 0;
    }
    current->response.body.append(data, count);
    return count;
}

std::size_t take_header(char* data, std::size_t /*size*/, std::size_t count, void* user) {
    auto* current = static_cast<transfer*>(user);
    const std::string_view line(data, count);
    if (line.starts_with("HTTP/")) {
        current->response.headers.clear();
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return count;
    }
    if (line.size() > max_header_bytes) {
        return 0;
    }
    current->response.headers[lower(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
    return count;
}

void add_header(transfer& wanted, const std::string& line) {
    curl_slist* grown = curl_slist_append(wanted.headers.get(), line.c_str());
    if (grown != nullptr) {
        static_cast<void>(wanted.headers.release());
        wanted.headers.reset(grown);
    }
}

void set_connection_options(CURL* easy, const transfer& wanted) {
    const bool repeatable = wanted.request.method == "GET";
    const long timeout = std::max<long>(1, wanted.request.timeout.count());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout);
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

void set_request_options(CURL* easy, const transfer& wanted) {
    curl_easy_setopt(easy, CURLOPT_URL, wanted.request.url.c_str());
    if (wanted.request.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, wanted.request.method.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(wanted.request.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, wanted.request.body.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, wanted.headers.get());
}

//! True unless it is certain that no byte of the request left.
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
    if (code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL) {
        return {error_kind::unreachable, message};
    }
    return {error_kind::protocol, message};
}

}  // namespace

result<void> prepare(transfer& wanted) {
    wanted.easy.reset(curl_easy_init());
    if (wanted.easy == nullptr) {
        return error{error_kind::system, "no memory for a transfer"};
    }
    for (const std::string& line : wanted.request.headers) {
        add_header(wanted, line);
    }
    add_header(wanted, "Expect:");
    CURL* easy = wanted.easy.get();
    set_connection_options(easy, wanted);
    set_request_options(easy, wanted);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &take_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &wanted);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &take_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &wanted);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &wanted);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<http_response> outcome_of(transfer& ended, CURLcode code) {
    if (code != CURLE_OK) {
        return error_of(ended, code);
    }
    long status = 0;
    curl_easy_getinfo(ended.easy.get(), CURLINFO_RESPONSE_CODE, &status);
    ended.response.status = static_cast<int>(status);
    return std::move(ended.response);
}

}  // namespace cyclamenmount::detail
