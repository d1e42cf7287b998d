#include "upstreams/internal/canceller.h"

#include <algorithm>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

namespace {

constexpr auto retry_pause = 100ms;
constexpr auto failure_pause = 100ms;  //!< pause after an unexpected exception of the loop
constexpr int active_poll_ms = 50;
constexpr int idle_poll_ms = 1000;
constexpr long max_idle_connections = 16;

std::size_t ignore_body(char* /*data*/, std::size_t size, std::size_t count, void* /*unused*/) {
    return size * count;
}

//! Calls `work`; returns false and logs the exception if it throws one.
template <typename Work>
bool succeeds(std::string_view action, std::string_view subject, Work work) {
    try {
        work();
        return true;
    } catch (const std::exception& failure) {
        LOG(ERROR) << "upstreams: " << action << ' ' << subject
                   << ": unexpected exception: " << failure.what();
        return false;
    }
}

}  // namespace

canceller::canceller(milliseconds timeout) : timeout_(timeout), multi_(curl_multi_init()) {
    curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS, max_idle_connections);
    thread_ = std::thread([this] { run(); });
}

canceller::~canceller() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    curl_multi_wakeup(multi_.get());
    thread_.join();
}

void canceller::enqueue(cancel_request cancel) {
    {
        const std::lock_guard lock(mutex_);
        queue_.push_back(std::make_unique<cancel_request>(std::move(cancel)));
    }
    curl_multi_wakeup(multi_.get());
}

void canceller::run() {
    bool keep_running = true;
    while (keep_running) {
        if (!succeeds("turn of", "the canceller", [&] { keep_running = run_once(); })) {
            std::this_thread::sleep_for(failure_pause);
        }
    }
}

bool canceller::run_once() {
    const bool stopping = send_queued();
    if (stopping && in_flight_.empty()) {
        return false;  // every request was sent at least once; pending retries are dropped
    }
    if (!stopping) {
        retry_due();
    }
    int running = 0;
    curl_multi_perform(multi_.get(), &running);
    collect();
    const bool idle = !stopping && in_flight_.empty() && retries_.empty();
    curl_multi_poll(multi_.get(), nullptr, 0, idle ? idle_poll_ms : active_poll_ms, nullptr);
    return true;
}

bool canceller::send_queued() {
    std::deque<std::unique_ptr<cancel_request>> taken;
    bool stopping = false;
    {
        const std::lock_guard lock(mutex_);
        taken.swap(queue_);
        stopping = stopping_;
    }
    for (auto& cancel : taken) {
        send_or_retry(std::move(cancel));
    }
    return stopping;
}

void canceller::send_or_retry(std::unique_ptr<cancel_request> cancel) {
    if (!succeeds("cancel request to", cancel->address, [&] { send(cancel); })) {
        retry_later(std::move(cancel));
    }
}

void canceller::retry_later(std::unique_ptr<cancel_request> cancel) {
    const instant now = boot_clock::now();
    if (now < cancel->retry_until) {
        retries_.emplace(now + retry_pause, std::move(cancel));
    }
}

//! Sends the request and takes it, unless an exception is thrown.
void canceller::send(std::unique_ptr<cancel_request>& cancel) {
    in_flight_call value;
    value.easy.reset(curl_easy_init());
    add_header(value.headers, "Content-Type: application/json");
    add_header(value.headers, "X-Request-Id: " + cancel->request.value);
    add_header(value.headers, "X-Attempt: " + cancel->attempt.value);
    const nlohmann::json body{{"request", cancel->request.value},
                              {"attempt", cancel->attempt.value}};
    value.body = body.dump();
    CURL* easy = value.easy.get();
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + cancel->address + "/v1/cancel").c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, value.headers.get());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(value.body.size()));
    curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, value.body.c_str());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_.count()));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &ignore_body);
    in_flight_.push_back(std::move(value));
    in_flight_.back().cancel = std::move(cancel);
    curl_multi_add_handle(multi_.get(), easy);
}

void canceller::collect() {
    int messages_left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_.get(), &messages_left)) {
        if (message->msg == CURLMSG_DONE) {
            finish_call(message->easy_handle, message->data.result);
        }
    }
}

void canceller::finish_call(CURL* handle, CURLcode code) {
    curl_multi_remove_handle(multi_.get(), handle);
    const auto found = std::ranges::find_if(
        in_flight_, [handle](const in_flight_call& value) { return value.easy.get() == handle; });
    std::unique_ptr<cancel_request> cancel = std::move(found->cancel);
    in_flight_.erase(found);
    // Without a listener, the process that ran the attempt has exited.
    const bool ended = code == CURLE_OK || code == CURLE_COULDNT_CONNECT;
    if (!ended) {
        retry_later(std::move(cancel));
    }
}

void canceller::retry_due() {
    const instant now = boot_clock::now();
    while (!retries_.empty() && retries_.begin()->first <= now) {
        std::unique_ptr<cancel_request> cancel = std::move(retries_.begin()->second);
        retries_.erase(retries_.begin());
        send_or_retry(std::move(cancel));
    }
}

}  // namespace cyclamenmount::detail
