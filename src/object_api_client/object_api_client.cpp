#include "object_api_client/object_api_client.h"

#include "object_api_client/internal/responses.h"
#include "types/store_limits.h"

#include <atomic>

namespace cyclamenmount {

namespace {

//! A watch times out if its response is late by more than this percentage of the call timeout.
constexpr int max_watch_delay_percent = 66;
//! A response that stops for this long is given up: well over a round trip with a lost packet.
constexpr milliseconds response_step{500};

struct shared_counters {
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> watches{0};
    std::atomic<std::uint64_t> lists{0};
    std::atomic<std::uint64_t> failures{0};
};

//! Posts results and counts calls. Shared with pending calls, so it may outlive the client.
struct result_poster {
    std::function<void(event)> post;
    shared_counters counters;
};

template <typename Event>
void post_result(result_poster& poster, Event happened) {
    if (happened.status == store_status::unknown) {
        ++poster.counters.failures;
    }
    poster.post(std::move(happened));
}

}  // namespace

struct object_api_client::impl {
    object_api_settings settings;
    http_loop& loop;
    std::shared_ptr<result_poster> poster;

    [[nodiscard]] http_request make_request(std::string method, const std::string& path) const;
    template <typename Interpret>
    void submit(http_request request, Interpret interpret);
};

http_request object_api_client::impl::make_request(std::string method,
                                                   const std::string& path) const {
    http_request request;
    request.method = std::move(method);
    request.url = "http://" + settings.address + path;
    request.headers = {"X-Client: " + settings.client_name};
    request.timeout = settings.timeout;
    return request;
}

template <typename Interpret>
void object_api_client::impl::submit(http_request request, Interpret interpret) {
    loop.submit(std::move(request),
                [poster = poster, interpret](const detail::http_result& response) {
                    post_result(*poster, interpret(response));
                });
}

object_api_client::object_api_client(std::unique_ptr<impl> implementation)
    : impl_(std::move(implementation)) {}

object_api_client::~object_api_client() = default;

result<std::unique_ptr<object_api_client>>
object_api_client::start(object_api_settings settings, http_loop& loop,
                         std::function<void(event)> post) {
    if (settings.address.empty()) {
        return error{error_kind::invalid, "the Object API address is missing in the settings"};
    }
    auto poster = std::make_shared<result_poster>();
    poster->post = std::move(post);
    auto state = std::make_unique<impl>(impl{std::move(settings), loop, std::move(poster)});
    return std::unique_ptr<object_api_client>(new object_api_client(std::move(state)));
}

void object_api_client::carry_out(const store_read& wanted) {
    ++impl_->poster->counters.reads;
    impl_->submit(impl_->make_request("GET", "/v1/objects/" + detail::encode_path(wanted.key)),
                  [number = wanted.number, key = wanted.key](const detail::http_result& response) {
                      return detail::interpret_read(number, key, response);
                  });
}

void object_api_client::carry_out(const store_write& wanted) {
    ++impl_->poster->counters.writes;
    http_request request =
        impl_->make_request("PUT", "/v1/objects/" + detail::encode_path(wanted.key));
    const bool creates = wanted.expected == 0;
    request.headers.push_back(creates ? "If-None-Match: *"
                                      : "If-Match: \"" + std::to_string(wanted.expected) + "\"");
    request.body = wanted.value;
    impl_->submit(std::move(request),
                  [number = wanted.number, key = wanted.key](const detail::http_result& response) {
                      return detail::interpret_write(number, key, response);
                  });
}

void object_api_client::carry_out(const watch_prefix& wanted) {
    ++impl_->poster->counters.watches;
    http_request request =
        impl_->make_request("GET", "/v1/watch?prefix=" + detail::encode_path(wanted.prefix) +
                                       "&after=" + std::to_string(wanted.after) +
                                       "&timeout_ms=" + std::to_string(wanted.timeout.count()));
    request.timeout = wanted.timeout + impl_->settings.timeout * max_watch_delay_percent / 100;
    request.progress = {response_step, longest_store_response};
    impl_->submit(std::move(request), [wanted](const detail::http_result& response) {
        watch_ended ended = detail::interpret_watch(wanted.prefix, wanted.after, response);
        ended.number = wanted.number;
        return ended;
    });
}

void object_api_client::carry_out(const list_instances& /*wanted*/) {
    ++impl_->poster->counters.lists;
    http_request request = impl_->make_request("GET", "/v1/instances");
    request.progress = {response_step, longest_store_response};
    impl_->submit(std::move(request), detail::interpret_instance_list);
}

object_api_counters object_api_client::counters() const {
    const shared_counters& counted = impl_->poster->counters;
    return {counted.reads, counted.writes, counted.watches, counted.lists, counted.failures};
}

}  // namespace cyclamenmount
