#include "app/daemon.h"

#include "callers/caller_server.h"
#include "control_loop/control_loop.h"
#include "object_api_client/object_api_client.h"
#include "operators/operator_server.h"
#include "peers/peer_network.h"
#include "secrets/secrets.h"
#include "telemetry/metrics.h"
#include "types/enum_names.h"
#include "upstream_control/upstream_control.h"

#include <thread>

#include <glog/logging.h>

namespace cyclamenmount {

namespace {

constexpr milliseconds poll_timeout = 400ms;
constexpr milliseconds drain_poll = 20ms;
constexpr milliseconds final_flush_delay = 200ms;

void write_log(const log_line& line) {
    switch (line.level) {
    case severity::info:
        LOG(INFO) << enum_name(line.from) << ": " << line.text;
        break;
    case severity::warning:
        LOG(WARNING) << enum_name(line.from) << ": " << line.text;
        break;
    case severity::error:
        LOG(ERROR) << enum_name(line.from) << ": " << line.text;
        break;
    }
}

environment make_environment(const daemon_settings& settings) {
    environment env;
    const auto id = generate_id();
    env.self = {instance_id{id}, settings.peer_listen, settings.zone};
    env.cell = settings.cell;
    env.timing = settings.timing;
    env.pools = settings.pools;
    env.seed = std::stoull(id, nullptr, 16);
    return env;
}

}  // namespace

//! Members are declared in start order and destroyed in reverse order.
struct daemon_process::impl {
    daemon_settings settings;
    environment env;
    metrics process_metrics;
    std::unique_ptr<control_loop> control;
    std::unique_ptr<http_loop> http;
    std::unique_ptr<object_api_client> platform;
    std::unique_ptr<upstream_control> upstream_status;
    std::unique_ptr<response_store> answers;
    std::unique_ptr<peer_network> peers;
    std::unique_ptr<upstream_client> upstreams;
    std::unique_ptr<retry_budget> budget;
    std::unique_ptr<operator_server> operators;
    std::unique_ptr<caller_server> callers;

