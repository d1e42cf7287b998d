#include "stage_calls/stage_driver.h"

#include "http_exchange/background.h"
#include "types/overloaded.h"
#include "upstream_directives/directive_log.h"

#include <algorithm>
#include <functional>
#include <span>

namespace cyclamenmount {

namespace {

constexpr milliseconds connect_timeout{400};
//! Timeout of a call to a stage upstream; long before, its pieces are requested elsewhere.
constexpr milliseconds call_timeout{5000};
constexpr milliseconds release_timeout{1000};
//! A reachable upstream accepts a connection within about one network round trip.
constexpr milliseconds crash_check_timeout{300};
//! Period of the packing agent's time-outs: overdue calls, unresponsive packers, and jobs that
//! can't meet their deadline.
constexpr milliseconds tick_period{50};
//! Responses of a connection that are recognized when they come once more.
constexpr std::size_t max_result_hashes = 1024;

std::string_view event_name(peer_status status) {
    switch (status) {
    case peer_status::unresponsive:
        return "peer_silent";
    case peer_status::stopping:
        return "peer_stopping";
    case peer_status::not_ready:
        return "peer_not_ready";
    case peer_status::responsive:
        return "peer_heard";
    }
    return "peer_heard";
}

//! Keys of the requests in a call, without duplicates.
std::vector<std::string> crash_keys(const make_call& call) {
    std::vector<std::string> keys;
    for (const call_item& item : call.items) {
        if (!item.crash_key.empty() && std::ranges::find(keys, item.crash_key) == keys.end()) {
            keys.push_back(item.crash_key);
        }
    }
    return keys;
}

bool has_results(std::span<const piece_outcome> outcomes) {
    return std::ranges::any_of(outcomes, [](const piece_outcome& outcome) {
        return outcome.status == piece_status::made;
    });
}

//! Hashes are compared within this process only.
std::size_t hash_of(const std::string& body) {
    return std::hash<std::string>{}(body);
}

bool was_received(const connection& from, const std::string& body) {
    return std::ranges::find(from.result_hashes, hash_of(body)) != from.result_hashes.end();
}

void record_received(connection& from, const std::string& body) {
    if (from.result_hashes.size() == max_result_hashes) {
        from.result_hashes.pop_front();
    }
    from.result_hashes.push_back(hash_of(body));
}

}  // namespace

stage_driver::stage_driver(asio::io_context& loop, member self, decision_log& log,
                           receive_ledger_ptr ledger, stage_protocol protocol, send_function send)
    : loop_(loop), log_(log), ledger_(std::move(ledger)), protocol_(std::move(protocol)),
      send_(std::move(send)), connections_(loop) {
    agent_.self = std::move(self);
    spawn_service(loop_, "timer of the packing agent", [this] { return tick(); });
}

std::uint64_t stage_driver::submit(const pool_name& pool, stage_job job, done_function done) {
    const std::uint64_t job_number = ++last_job_number_;
    job.id = {agent_.self.id, job_number};
    pending_.emplace(job_number, std::move(done));
    handle(job_requested{pool, std::move(job)});
    return job_number;
}

void stage_driver::abandon(std::uint64_t job_number) {
    pending_.erase(job_number);
    handle(job_abandoned{job_number});
}

void stage_driver::release(const pool_name& pool, std::vector<std::string> results) {
    if (!results.empty()) {
        handle(results_unneeded{pool, std::move(results)});
    }
}

void stage_driver::set_view(const fleet_view_ptr& view) {
    handle(view_changed{view});
}

void stage_driver::on_message(const instance_id& from, peer_message message) {
    handle(packing_message_received{from, std::move(message)});
}

void stage_driver::begin_stop() {
    handle(packing_agent_stopping{});
}

void stage_driver::handle(const packing_agent_event& happened) {
    for (const packing_agent_effect& wanted : reduce(agent_, happened, boot_clock::now())) {
        execute(wanted);
    }
}

void stage_driver::execute(const packing_agent_effect& wanted) {
    std::visit(
        overloaded{
            [&](const call_stage& started) { spawn(loop_, "call of a stage", call(started)); },
            [&](const release_results& released) { free_results(released); },
            [&](const job_ended& ended) {
                const auto found = pending_.find(ended.number);
                if (found != pending_.end()) {
                    const done_function done = std::move(found->second);
                    pending_.erase(found);
                    done(ended.reply);
                }
            },
            [&](const send_to_peer& sent) { send_(sent.to, sent.message); },
            [&](const peer_status_changed& changed) { log_peer_status(changed); },
        },
        wanted);
}

void stage_driver::log_peer_status(const peer_status_changed& changed) {
    log_.write(log_entry(event_name(changed.status))
                   .add("address", changed.address)
                   .add("unheard_ms", changed.unanswered_for));
}

task<> stage_driver::call(call_stage wanted) {
    const make_call& call = wanted.call;
    const instant started = boot_clock::now();
    const auto found = co_await connections_.acquire(call.address, connect_timeout);
    if (!found) {
        log_.write(log_entry("stage_call")
                       .add("upstream", call.upstream.value)
                       .add("outcome", "unreachable"));
        handle(stage_call_failed{wanted.pool, {call.number, call_failure::broken}});
        co_return;
    }
    const connection_ptr& used = found.value();
    // Responses to calls carry no id. Results are unique, so a body that comes again belongs to an
    // earlier call.
    const response_filter is_new = [used](const auto& response) {
        return !was_received(*used, response.body());
    };
    exchange_reply reply =
        co_await exchange(used, protocol_.make_run_request(call),
                          {call_timeout, ledger_->bounds().response}, ledger_, &is_new);
    const int status = reply.outcome == exchange_outcome::completed
                           ? static_cast<int>(reply.response.result_int())
                           : 0;
    log_.write(log_entry("stage_call")
                   .add("upstream", call.upstream.value)
                   .add("pieces", static_cast<std::int64_t>(call.items.size()))
                   .add("waiting", call.waiting_pieces)
                   .add("held_kb", static_cast<std::int64_t>(call.held_bytes / 1000))
                   .add("first", call.items.front().request)
                   .add("status", status)
                   .add("took_ms", boot_clock::now() - started));
    if (reply.outcome == exchange_outcome::completed) {
        const upstream_directives directives = protocol_.decode_directives(reply.response);
        log_directives(log_, call.upstream, directives);
        handle(stage_directives_received{wanted.pool, {call.upstream, directives, started}});
    }
    const auto outcomes =
        status == 200 ? protocol_.decode_outcomes(reply.response.body()) : std::nullopt;
    if (outcomes && has_results(*outcomes)) {
        record_received(*used, reply.response.body());
        connections_.release(used);
    } else {
        // Without results, a repetition of this response would look like the next call's response.
        used->close();
    }
    if (outcomes) {
        if (has_results(*outcomes)) {
            crash_handlers_.on_answered(wanted.pool, crash_keys(call));
        }
        handle(stage_call_answered{wanted.pool, {call.number, *outcomes}});
        co_return;
    }
    const bool is_refused = status == 503 || status == 429 || status == 421;
    call_failure why = is_refused ? call_failure::refused : call_failure::broken;
    if (reply.outcome == exchange_outcome::broken) {
        why = co_await find_cause(wanted);
    }
    handle(stage_call_failed{wanted.pool, {call.number, why}});
}

//! Tells an upstream's crash from the loss of one connection, and reports a crash.
task<call_failure> stage_driver::find_cause(call_stage failed) {
    const make_call& call = failed.call;
    const auto opened = co_await open_connection(loop_, call.address, crash_check_timeout);
    if (opened) {
        opened.value()->close();
        co_return call_failure::broken;
    }
    const auto keys = crash_keys(call);
    log_.write(log_entry("upstream_crashed")
                   .add("upstream", call.upstream.value)
                   .add("pool", failed.pool.value)
                   .add("why", opened.error().message)
                   .add("requests", static_cast<std::int64_t>(keys.size())));
    crash_handlers_.on_crash(
        {failed.pool, call.upstream.value + "@" + std::to_string(call.started_at_ms)}, keys);
    co_return call_failure::crashed;
}

void stage_driver::free_results(const release_results& wanted) {
    std::map<std::string, std::vector<std::string>> by_upstream;
    for (const std::string& result : wanted.results) {
        // A result handle is IP:PORT/ID, with the address of the upstream that holds the result.
        by_upstream[result.substr(0, result.find('/'))].push_back(result);
    }
    for (auto& [address, results] : by_upstream) {
        spawn(loop_, "release of stage results", free_results_at(address, std::move(results)));
    }
}

task<> stage_driver::free_results_at(std::string address, std::vector<std::string> results) {
    const auto found = co_await connections_.acquire(address, connect_timeout);
    if (!found) {
        co_return;  // unreleased results expire at the upstream
    }
    const connection_ptr& used = found.value();
    const exchange_reply reply =
        co_await exchange(used, protocol_.make_release_request(address, std::move(results)),
                          {release_timeout, ledger_->bounds().response}, ledger_);
    if (reply.outcome == exchange_outcome::completed) {
        connections_.release(used);
    }
}

task<> stage_driver::tick() {
    while (true) {
        co_await pause(loop_, tick_period);
        const bool has_work =
            !agent_.outstanding.empty() ||
            std::any_of(agent_.packers.begin(), agent_.packers.end(),
                        [](const auto& entry) { return has_open_work(entry.second); });
        if (has_work) {
            handle(packing_agent_tick{});
        }
    }
}

}  // namespace cyclamenmount
