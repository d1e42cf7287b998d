#include "standins/object_api/object_api.h"

#include "standins/object_api/call_faults.h"
#include "standins/object_api/instance_registry.h"
#include "standins/object_api/object_store.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace cyclamenmount::standins {

namespace {

constexpr milliseconds wait_check_period{50};
constexpr milliseconds max_unresponsive_time{30000};
constexpr std::string_view objects_path = "/v1/objects/";

std::string quoted(std::uint64_t version) {
    return "ETag: \"" + std::to_string(version) + "\"";
}

//! Version required by If-Match, 0 for `If-None-Match: *` (the object must not exist); none without
//! a valid condition.
std::optional<std::uint64_t> expected_version(const incoming_request& request) {
    if (header_of(request, "if-none-match") == "*") {
        return 0;
    }
    std::string text = header_of(request, "if-match");
    std::erase(text, '"');
    const long long version = number_or(text, -1);
    if (version <= 0) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(version);
}

call_kind kind_of(const incoming_request& request) {
    if (request.method == "PUT" || request.method == "DELETE") {
        return call_kind::write;
    }
    const bool waits = query_value(request, "after").has_value();
    return waits ? call_kind::watch : call_kind::read;
}

}  // namespace

struct object_api::impl {
    std::mutex mutex;
    std::condition_variable changed;
    object_store store;
    instance_registry instances;
    call_faults faults;
    rate_window reads;
    rate_window writes;
    call_statistics statistics;
    std::atomic<bool> stopping{false};
    // Declared last: destroyed before the state that its handlers use.
    std::unique_ptr<http_server> server;

    void handle(exchange& current);
    void handle_control(exchange& current);
    bool admit(exchange& current, call_kind kind);
    void read_one(exchange& current, const std::string& key);
    void write_one(exchange& current, const std::string& key);
    write_outcome apply_write(const incoming_request& request, const std::string& key,
                              std::uint64_t expected);
    void read_all(exchange& current);
    void watch_objects(exchange& current);
    void watch_instances(exchange& current);
    template <typename Ready, typename MakeBody>
    void respond_when_ready(exchange& current, Ready ready, MakeBody make_body);
    void hold_without_response(exchange& current);
};

void object_api::impl::handle(exchange& current) {
    const incoming_request& request = current.request();
    if (!request.path.starts_with("/v1/")) {
        handle_control(current);
        return;
    }
    if (!admit(current, kind_of(request))) {
        return;
    }
    if (request.path == "/v1/objects") {
        read_all(current);
    } else if (request.path == "/v1/watch") {
        watch_objects(current);
    } else if (request.path == "/v1/instances") {
        watch_instances(current);
    } else if (request.path.starts_with(objects_path)) {
        const std::string key = request.path.substr(objects_path.size());
        request.method == "GET" ? read_one(current, key) : write_one(current, key);
    } else {
        current.respond(404, {}, "");
    }
}

//! Applies the simulated outage, delay and rate limits. Returns false if the call was rejected or
//! dropped.
bool object_api::impl::admit(exchange& current, call_kind kind) {
    const std::string client = header_of(current.request(), "x-client");
    std::unique_lock lock(mutex);
    count_call(statistics, client, kind);
    if (faults.down) {
        current.abandon();
        return false;
    }
    const bool writing = kind == call_kind::write;
    const int rate = writing ? faults.writes_per_second : faults.reads_per_second;
    if (!admit_call(writing ? writes : reads, rate, boot_clock::now())) {
        count_refused(statistics, client);
        current.respond(429, {"Retry-After: 1"}, "");
        return false;
    }
    const milliseconds delay = faults.delay;
    changed.wait_for(lock, delay, [this] { return stopping || faults.down; });
    if (stopping || faults.down) {
        current.abandon();
        return false;
    }
    return true;
}

void object_api::impl::read_one(exchange& current, const std::string& key) {
    const std::lock_guard lock(mutex);
    const object_record* found = find_object(store, key);
    if (found == nullptr) {
        current.respond(404, {}, "");
        return;
    }
    current.respond(200, {quoted(found->version)}, found->value);
}

write_outcome object_api::impl::apply_write(const incoming_request& request, const std::string& key,
                                            std::uint64_t expected) {
    const write_outcome outcome = request.method == "DELETE"
                                      ? delete_object(store, key, expected)
                                      : put_object(store, key, request.body, expected);
    changed.notify_all();
    return outcome;
}