    [[nodiscard]] effect_handlers make_handlers();
    [[nodiscard]] std::string dump() const;
    [[nodiscard]] std::string metrics_page();
    [[nodiscard]] std::vector<member> other_members() const;
    result<bool> start_network(const std::string& secret);
    result<bool> start_operators(const std::string& secret);
    result<bool> start_callers();
};

effect_handlers daemon_process::impl::make_handlers() {
    effect_handlers handlers;
    handlers.send = [this](const send_to_peer& wanted) { peers->send(wanted.to, wanted.message); };
    handlers.read = [this](const store_read& wanted) { platform->carry_out(wanted); };
    handlers.write = [this](const store_write& wanted) { platform->carry_out(wanted); };
    handlers.watch = [this](const watch_prefix& wanted) { platform->carry_out(wanted); };
    handlers.list = [this](const list_instances& wanted) { platform->carry_out(wanted); };
    handlers.poll = [this](const poll_upstream& wanted) { upstream_status->carry_out(wanted); };
    handlers.order = [this](const order_upstream& wanted) { upstream_status->carry_out(wanted); };
    handlers.log = &write_log;
    return handlers;
}

std::string daemon_process::impl::dump() const {
    nlohmann::json body;
    const bool inspected = control->inspect([&body](const control_state& state) {
        body = describe_status(state, boot_clock::now());
        body["versions"] = describe_versions(state);
    });
    if (!inspected) {
        return "{}";
    }
    const auto network = peers->counters();
    body["peers"] = {{"bytes_sent", network.bytes_sent},
                     {"bytes_received", network.bytes_received},
                     {"messages_sent", network.messages_sent},
                     {"connections_replaced", network.connections_replaced},
                     {"strangers_refused", network.authentication_failures}};
    const auto store_counters = platform->counters();
    body["store"] = {{"reads", store_counters.reads},
                     {"writes", store_counters.writes},
                     {"watches", store_counters.watches},
                     {"lists", store_counters.lists},
                     {"failures", store_counters.failures}};
    return body.dump();
}

std::string daemon_process::impl::metrics_page() {
    control->inspect([this](const control_state& state) {
        process_metrics.set_gauge("roster_generation",
                                  static_cast<double>(generation(state.roster)));
        process_metrics.set_gauge("roster_members",
                                  static_cast<double>(members(state.roster).size()));
        process_metrics.set_gauge("requests_running",
                                  static_cast<double>(state.admission.running.size()));
        const auto versions = versions_of(state);
        process_metrics.set_gauge("plans_version", static_cast<double>(versions.plans));
        process_metrics.set_gauge("allowances_version", static_cast<double>(versions.allowances));
        process_metrics.set_gauge("availability_version",
                                  static_cast<double>(versions.availability));
    });
    const auto store_counters = platform->counters();
    process_metrics.set_gauge("store_reads", static_cast<double>(store_counters.reads));
    process_metrics.set_gauge("store_writes", static_cast<double>(store_counters.writes));
    process_metrics.set_gauge("store_watches", static_cast<double>(store_counters.watches));
    process_metrics.set_gauge("store_lists", static_cast<double>(store_counters.lists));
    process_metrics.set_gauge("store_failures", static_cast<double>(store_counters.failures));
    process_metrics.set_gauge("peer_bytes_sent", static_cast<double>(peers->counters().bytes_sent));
    return process_metrics.page();
}

std::vector<member> daemon_process::impl::other_members() const {
    std::vector<member> others;
    control->inspect([&](const control_state& state) {
        for (const auto& one : members(state.roster)) {
            if (one.id != env.self.id) {
                others.push_back(one);
            }
        }
    });
    return others;
}

result<bool> daemon_process::impl::start_network(const std::string& secret) {
    const auto post = [this](event happened) { control->post(std::move(happened)); };
    auto loop = http_loop::start();
    if (loop.has_error()) {
        return loop.error();
    }
    http = std::move(loop.value());
    auto client = object_api_client::start(
        {settings.object_api, env.self.id.value, settings.timing.store_timeout}, *http, post);
    if (client.has_error()) {
        return client.error();
    }
    platform = std::move(client.value());
    upstream_status = std::make_unique<upstream_control>(*http, post, poll_timeout);
    answers = std::make_unique<response_store>(response_store_settings{});
    peer_handlers handlers;
    handlers.on_message = [post](const instance_id& from, peer_message message) {
        post(peer_message_received{from, std::move(message)});
    };
    handlers.on_read = [this](std::string_view query) { return answers->handle_read(query); };
    peer_network_settings wanted;
    wanted.self = env.self;
    wanted.secret = secret;
    auto network = peer_network::start(wanted, std::move(handlers));
    if (network.has_error()) {
        return network.error();
    }
    peers = std::move(network.value());
    return true;
}

result<bool> daemon_process::impl::start_operators(const std::string& secret) {
    operator_dependencies dependencies;
    dependencies.control = control->client();
    dependencies.control.dump = [this] { return dump(); };
    dependencies.inspect = [this](const std::function<void(const control_state&)>& look) {
        return control->inspect(look);
    };
    dependencies.metrics_page = [this] { return metrics_page(); };
    dependencies.audit = [](const std::string& line) { LOG(INFO) << "audit: " << line; };
    auto server = operator_server::start({settings.operator_listen, secret, settings.pools},
                                         std::move(dependencies));
    if (server.has_error()) {
        return server.error();
    }
    operators = std::move(server.value());
    return true;
}

result<bool> daemon_process::impl::start_callers() {
    auto client = upstream_client::start({});
    if (client.has_error()) {
        return client.error();
    }
    upstreams = std::move(client.value());
    budget = std::make_unique<retry_budget>(retry_budget_settings{});
    caller_settings wanted;
    wanted.address = settings.caller_listen;
    wanted.concurrent = settings.concurrency;
    caller_dependencies dependencies{
        control->client(),
        *upstreams,
        *budget,
        *answers,
        settings.pools,
        env.self,
        [this](const member& peer, std::string_view query, milliseconds limit) {
            return peers->read(peer.address, query, limit);
        },
        [this] { return other_members(); },
        [this](const request_record& ended) { process_metrics.record(ended); },
    };
    auto server = caller_server::start(wanted, std::move(dependencies));
    if (server.has_error()) {
        return server.error();
    }
    callers = std::move(server.value());
    return true;
}

result<std::unique_ptr<daemon_process>> daemon_process::start(daemon_settings settings,
                                                              daemon_secrets secrets) {
    auto implementation = std::make_unique<impl>();
    auto& self = *implementation;
    self.env = make_environment(settings);
    self.settings = std::move(settings);
    auto loop = control_loop::start(self.env);
    if (loop.has_error()) {
        return loop.error();
    }
    self.control = std::move(loop.value());
    const auto network = self.start_network(secrets.peer);
    if (network.has_error()) {
        return network.error();
    }
    self.control->run(self.make_handlers());
    std::unique_ptr<daemon_process> started(new daemon_process(std::move(implementation)));
    const auto operators = started->impl_->start_operators(secrets.operators);
    if (operators.has_error()) {
        return operators.error();
    }
    const auto callers = started->impl_->start_callers();
    if (callers.has_error()) {
        return callers.error();
    }
    LOG(INFO) << "daemon: instance " << started->impl_->env.self.id.value << " in zone "
              << started->impl_->env.self.zone.value << " is listening.";
    return started;
}

daemon_process::daemon_process(std::unique_ptr<impl> implementation)
    : impl_(std::move(implementation)) {}

daemon_process::~daemon_process() {
    impl_->callers.reset();
    impl_->operators.reset();
    impl_->control->stop();
    impl_->peers.reset();
    impl_->http.reset();
    impl_->platform.reset();
}

bool daemon_process::drain() {
    LOG(INFO) << "daemon: draining.";
    impl_->callers->announce_stop();
    std::this_thread::sleep_for(impl_->settings.stop_notice);
    impl_->callers->stop_accepting();
    impl_->control->post(stop_wanted{});
    const auto limit = boot_clock::now() + impl_->settings.drain_limit;
    while (boot_clock::now() < limit) {
        if (impl_->callers->drained() && impl_->control->drained()) {
            std::this_thread::sleep_for(final_flush_delay);
            LOG(INFO) << "daemon: drained.";
            return true;
        }
        std::this_thread::sleep_for(drain_poll);
    }
    LOG(WARNING) << "daemon: the drain limit has expired; " << impl_->callers->running()
                 << " requests are interrupted.";
    return impl_->callers->drained();
}

std::string daemon_process::dump() const {
    return impl_->dump();
}

}  // namespace cyclamenmount
