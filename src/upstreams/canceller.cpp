#include "upstreams/internal/canceller.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

namespace {

constexpr auto retry_pause = 100ms;
constexpr int poll_limit_ms = 50;
constexpr int idle_limit_ms = 1000;
constexpr long connections_kept = 16;

std::size_t ignore_body(char* /*data*/, std::size_t size, std::size_t count, void* /*unused*/) {
    return size * count;
}

}  // namespace

canceller::canceller(milliseconds timeout) : timeout_(timeout), multi_(curl_multi_init()) {
    curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS, connections_kept);
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

void canceller::enqueue(cancel_order order) {
    {
        const std::lock_guard lock(mutex_);
        orders_.push_back(std::make_unique<cancel_order>(std::move(order)));
    }
    curl_multi_wakeup(multi_.get());
}

void canceller::run() {
    for (;;) {
        const bool stopping = take_orders();
        if (stopping && sending_.empty()) {
            return;  // each order was sent once; what is waiting to be sent again isn't
        }
        if (!stopping) {
            retry_due();
        }
        int running = 0;
        curl_multi_perform(multi_.get(), &running);
        collect();
        const bool idle = !stopping && sending_.empty() && retries_.empty();
        curl_multi_poll(multi_.get(), nullptr, 0, idle ? idle_limit_ms : poll_limit_ms, nullptr);
    }
}

bool canceller::take_orders() {
    std::deque<std::unique_ptr<cancel_order>> taken;
    bool stopping = false;
    {
        const std::lock_guard lock(mutex_);
        taken.swap(orders_);
        stopping = stopping_;
    }
    for (auto& order : taken) {
        send(std::move(order));
    }
    return stopping;
}

void canceller::send(std::unique_ptr<cancel_order> order) {
    sending value;
    value.easy.reset(curl_easy_init());
    add_header(value.headers, "Content-Type: application/json");
    add_header(value.headers, "X-Request-Id: " + order->request.value);
    add_header(value.headers, "X-Attempt: " + order->attempt.value);
    const nlohmann::json body{{"request", order->request.value}, {"attempt", order->attempt.value}};
    value.body = body.dump();
    CURL* easy = value.easy.get();
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + order->address + "/v1/cancel").c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, value.headers.get());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(value.body.size()));
    curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, value.body.c_str());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_.count()));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &ignore_body);
    value.order = std::move(order);
    curl_multi_add_handle(multi_.get(), easy);
    sending_.push_back(std::move(value));
}

void canceller::collect() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_.get(), &left)) {
        if (message->msg == CURLMSG_DONE) {
            end(message->easy_handle, message->data.result);
        }
    }
}

void canceller::end(CURL* handle, CURLcode code) {
    curl_multi_remove_handle(multi_.get(), handle);
    const auto found = std::ranges::find_if(
        sending_, [handle](const sending& value) { return value.easy.get() == handle; });
    std::unique_ptr<cancel_order> order = std::move(found->order);
    sending_.erase(found);
    // No listener: the process that ran the attempt is gone.
    const bool ended = code == CURLE_OK || code == CURLE_COULDNT_CONNECT;
    const instant now = boot_clock::now();
    if (!ended && now < order->give_up_at) {
        retries_.emplace(now + retry_pause, std::move(order));
    }
}

void canceller::retry_due() {
    const instant now = boot_clock::now();
    while (!retries_.empty() && retries_.begin()->first <= now) {
        std::unique_ptr<cancel_order> order = std::move(retries_.begin()->second);
        retries_.erase(retries_.begin());
        send(std::move(order));
    }
}

}  // namespace cyclamenmount::detail
