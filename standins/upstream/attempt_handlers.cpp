#include "standins/upstream/shared_state.h"
#include "standins/upstream/work_text.h"

#include <thread>

namespace cyclamenmount::standins {

namespace {

constexpr milliseconds check_period{20};
constexpr milliseconds late_response_delay{2000};
constexpr milliseconds max_unresponsive_time{60000};
constexpr milliseconds max_queue_wait{2000};
constexpr int cold_slowdown = 2;
constexpr int cached_speedup = 4;
constexpr int default_tokens = 16;
constexpr int max_tokens = 4096;
constexpr int duplicate_every = 3;
constexpr int lowest_priority = 9;

//! One running attempt.
struct attempt {
    std::uint64_t number{0};
    std::uint64_t epoch{0};
    arriving_work work;
    std::string stage;
    std::string input;
    active_faults faults;
    attempt_key other_key;  //!< ids of another attempt, sent in misdirected responses
    instant started_at;
};

enum class pause_result { elapsed, attempt_ended };

arriving_work read_work(exchange& current) {
    const incoming_request& request = current.request();
    arriving_work work;
    work.key = {header_of(request, "x-request-id"), header_of(request, "x-attempt")};
    work.idempotency_key = header_of(request, "idempotency-key");
    work.from_zone = header_of(request, "x-from-zone");
    work.socket = current.socket();
    return work;
}

std::vector<std::string> echo_headers(shared_state& shared, const attempt_key& key,
                                      const std::string& stage) {
    const std::lock_guard lock(shared.mutex);
    refresh(shared.machine, boot_clock::now());
    return {"X-Request-Id: " + key.request, "X-Stage: " + stage, "X-Attempt: " + key.attempt,
            load_header(shared.machine)};
}

void respond_not_run(shared_state& shared, exchange& current, const arriving_work& work) {
    const std::string stage = header_of(current.request(), "x-stage");
    std::vector<std::string> headers = echo_headers(shared, work.key, stage);
    headers.emplace_back("Content-Type: application/json");
    current.respond(503, headers, R"({"execution":"not_run"})");
}

void delay_across_zones(const shared_state& shared, const arriving_work& work) {
    const upstream_settings& settings = shared.machine.settings;
    if (!work.from_zone.empty() && work.from_zone != settings.zone) {
        std::this_thread::sleep_for(settings.zone_delay);
    }
}

bool is_next_in_queue(const shared_state& shared, const queue_position& position) {
    const upstream_machine& machine = shared.machine;
    return in_flight(machine) < machine.settings.capacity && *shared.waiting.begin() == position;
}

//! Waits in the queue of a full engine; returns true if the attempt may start.
bool wait_in_queue(shared_state& shared, std::unique_lock<std::mutex>& lock, int priority) {
    upstream_machine& machine = shared.machine;
    const auto max_waiting = static_cast<std::size_t>(machine.settings.queue);
    if (machine.settings.kind != upstream_kind::engine || shared.waiting.size() >= max_waiting) {
        return false;
    }
    const queue_position position{priority, shared.next_queue_number++};
    shared.waiting.insert(position);
    const std::uint64_t epoch = machine.epoch;
    shared.changed.wait_for(lock, max_queue_wait, [&] {
        drop_disconnected(machine, is_closed);
        return shared.stopping || machine.epoch != epoch || !machine.warm ||
               is_next_in_queue(shared, position);
    });
    const bool may_start = !shared.stopping && machine.epoch == epoch && machine.warm &&
                           is_next_in_queue(shared, position);
    shared.waiting.erase(position);
    shared.changed.notify_all();
    return may_start;
}

attempt start_attempt(shared_state& shared, const arriving_work& work, std::string input) {
    upstream_machine& machine = shared.machine;
    attempt started;
    const bool first = !machine.truth.runs_by_request.contains(work.key.request);
    started.faults = choose_faults(machine.behaviour.faults, input, first);
    started.other_key = std::exchange(machine.last_seen, work.key);
    if (started.other_key.request.empty() || started.other_key.request == work.key.request) {
        started.other_key = {"other-" + work.key.request, "other-" + work.key.attempt};
    }
    started.work = work;
    started.input = std::move(input);
    started.epoch = machine.epoch;
    started.started_at = boot_clock::now();
    started.number = start_work(machine, work, started.started_at);
    return started;
}

//! Starts the attempt; otherwise responds with a refusal or drops the connection and returns none.
std::optional<attempt> admit(shared_state& shared, exchange& current, std::string input) {
    arriving_work work = read_work(current);
    work.mark = mark_of(input);
    delay_across_zones(shared, work);
    std::unique_lock lock(shared.mutex);
    upstream_machine& machine = shared.machine;
    record_arrival(machine, boot_clock::now());
    drop_disconnected(machine, is_closed);
    start_decision decision = decide_start(machine, boot_clock::now());
    if (decision == start_decision::wait) {
        const auto priority = static_cast<int>(
            number_or(header_of(current.request(), "x-priority"), lowest_priority));
        decision = wait_in_queue(shared, lock, priority) ? start_decision::run : decision;
    }
    switch (decision) {
    case start_decision::run: {
        attempt started = start_attempt(shared, work, std::move(input));
        started.stage = header_of(current.request(), "x-stage");
        return started;
    }
    case start_decision::wait:
        ++machine.truth.refused;
        lock.unlock();
        respond_not_run(shared, current, work);
        return std::nullopt;
    case start_decision::crash:
        start_work(machine, work, boot_clock::now());
        crash_upstream(machine, boot_clock::now());
        shared.changed.notify_all();
        break;
    case start_decision::down:
        break;
    }
    current.abandon();
    return std::nullopt;
}

bool still_running(const shared_state& shared, const attempt& current) {
    return !shared.stopping && shared.machine.epoch == current.epoch &&
           shared.machine.running.contains(current.number);
}

//! Waits for `duration` or until the attempt ends.
pause_result pause(shared_state& shared, const attempt& current, milliseconds duration) {
    const instant deadline = boot_clock::now() + duration;
    std::unique_lock lock(shared.mutex);
    while (still_running(shared, current)) {
        const milliseconds left = deadline - boot_clock::now();
        if (left <= 0ms) {
            return pause_result::elapsed;
        }
        shared.changed.wait_for(lock, std::min(left, check_period));
        if (is_closed(current.work.socket)) {
            drop_disconnected(shared.machine, is_closed);
        }
    }
    return pause_result::attempt_ended;
}

//! Removes the attempt from the running ones; returns false if it had ended already. Called before
//! the last byte of the response is sent, so that a client that has received the response can start
//! the next attempt at once.
bool finish(shared_state& shared, const attempt& current) {
    const std::lock_guard lock(shared.mutex);
    const bool running = still_running(shared, current);
    if (running) {
        shared.machine.running.erase(current.number);
    }
    shared.changed.notify_all();
    return running;
}

void crash_now(shared_state& shared, const attempt& current) {
    const std::lock_guard lock(shared.mutex);
    if (shared.machine.epoch == current.epoch) {
        ++shared.machine.truth.crashes_by_text;
        crash_upstream(shared.machine, boot_clock::now());
        shared.changed.notify_all();
    }
}

milliseconds work_time(shared_state& shared) {
    const std::lock_guard lock(shared.mutex);
    const milliseconds usual = shared.machine.behaviour.stage_time;
    return shared.machine.warm ? usual : usual * cold_slowdown;
}

long long busy_ms(const attempt& current) {
    return (boot_clock::now() - current.started_at).count();
}

//! Applies the crash and no-response faults; returns true if they ended the attempt.
bool apply_early_faults(shared_state& shared, exchange& current, const attempt& running) {
    if (running.faults.crash) {
        pause(shared, running, check_period);
        crash_now(shared, running);
        current.abandon();
        return true;
    }
    if (running.faults.silent) {
        pause(shared, running, max_unresponsive_time);
        finish(shared, running);
        current.abandon();
        return true;
    }
    return false;
}

// --- /v1/run and /v1/call
// ---------------------------------------------------------------------------------

void respond_with_output(shared_state& shared, exchange& current, const attempt& running) {
    const attempt_key& key = running.faults.misdirect ? running.other_key : running.work.key;
    const nlohmann::json body_json{
        {"request", key.request},
        {"stage", running.stage},
        {"attempt", key.attempt},
        {"output", output_of(shared.machine.settings.pool, running.input)},
        {"busy_ms", busy_ms(running)}};
    std::string body = body_json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (running.faults.duplicate) {
        body += body;
    }
    std::vector<std::string> headers = echo_headers(shared, key, running.stage);
    headers.emplace_back("Content-Type: application/json");
    delay_across_zones(shared, running.work);
    if (running.faults.truncate) {
        current.respond_truncated(200, headers, body);
    } else {
        current.respond(running.faults.fail ? 500 : 200, headers, running.faults.fail ? "" : body);
    }
}

void run_and_respond(shared_state& shared, exchange& current, const attempt& running) {
    if (apply_early_faults(shared, current, running)) {
        return;
    }
    const milliseconds time = work_time(shared) + (running.faults.late ? late_response_delay : 0ms);
    if (pause(shared, running, time) == pause_result::attempt_ended || !finish(shared, running)) {
        current.abandon();
        return;
    }
    respond_with_output(shared, current, running);
}

// --- /v1/generate
// -------------------------------------------------------------------------------------

std::string token_line(const attempt_key& key, int index, std::string_view token) {
    const nlohmann::json line{
        {"request", key.request}, {"attempt", key.attempt}, {"index", index}, {"token", token}};
    return line.dump() + "\n";
}

std::string done_line(const attempt& running, int count) {
    const nlohmann::json line{{"request", running.work.key.request},
                              {"attempt", running.work.key.attempt},
                              {"done", true},
                              {"count", count},
                              {"busy_ms", busy_ms(running)}};
    return line.dump() + "\n";
}

bool write_token(shared_state& shared, exchange& current, const attempt& running, int index) {
    const bool misdirected = running.faults.misdirect && index % duplicate_every == 1;
    const std::string token = token_of(running.input, index);
    std::string lines = token_line(running.work.key, index, token);
    if (misdirected) {
        lines = token_line(running.other_key, index, "astray ") + lines;
    }
    if (running.faults.duplicate && index % duplicate_every == 0) {
        lines += lines;
    }
    const std::lock_guard lock(shared.mutex);
    ++shared.machine.truth.tokens;
    return current.write_chunk(lines);
}

milliseconds prefill_time(shared_state& shared, const attempt& running) {
    const milliseconds usual = work_time(shared);
    const std::lock_guard lock(shared.mutex);
    const bool hit =
        touch_prefix(shared.machine.cache, prefix_of(running.input), boot_clock::now());
    return hit ? usual / cached_speedup : usual;
}

milliseconds token_gap(shared_state& shared) {
    const std::lock_guard lock(shared.mutex);
    return shared.machine.behaviour.token_time;
}

//! Sends the tokens from index `from` up to but excluding `end`; returns false if the client
//! disconnected or the attempt ended.
bool stream_tokens(shared_state& shared, exchange& current, const attempt& running, int from,
                   int end) {
    for (int index = from; index < end; ++index) {
        if (!write_token(shared, current, running, index)) {
            return false;
        }
        if (pause(shared, running, token_gap(shared)) == pause_result::attempt_ended) {
            return false;
        }
    }
    return true;
}

void abort_stream(shared_state& shared, exchange& current, const attempt& running) {
    const bool has_crashed = !finish(shared, running) && shared.machine.epoch != running.epoch;
    if (!has_crashed && !running.faults.truncate) {
        current.end_stream();  // a cancelled attempt ends its stream without a `done` line
    }
    current.abandon();
}

void run_stream(shared_state& shared, exchange& current, const attempt& running, int from,
                int count) {
    std::vector<std::string> headers = echo_headers(shared, running.work.key, running.stage);
    headers.emplace_back("Content-Type: application/x-ndjson");
    delay_across_zones(shared, running.work);
    current.begin_stream(200, headers);
    const bool breaks_off =
        running.faults.truncate || running.faults.crash || running.faults.silent;
    const int end = breaks_off ? from + (count - from) / 2 : count;
    const bool streamed = stream_tokens(shared, current, running, from, end);
    if (streamed && apply_early_faults(shared, current, running)) {
        return;
    }
    if (!streamed || breaks_off || !finish(shared, running)) {
        abort_stream(shared, current, running);
        return;
    }
    current.write_chunk(done_line(running, count));
    current.end_stream();
}

void generate(shared_state& shared, exchange& current, const attempt& running,
              const nlohmann::json& body) {
    const int count = std::clamp(body.value("max_tokens", default_tokens), 0, max_tokens);
    const int from = std::clamp(body.value("resume_from", 0), 0, count);
    const milliseconds late_delay = running.faults.late ? late_response_delay : 0ms;
    const pause_result waited = pause(shared, running, prefill_time(shared, running) + late_delay);
    if (waited == pause_result::attempt_ended) {
        current.abandon();
        return;
    }
    if (running.faults.fail) {
        finish(shared, running);
        current.respond(500, echo_headers(shared, running.work.key, running.stage), "");
        return;
    }
    run_stream(shared, current, running, from, count);
}

}  // namespace

void handle_work(shared_state& shared, exchange& current) {
    const incoming_request& request = current.request();
    const bool is_call = request.path.starts_with("/v1/call/");
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!is_call && !body.is_object()) {
        current.respond(400, {}, "");
        return;
    }
    const std::string input = is_call ? request.body : body.value("input", "");
    const std::optional<attempt> running = admit(shared, current, input);
    if (!running.has_value()) {
        return;
    }
    if (request.path == "/v1/generate") {
        generate(shared, current, *running, body);
    } else {
        run_and_respond(shared, current, *running);
    }
}

}  // namespace cyclamenmount::standins
