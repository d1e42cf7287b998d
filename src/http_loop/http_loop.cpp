#include "http_loop/http_loop.h"

#include "http_loop/internal/transfer.h"

#include <algorithm>
#include <mutex>
#include <thread>

#include <glog/logging.h>

namespace cyclamenmount {

namespace {

constexpr milliseconds max_poll{1000};
constexpr milliseconds failure_pause{100};  //!< pause after an unexpected exception of the loop

struct multi_deleter {
    void operator()(CURLM* multi) const {
        curl_multi_cleanup(multi);
    }
};

bool initialise_curl() {
    static const CURLcode status = curl_global_init(CURL_GLOBAL_DEFAULT);
    return status == CURLE_OK;
}

//! Calls `work`; returns false and logs the exception if it throws one.
template <typename Work>
bool succeeds(std::string_view action, std::string_view subject, Work work) {
    try {
        work();
        return true;
    } catch (const std::exception& failure) {
        LOG(ERROR) << "HTTP loop: " << action << ' ' << subject
                   << ": unexpected exception: " << failure.what();
        return false;
    }
}

//! Passes the outcome of an exchange to its submitter.
void finish(const detail::transfer& ended, const result<http_response>& outcome) {
    succeeds("response from", ended.request.url, [&] { ended.done(outcome); });
}

}  // namespace

struct http_loop::impl {
    using owned_transfer = std::unique_ptr<detail::transfer>;

    std::unique_ptr<CURLM, multi_deleter> multi;
    std::mutex mutex;
    std::vector<owned_transfer> submitted;  // guarded by the mutex
    bool stopping{false};                   // guarded by the mutex
    std::map<CURL*, owned_transfer> running;
    std::thread thread;

    void run();
    bool enqueue(owned_transfer& pending);
    bool start_submitted();
    void start(owned_transfer& pending);
    bool run_once();
    void complete_finished();
    void complete(CURL* easy, CURLcode code);
    milliseconds end_overdue(instant now);
    void abort_all();
};

//! Starts the submitted transfers; false if the loop has to stop.
bool http_loop::impl::start_submitted() {
    std::vector<owned_transfer> pending;
    bool keep_running = true;
    {
        const std::lock_guard lock(mutex);
        pending.swap(submitted);
        keep_running = !stopping;
    }
    for (owned_transfer& next : pending) {
        if (!succeeds("request to", next->request.url, [&] { start(next); })) {
            finish(*next, error{error_kind::unreachable, "the request could not be started"});
        }
    }
    return keep_running;
}

//! Starts the transfer. After an exception, `pending` still owns it, and it isn't running.
void http_loop::impl::start(owned_transfer& pending) {
    auto prepared = detail::prepare(*pending);
    if (!prepared) {
        finish(*pending, prepared.error());
        return;
    }
    CURL* easy = pending->easy.get();
    owned_transfer& entry = running[easy];
    entry = std::move(pending);
    if (curl_multi_add_handle(multi.get(), easy) != CURLM_OK) {
        const owned_transfer rejected = std::move(running.extract(easy).mapped());
        finish(*rejected,
               error{error_kind::unreachable, "curl_multi_add_handle rejected the transfer"});
    }
}

void http_loop::impl::complete_finished() {
    int messages_left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi.get(), &messages_left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        complete(message->easy_handle, message->data.result);
    }
}

void http_loop::impl::complete(CURL* easy, CURLcode code) {
    const owned_transfer ended = std::move(running.extract(easy).mapped());
    curl_multi_remove_handle(multi.get(), easy);
    finish(*ended, detail::outcome_of(*ended, code));
}

//! Ends the transfers that are overdue by their limit on progress; returns the time until the next
//! look.
milliseconds http_loop::impl::end_overdue(instant now) {
    milliseconds pause = max_poll;
    std::vector<CURL*> overdue;
    for (const auto& [easy, transfer] : running) {
        if (!detail::has_progress_limit(*transfer)) {
            continue;
        }
        if (detail::is_overdue(*transfer, now)) {
            overdue.push_back(easy);
        } else {
            pause = std::min(pause, transfer->next_look - now);
        }
    }
    for (CURL* easy : overdue) {
        complete(easy, CURLE_OPERATION_TIMEDOUT);
    }
    return pause;
}

void http_loop::impl::abort_all() {
    for (const auto& [easy, transfer] : running) {
        curl_multi_remove_handle(multi.get(), easy);
        finish(*transfer, error{error_kind::timeout,
                                "the HTTP loop has ended before the exchange was complete"});
    }
    running.clear();
}

//! One turn of the loop; false if it has to stop.
bool http_loop::impl::run_once() {
    if (!start_submitted()) {
        return false;
    }
    int active = 0;
    curl_multi_perform(multi.get(), &active);
    complete_finished();
    const milliseconds pause = end_overdue(boot_clock::now());
    curl_multi_poll(multi.get(), nullptr, 0, static_cast<int>(pause.count()), nullptr);
    return true;
}

void http_loop::impl::run() {
    bool keep_running = true;
    while (keep_running) {
        if (!succeeds("turn of", "the loop", [&] { keep_running = run_once(); })) {
            std::this_thread::sleep_for(failure_pause);
        }
    }
    abort_all();
}

http_loop::http_loop(std::unique_ptr<impl> implementation) : impl_(std::move(implementation)) {}

http_loop::~http_loop() {
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->stopping = true;
    }
    curl_multi_wakeup(impl_->multi.get());
    impl_->thread.join();
}

result<std::unique_ptr<http_loop>> http_loop::start() {
    auto state = std::make_unique<impl>();
    if (!initialise_curl()) {
        return error{error_kind::system, "curl_global_init returned an error"};
    }
    state->multi.reset(curl_multi_init());
    if (state->multi == nullptr) {
        return error{error_kind::system, "curl_multi_init returned no handle"};
    }
    impl* loop_state = state.get();
    state->thread = std::thread([loop_state] { loop_state->run(); });
    return std::unique_ptr<http_loop>(new http_loop(std::move(state)));
}

//! Takes the transfer and returns true, unless the loop is stopping.
bool http_loop::impl::enqueue(owned_transfer& pending) {
    const std::lock_guard lock(mutex);
    if (stopping) {
        return false;
    }
    submitted.push_back(std::move(pending));
    return true;
}

void http_loop::submit(http_request request, std::function<void(result<http_response>)> done) {
    auto pending = std::make_unique<detail::transfer>();
    pending->request = std::move(request);
    pending->done = std::move(done);
    if (!impl_->enqueue(pending)) {
        pending->done(error{error_kind::unreachable, "the HTTP loop has ended; nothing was sent"});
        return;
    }
    curl_multi_wakeup(impl_->multi.get());
}

}  // namespace cyclamenmount
