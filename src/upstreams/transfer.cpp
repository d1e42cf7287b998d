#include "upstreams/internal/transfer.h"

#include "types/http_status.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cyclamenmount {

const char* name_of(attempt_fault fault) {
    switch (fault) {
    case attempt_fault::none:
        return "none";
    case attempt_fault::window_passed:
        return "start window passed";
    case attempt_fault::connect_failed:
        return "no connection established";
    case attempt_fault::refused_not_run:
        return "refused before execution";
    case attempt_fault::error_status:
        return "HTTP error status";
    case attempt_fault::misdirected:
        return "misdirected response";
    case attempt_fault::duplicate_token:
        return "duplicate token";
    case attempt_fault::out_of_order:
        return "token out of order";
    case attempt_fault::truncated:
        return "truncated response";
    case attempt_fault::malformed:
        return "malformed response";
    case attempt_fault::too_large:
        return "response too large";
    case attempt_fault::connection_lost:
        return "connection lost";
    case attempt_fault::stalled:
        return "silent connection";
    case attempt_fault::deadline_passed:
        return "deadline passed";
    case attempt_fault::cancelled:
        return "cancelled";
    }
    return "unknown";
}

namespace detail {

namespace {

constexpr int status_ok = 200;

attempt_outcome outcome_of(attempt_fault fault) {
    switch (fault) {
    case attempt_fault::none:
        return attempt_outcome::ok;
    case attempt_fault::window_passed:
        return attempt_outcome::not_started;
    case attempt_fault::connect_failed:
    case attempt_fault::refused_not_run:
        return attempt_outcome::refused;
    case attempt_fault::connection_lost:
        return attempt_outcome::died;
    case attempt_fault::stalled:
    case attempt_fault::deadline_passed:
        return attempt_outcome::timed_out;
    case attempt_fault::cancelled:
        return attempt_outcome::cancelled;
    default:
        return attempt_outcome::failed;
    }
}

}  // namespace

transfer::transfer(attempt_call call, grant_guard guard, const upstream_client_settings& settings)
    : call_(std::move(call)), guard_(std::move(guard)),
      first_byte_timeout_(settings.first_byte_timeout),
      stream_idle_timeout_(settings.stream_idle_timeout), easy_(curl_easy_init()),
      started_(boot_clock::now()), last_progress_(started_) {
    reader_.next_index = call_.resume_from;
    set_request(settings);
}

std::string transfer::path() const {
    switch (call_.kind) {
    case pool_kind::engine:
        return "/v1/generate";
    case pool_kind::stage:
        return "/v1/run";
    case pool_kind::service:
        break;
    }
    return "/v1/call/" + call_.stage.value;
}

std::string transfer::body() const {
    if (call_.kind == pool_kind::service) {
        return call_.input;
    }
    nlohmann::json value{{"input", call_.input}};
    if (call_.kind == pool_kind::engine) {
        value["max_tokens"] = call_.max_tokens;
        value["resume_from"] = call_.resume_from;
    }
    return value.dump();
}

void transfer::set_request(const upstream_client_settings& settings) {
    const auto remaining = std::max(call_.deadline - started_, milliseconds(1));
    const std::pair<const char*, std::string> request_headers[] = {
        {"X-Request-Id", call_.request.value},
        {"X-Stage", call_.stage.value},
        {"X-Attempt", call_.attempt.value},
        {"X-Deadline-Ms", std::to_string(remaining.count())},
        {"X-Priority", std::to_string(call_.priority)},
        {"X-Workspace", call_.workspace.value},
        {"X-From-Zone", call_.from_zone.value},
        {"Content-Type", "application/json"},
    };
    for (const auto& [name, value] : request_headers) {
        add_header(headers_, std::string(name) + ": " + value);
    }
    add_header(headers_, "Expect:");
    if (!call_.key.empty()) {
        add_header(headers_, "Idempotency-Key: " + call_.key.value);
    }
    body_ = body();
    CURL* easy = easy_.get();
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + call_.address + path()).c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers_.get());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(body_.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body_.c_str());
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(settings.connect_timeout.count()));
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &transfer::on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &transfer::on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &transfer::on_ready_to_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
    // The upstream may have closed a reused connection, which would leave the outcome of a
    // non-idempotent call unknown.
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call_.key.empty() ? 0L : 1L);
}

