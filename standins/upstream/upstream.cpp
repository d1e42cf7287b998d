#include "standins/upstream/upstream.h"

#include "standins/upstream/shared_state.h"

#include <thread>

namespace cyclamenmount::standins {

namespace {

void set_mark(std::optional<instant>& mark, bool marked) {
    if (!marked) {
        mark.reset();
    } else if (!mark.has_value()) {
        mark = boot_clock::now();
    }
}

void apply_control(shared_state& shared, const nlohmann::json& wanted) {
    upstream_machine& machine = shared.machine;
    apply_behaviour(machine.behaviour, wanted);
    if (wanted.contains("marked_out")) {
        set_mark(machine.out_of_service_since, wanted["marked_out"].get<bool>());
    }
    if (wanted.contains("leaving")) {
        set_mark(machine.leaving_since, wanted["leaving"].get<bool>());
    }
    if (wanted.value("turn_cold", false)) {
        turn_cold(machine, boot_clock::now());
    }
    if (wanted.value("crash", false) && !machine.down) {
        crash_upstream(machine, boot_clock::now());
    }
    shared.changed.notify_all();
}

void handle_order(upstream_machine& machine, exchange& current, const nlohmann::json& body) {
    const bool applied = apply_order(machine, body.value("fence", std::uint64_t{0}),
                                     body.value("order", ""), body.value("name", ""));
    current.respond(applied ? 200 : 409, {}, "{}");
}

void handle_post(shared_state& shared, exchange& current) {
    const incoming_request& request = current.request();
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        current.respond(400, {}, "");
        return;
    }
    const std::lock_guard lock(shared.mutex);
    if (request.path == "/v1/orders") {
        handle_order(shared.machine, current, body);
        return;
    }
    if (request.path == "/v1/cancel") {
        cancel_work(shared.machine, {body.value("request", ""), body.value("attempt", "")});
        shared.changed.notify_all();
    } else if (request.path == "/_control") {
        apply_control(shared, body);
    } else {
        current.respond(404, {}, "");
        return;
    }
    current.respond(200, {}, "{}");
}

void handle_get(shared_state& shared, exchange& current) {
    const incoming_request& request = current.request();
    const std::lock_guard lock(shared.mutex);
    upstream_machine& machine = shared.machine;
    refresh(machine, boot_clock::now());
    if (request.path == "/v1/status") {
        ++machine.truth.status_reads;
        current.respond(200, {load_header(machine)}, status_to_json(machine).dump());
    } else if (request.path == "/v1/cache_events") {
        const auto after = static_cast<std::uint64_t>(number_or(query_value(request, "after"), 0));
        current.respond(200, {},
                        cache_events_after(machine.cache, after, boot_clock::now()).dump());
    } else if (request.path == "/_truth") {
        current.respond(200, {}, truth_to_json(machine.truth).dump());
    } else {
        current.respond(404, {}, "");
    }
}

bool is_work(const incoming_request& request) {
    return request.method == "POST" &&
           (request.path == "/v1/run" || request.path == "/v1/generate" ||
            request.path.starts_with("/v1/call/"));
}

//! Returns true for `/v1/` paths while the upstream is down; control paths are still served.
bool is_down(shared_state& shared, const incoming_request& request) {
    const std::lock_guard lock(shared.mutex);
    return shared.machine.down && request.path.starts_with("/v1/");
}

void handle(shared_state& shared, exchange& current) {
    if (is_down(shared, current.request())) {
        current.abandon();
    } else if (is_work(current.request())) {
        handle_work(shared, current);
    } else if (current.request().method == "GET") {
        handle_get(shared, current);
    } else {
        handle_post(shared, current);
    }
}

}  // namespace

struct upstream::impl {
    shared_state shared;
    std::string address;
    std::unique_ptr<http_server> server;
    std::thread supervisor;

    result<void> listen();
    void supervise();
};

result<void> upstream::impl::listen() {
    const std::string& wanted = address.empty() ? shared.machine.settings.listen : address;
    auto started = http_server::start({wanted, shared.machine.settings.threads},
                                      [this](exchange& current) { handle(shared, current); });
    if (!started) {
        return started.error();
    }
    server = std::move(started).value();
    address = server->address();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

//! Stops the server when the upstream crashes, and restarts it after `restart_after`.
void upstream::impl::supervise() {
    std::unique_lock lock(shared.mutex);
    while (true) {
        shared.changed.wait(lock, [this] { return shared.stopping || shared.machine.down; });
        if (shared.stopping) {
            return;
        }
        const instant back_at = boot_clock::now() + shared.machine.behaviour.restart_after;
        lock.unlock();
        server->stop();
        lock.lock();
        shared.changed.wait_for(lock, back_at - boot_clock::now(),
                                [this] { return shared.stopping.load(); });
        if (shared.stopping) {
            return;
        }
        restart(shared.machine, boot_clock::now());
        lock.unlock();
        while (!listen() && !shared.stopping) {
            std::this_thread::sleep_for(100ms);
        }
        lock.lock();
    }
}

upstream::upstream(std::unique_ptr<impl> implementation) : impl_(std::move(implementation)) {}

upstream::~upstream() {
    {
        // Without the lock, a thread between its check and its wait would miss the notification.
        const std::lock_guard lock(impl_->shared.mutex);
        impl_->shared.stopping = true;
    }
    impl_->shared.changed.notify_all();
    impl_->supervisor.join();
    impl_->server->stop();
}

result<std::unique_ptr<upstream>> upstream::start(upstream_settings settings) {
    auto state = std::make_unique<impl>();
    state->shared.machine = make_machine(settings, boot_clock::now());
    auto listening = state->listen();
    if (!listening) {
        return listening.error();
    }
    impl* shared = state.get();
    state->supervisor = std::thread([shared] { shared->supervise(); });
    return std::unique_ptr<upstream>(new upstream(std::move(state)));
}

std::string upstream::address() const {
    return impl_->address;
}

const upstream_settings& upstream::settings() const {
    return impl_->shared.machine.settings;
}

}  // namespace cyclamenmount::standins
