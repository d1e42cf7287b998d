#include "platform/platform_client.h"

#include "platform/internal/answers.h"

#include <atomic>

namespace cyclamenmount {

namespace {

//! Share of the time limit of a call that a watch may be late before it counts as silent.
constexpr int watch_lateness_percent = 66;

struct shared_counters {
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> watches{0};
    std::atomic<std::uint64_t> lists{0};
    std::atomic<std::uint64_t> failures{0};
};

//! Outlives the client while answers are still to come.
struct reporter {
    std::function<void(event)> post;
    shared_counters counters;
};

template <typename Answer>
void report(reporter& to, Answer answer) {
    if (answer.status == store_status::unknown) {
        ++to.counters.failures;
    }
    to.post(std::move(answer));
}

}  // namespace

struct platform_client::impl {
    platform_settings settings;
    http_loop& loop;
    std::shared_ptr<reporter> to;

    [[nodiscard]] http_request make_request(std::string method, const std::string& path) const;
    template <typename Interpret>
    void submit(http_request request, Interpret interpret);
};

http_request platform_client::impl::make_request(std::string method,
                                                 const std::string& path) const {
    http_request request;
    request.method = std::move(method);
    request.url = "http://" + settings.address + path;
    request.headers = {"X-Client: " + settings.client_name};
    request.timeout = settings.timeout;
    return request;
}

template <typename Interpret>
void platform_client::impl::submit(http_request request, Interpret interpret) {
    loop.submit(std::move(request), [target = to, interpret](const detail::http_result& answer) {
        report(*target, interpret(answer));
    });
}

platform_client::platform_client(std::unique_ptr<impl> implementation)
    : impl_(std::move(implementation)) {}

platform_client::~platform_client() = default;

result<std::unique_ptr<platform_client>> platform_client::start(platform_settings settings,
                                                                http_loop& loop,
                                                                std::function<void(event)> post) {
    if (settings.address.empty()) {
        return error{error_kind::invalid, "the Object API's address is missing"};
    }
    auto to = std::make_shared<reporter>();
    to->post = std::move(post);
    auto state = std::make_unique<impl>(impl{std::move(settings), loop, std::move(to)});
    return std::unique_ptr<platform_client>(new platform_client(std::move(state)));
}

void platform_client::carry_out(const store_read& wanted) {
    ++impl_->to->counters.reads;
    impl_->submit(impl_->make_request("GET", "/v1/objects/" + detail::encode_path(wanted.key)),
                  [number = wanted.number, key = wanted.key](const detail::http_result& answer) {
                      return detail::read_answer(number, key, answer);
                  });
}

void platform_client::carry_out(const store_write& wanted) {
    ++impl_->to->counters.writes;
    http_request request =
        impl_->make_request("PUT", "/v1/objects/" + detail::encode_path(wanted.key));
    const bool creates = wanted.expected == 0;
    request.headers.push_back(creates ? "If-None-Match: *"
                                      : "If-Match: \"" + std::to_string(wanted.expected) + "\"");
    request.body = wanted.value;
    impl_->submit(std::move(request),
                  [number = wanted.number, key = wanted.key](const detail::http_result& answer) {
                      return detail::write_answer(number, key, answer);
                  });
}

void platform_client::carry_out(const watch_prefix& wanted) {
    ++impl_->to->counters.watches;
    http_request request =
        impl_->make_request("GET", "/v1/watch?prefix=" + detail::encode_path(wanted.prefix) +
                                       "&after=" + std::to_string(wanted.after) +
                                       "&timeout_ms=" + std::to_string(wanted.timeout.count()));
    request.timeout = wanted.timeout + impl_->settings.timeout * watch_lateness_percent / 100;
    impl_->submit(std::move(request), [prefix = wanted.prefix,
                                       after = wanted.after](const detail::http_result& answer) {
        return detail::watch_answer(prefix, after, answer);
    });
}

void platform_client::carry_out(const list_instances& /*wanted*/) {
    ++impl_->to->counters.lists;
    impl_->submit(impl_->make_request("GET", "/v1/instances"), detail::list_answer);
}

platform_counters platform_client::counters() const {
    const shared_counters& counted = impl_->to->counters;
    return {counted.reads, counted.writes, counted.watches, counted.lists, counted.failures};
}

}  // namespace cyclamenmount