std::size_t transfer::on_header(char* data, std::size_t size, std::size_t count, void* user_data) {
    auto& self = *static_cast<transfer*>(user_data);
    self.last_progress_ = boot_clock::now();
    self.response_started_ = true;
    const std::string_view line(data, size * count);
    read_header(self.reader_, line);
    if (line == "\r\n" || line == "\n") {
        long status = 0;
        curl_easy_getinfo(self.easy_.get(), CURLINFO_RESPONSE_CODE, &status);
        const int code = static_cast<int>(status);
        if (!is_final_status(code) && !is_interim_status(code)) {
            return 0;  // fails the attempt and closes its connection
        }
    }
    return size * count;
}

std::size_t transfer::on_body(char* data, std::size_t size, std::size_t count, void* user_data) {
    auto& self = *static_cast<transfer*>(user_data);
    self.last_progress_ = boot_clock::now();
    long status = 0;
    curl_easy_getinfo(self.easy_.get(), CURLINFO_RESPONSE_CODE, &status);
    self.reader_.status = static_cast<int>(status);
    if (!read_body(self.reader_, self.call_, std::string_view(data, size * count))) {
        return 0;
    }
    const bool output_started = self.call_.kind == pool_kind::engine
                                    ? self.reader_.accepted > 0
                                    : self.reader_.status == status_ok;
    if (self.first_token_at_ == instant{} && output_started) {
        self.first_token_at_ = self.last_progress_;
    }
    return size * count;
}

int transfer::on_ready_to_send(void* user_data, char* /*remote_ip*/, char* /*local_ip*/,
                               int /*remote_port*/, int /*local_port*/) {
    auto& self = *static_cast<transfer*>(user_data);
    if (self.sent_) {
        // libcurl is about to repeat the request on a new connection: that would be a second
        // attempt.
        return CURL_PREREQFUNC_ABORT;
    }
    self.last_progress_ = boot_clock::now();
    if (self.last_progress_ >= std::min(self.call_.start_before, self.call_.deadline)) {
        self.window_passed_ = true;
        return CURL_PREREQFUNC_ABORT;
    }
    self.sent_ = true;
    return CURL_PREREQFUNC_OK;
}

std::vector<received_token> transfer::take_tokens() {
    return std::exchange(reader_.tokens, {});
}

instant transfer::next_check() const {
    if (!call_.key.empty()) {
        return call_.deadline;
    }
    const milliseconds idle_limit = response_started_ ? stream_idle_timeout_ : first_byte_timeout_;
    return std::min(call_.deadline, last_progress_ + idle_limit);
}

attempt_fault transfer::check_timeouts(instant now) const {
    if (now >= call_.deadline) {
        return sent_ ? attempt_fault::deadline_passed : attempt_fault::window_passed;
    }
    if (now < next_check()) {
        return attempt_fault::none;
    }
    return sent_ ? attempt_fault::stalled : attempt_fault::connect_failed;
}

attempt_fault transfer::fault_of(CURLcode code) {
    if (window_passed_) {
        return attempt_fault::window_passed;
    }
    if (!sent_) {
        return attempt_fault::connect_failed;
    }
    if (reader_.fault != attempt_fault::none) {
        return reader_.fault;
    }
    if (code == CURLE_OK && is_final_status(reader_.status)) {
        return finish_response(reader_, call_);
    }
    return attempt_fault::connection_lost;
}

attempt_result transfer::finish(CURLcode code) {
    long status = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_RESPONSE_CODE, &status);
    reader_.status = static_cast<int>(status);
    return finish(fault_of(code));
}

attempt_result transfer::finish(attempt_fault fault) {
    attempt_result result;
    result.fault = fault;
    result.outcome = outcome_of(fault);
    result.sent = sent_;
    result.status = reader_.status;
    result.output = std::move(reader_.output);
    result.tokens = reader_.accepted;
    result.busy = reader_.busy;
    result.took = boot_clock::now() - started_;
    if (first_token_at_ != instant{}) {
        result.first_token = std::max(first_token_at_ - started_, milliseconds(1));
    }
    if (reader_.load) {
        result.report = *reader_.load;
        result.report.upstream = call_.upstream;
    }
    if (!sent_ && fault == attempt_fault::cancelled) {
        result.outcome = attempt_outcome::not_started;
    }
    return result;
}

grant_guard transfer::take_guard(const attempt_result& result) {
    attempt_ended& ended = guard_.ended();
    ended.outcome = result.outcome;
    ended.report = result.report;
    ended.took = result.took;
    ended.first_token = result.first_token;
    ended.tokens = result.tokens;
    return std::move(guard_);
}

}  // namespace detail
}  // namespace cyclamenmount
