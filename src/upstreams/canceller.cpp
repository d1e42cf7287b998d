#include "upstreams/internal/canceller.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

namespace {

constexpr auto retry_pause = 100ms;
constexpr int active_poll_ms = 50;
constexpr int idle_poll_ms = 1000;
constexpr long max_idle_connections = 16;

std::size_t ignore_body(char* /*data*/, std::size_t size, std::size_t count, void* /*unused*/) {
    return size * count;
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
    for (;;) {
        const bool stopping = send_queued();
        if (stopping && in_flight_.empty()) {
            return;  // every request was sent at least once; pending retries are dropped
        }
        if (!stopping) {
            retry_due();
        }
        int running = 0;
        curl_multi_perform(multi_.get(), &running);
        collect();
        const bool idle = !stopping && in_flight_.empty() && retries_.empty();
        curl_multi_poll(multi_.get(), nullptr, 0, idle ? idle_poll_ms : active_poll_ms, nullptr);
    }
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
        send(std::move(cancel));
    }
    return stopping;
}

void canceller::send(std::unique_ptr<cancel_request> cancel) {
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
    value.cancel = std::move(cancel);
    curl_multi_add_handle(multi_.get(), easy);
    in_flight_.push_back(std::move(value));
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
    const instant now = boot_clock::now();
    if (!ended && now < cancel->retry_until) {
        retries_.emplace(now + retry_pause, std::move(cancel));
    }
}

void canceller::retry_due() {
    const instant now = boot_clock::now();
    while (!retries_.empty() && retries_.begin()->first <= now) {
        std::unique_ptr<cancel_request> cancel = std::move(retries_.begin()->second);
        retries_.erase(retries_.begin());
        send(std::move(cancel));
    }
}

}  // namespace cyclamenmount::detail