void object_api::impl::write_one(exchange& current, const std::string& key) {
    const incoming_request& request = current.request();
    const std::optional<std::uint64_t> expected = expected_version(request);
    const bool deleting = request.method == "DELETE";
    if (!expected.has_value() || (!deleting && request.method != "PUT")) {
        current.respond(400, {}, "an If-Match or If-None-Match condition is required");
        return;
    }
    if (request.body.size() > max_value_bytes) {
        current.respond(413, {}, "");
        return;
    }
    const std::lock_guard lock(mutex);
    const write_outcome outcome = apply_write(request, key, *expected);
    if (faults.lose_answers > 0) {
        --faults.lose_answers;
        current.abandon();
        return;
    }
    if (!outcome.done) {
        const bool absent = outcome.version == 0;
        const std::vector<std::string> headers =
            absent ? std::vector<std::string>{} : std::vector{quoted(outcome.version)};
        current.respond(deleting && absent ? 404 : 412, headers, "");
        return;
    }
    current.respond(deleting ? 204 : 200, {quoted(outcome.version)}, "");
}

void object_api::impl::read_all(exchange& current) {
    const std::string prefix = query_value(current.request(), "prefix").value_or("");
    const std::lock_guard lock(mutex);
    current.respond(200, {"Content-Type: application/json"}, list_objects(store, prefix).dump());
}

//! Long poll: responds with `make_body()` once `ready()` is true, or with 304 after `timeout_ms`.
template <typename Ready, typename MakeBody>
void object_api::impl::respond_when_ready(exchange& current, Ready ready, MakeBody make_body) {
    const milliseconds limit(number_or(query_value(current.request(), "timeout_ms"), 0));
    const instant deadline = boot_clock::now() + limit;
    std::unique_lock lock(mutex);
    while (true) {
        if (faults.silent_watches) {
            lock.unlock();
            hold_without_response(current);
            return;
        }
        if (stopping || faults.down) {
            current.abandon();
            return;
        }
        publish_due(instances, boot_clock::now());
        if (ready()) {
            current.respond(200, {"Content-Type: application/json"}, make_body().dump());
            return;
        }
        if (boot_clock::now() >= deadline) {
            current.respond(304, {}, "");
            return;
        }
        changed.wait_for(lock, wait_check_period);
    }
}

void object_api::impl::hold_without_response(exchange& current) {
    const instant deadline = boot_clock::now() + max_unresponsive_time;
    while (!stopping && !current.peer_gone() && boot_clock::now() < deadline) {
        std::this_thread::sleep_for(wait_check_period);
    }
    current.abandon();
}

void object_api::impl::watch_objects(exchange& current) {
    const std::string prefix = query_value(current.request(), "prefix").value_or("");
    const auto after =
        static_cast<std::uint64_t>(number_or(query_value(current.request(), "after"), 0));
    respond_when_ready(
        current, [&] { return has_newer(store, prefix, after); },
        [&] { return list_newer(store, prefix, after); });
}

void object_api::impl::watch_instances(exchange& current) {
    const std::optional<std::string> after = query_value(current.request(), "after");
    if (!after.has_value()) {
        const std::lock_guard lock(mutex);
        publish_due(instances, boot_clock::now());
        current.respond(200, {"Content-Type: application/json"}, list_instances(instances).dump());
        return;
    }
    const auto known = static_cast<std::uint64_t>(number_or(after, 0));
    respond_when_ready(
        current, [&] { return instances.revision > known; },
        [&] { return list_instances(instances); });
}

void object_api::impl::handle_control(exchange& current) {
    const incoming_request& request = current.request();
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    const bool has_object = body.is_object();
    const std::lock_guard lock(mutex);
    if (request.path == "/_stats") {
        current.respond(200, {}, statistics_to_json(statistics).dump());
        return;
    }
    if (request.path == "/_stats/reset") {
        statistics = {};
    } else if (request.path == "/_fault" && has_object) {
        apply_fault(faults, body);
        changed.notify_all();
    } else if (request.path == "/_instances" && has_object && body.contains("id")) {
        set_instance(instances,
                     {body.value("id", ""), body.value("address", ""), body.value("zone", ""),
                      body.value("role", ""), body.value("state", "live")},
                     boot_clock::now(), faults.list_lag);
    } else {
        current.respond(400, {}, "");
        return;
    }
    current.respond(200, {}, "{}");
}

object_api::object_api(std::unique_ptr<impl> implementation) : impl_(std::move(implementation)) {}

object_api::~object_api() {
    {
        // Without the lock, a thread between its check and its wait would miss the notification.
        const std::lock_guard lock(impl_->mutex);
        impl_->stopping = true;
    }
    impl_->changed.notify_all();
    impl_->server->stop();
}

result<std::unique_ptr<object_api>> object_api::start(const server_settings& settings) {
    auto state = std::make_unique<impl>();
    impl* shared = state.get();
    auto started =
        http_server::start(settings, [shared](exchange& current) { shared->handle(current); });
    if (!started) {
        return started.error();
    }
    state->server = std::move(started).value();
    return std::unique_ptr<object_api>(new object_api(std::move(state)));
}

std::string object_api::address() const {
    return impl_->server->address();
}

}  // namespace cyclamenmount::standins
