#include "http_loop/http_loop.h"

#include "http_loop/internal/transfer.h"

#include <mutex>
#include <thread>

namespace cyclamenmount {

namespace {

constexpr int longest_poll_ms = 1000;

struct multi_deleter {
    void operator()(CURLM* multi) const {
        curl_multi_cleanup(multi);
    }
};

bool initialise_curl() {
    static const CURLcode status = curl_global_init(CURL_GLOBAL_DEFAULT);
    return status == CURLE_OK;
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
    bool enqueue(owned_transfer& wanted);
    bool start_submitted();
    void start(owned_transfer wanted);
    void finish_ended();
    void end_all();
};

//! Starts what was submitted; false once the loop has to end.
bool http_loop::impl::start_submitted() {
    std::vector<owned_transfer> wanted;
    bool go_on = true;
    {
        const std::lock_guard lock(mutex);
        wanted.swap(submitted);
        go_on = !stopping;
    }
    for (owned_transfer& next : wanted) {
        start(std::move(next));
    }
    return go_on;
}

void http_loop::impl::start(owned_transfer wanted) {
    auto prepared = detail::prepare(*wanted);
    if (!prepared) {
        wanted->done(prepared.error());
        return;
    }
    CURL* easy = wanted->easy.get();
    if (curl_multi_add_handle(multi.get(), easy) != CURLM_OK) {
        wanted->done(error{error_kind::unreachable, "the transfer can't be added"});
        return;
    }
    running.emplace(easy, std::move(wanted));
}

void http_loop::impl::finish_ended() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi.get(), &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        CURL* easy = message->easy_handle;
        const CURLcode code = message->data.result;
        const owned_transfer ended = std::move(running.extract(easy).mapped());
        curl_multi_remove_handle(multi.get(), easy);
        ended->done(detail::outcome_of(*ended, code));
    }
}

void http_loop::impl::end_all() {
    for (const auto& [easy, transfer] : running) {
        curl_multi_remove_handle(multi.get(), easy);
        transfer->done(error{error_kind::timeout, "the loop has ended"});
    }
    running.clear();
}

void http_loop::impl::run() {
    while (start_submitted()) {
        int active = 0;
        curl_multi_perform(multi.get(), &active);
        finish_ended();
        curl_multi_poll(multi.get(), nullptr, 0, longest_poll_ms, nullptr);
    }
    end_all();
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
        return error{error_kind::system, "libcurl can't be initialised"};
    }
    state->multi.reset(curl_multi_init());
    if (state->multi == nullptr) {
        return error{error_kind::system, "libcurl gave no multi handle"};
    }
    impl* shared = state.get();
    state->thread = std::thread([shared] { shared->run(); });
    return std::unique_ptr<http_loop>(new http_loop(std::move(state)));
}

//! Takes the transfer unless the loop is ending.
bool http_loop::impl::enqueue(owned_transfer& wanted) {
    const std::lock_guard lock(mutex);
    if (stopping) {
        return false;
    }
    submitted.push_back(std::move(wanted));
    return true;
}

void http_loop::submit(http_request request, std::function<void(result<http_response>)> done) {
    auto wanted = std::make_unique<detail::transfer>();
    wanted->request = std::move(request);
    wanted->done = std::move(done);
    if (!impl_->enqueue(wanted)) {
        wanted->done(error{error_kind::unreachable, "the loop has ended"});
        return;
    }
    curl_multi_wakeup(impl_->multi.get());
}

}  // namespace cyclamenmount
