#include "standins/upstream/machine.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <random>

namespace cyclamenmount::standins {

namespace {

constexpr milliseconds load_lag{200};
constexpr std::size_t max_counted_ids = 200000;

std::string generate_incarnation() {
    std::random_device source;
    std::array<char, 17> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), source(), 16).ptr;
    return {buffer.data(), end};
}

void increment_bounded(std::map<std::string, std::uint64_t>& counts, const std::string& name) {
    if (!name.empty() && (counts.size() < max_counted_ids || counts.contains(name))) {
        ++counts[name];
    }
}

void count_over_cold_capacity(upstream_machine& machine, instant now) {
    if (now < machine.grace_ends) {
        ++machine.truth.over_cold_grace;
    } else {
        ++machine.truth.over_cold;
    }
}

}  // namespace

upstream_machine make_machine(const upstream_settings& settings, instant now) {
    upstream_machine machine;
    machine.settings = settings;
    machine.behaviour = make_behaviour(settings);
    machine.incarnation = generate_incarnation();
    machine.warm = settings.starts_warm;
    machine.cold_since = now;
    machine.role = settings.pool;
    return machine;
}

int in_flight(const upstream_machine& machine) {
    return static_cast<int>(machine.running.size());
}

void refresh(upstream_machine& machine, instant now) {
    if (!machine.warm && now - machine.cold_since >= machine.behaviour.warm_after) {
        machine.warm = true;
    }
    if (now - machine.reported_at >= load_lag) {
        machine.reported_in_flight = in_flight(machine);
        machine.reported_at = now;
    }
}

start_decision decide_start(upstream_machine& machine, instant now) {
    if (machine.down) {
        return start_decision::down;
    }
    refresh(machine, now);
    if (machine.warm) {
        const bool full = in_flight(machine) >= machine.settings.capacity;
        return full ? start_decision::wait : start_decision::run;
    }
    const bool excess = in_flight(machine) >= machine.settings.cold_capacity;
    if (!excess) {
        return start_decision::run;
    }
    count_over_cold_capacity(machine, now);
    return now < machine.grace_ends ? start_decision::run : start_decision::crash;
}

void record_arrival(upstream_machine& machine, instant now) {
    if (machine.out_of_service_since.has_value() &&
        now - *machine.out_of_service_since > marked_grace) {
        ++machine.truth.while_out;
    }
    if (machine.leaving_since.has_value() && now - *machine.leaving_since > marked_grace) {
        ++machine.truth.while_leaving;
    }
}

std::uint64_t start_work(upstream_machine& machine, const arriving_work& work, instant now) {
    upstream_truth& truth = machine.truth;
    ++truth.runs;
    increment_bounded(truth.runs_by_key, work.idempotency_key);
    increment_bounded(truth.runs_by_request, work.key.request);
    increment_bounded(truth.runs_by_zone, work.from_zone);
    increment_bounded(truth.runs_by_mark, work.mark);
    const std::string attempt = work.key.request + " " + work.key.attempt;
    if (truth.attempts.size() < max_counted_ids && !truth.attempts.insert(attempt).second) {
        ++truth.repeated_attempts;
    }
    const std::uint64_t number = machine.next_number++;
    machine.running[number] = {number, work.key, work.socket};
    if (!machine.warm && now >= machine.grace_ends) {
        truth.max_in_flight_cold = std::max(truth.max_in_flight_cold, in_flight(machine));
    }
    return number;
}

void crash_upstream(upstream_machine& machine, instant now) {
    ++machine.truth.crashes;
    ++machine.epoch;
    machine.down = true;
    machine.running.clear();
    machine.cache = {};
    machine.grace_ends = now + cold_grace;
}

void restart(upstream_machine& machine, instant now) {
    machine.down = false;
    machine.warm = false;
    machine.cold_since = now;
    machine.incarnation = generate_incarnation();
    machine.models.clear();
    machine.role = machine.settings.pool;
}

void turn_cold(upstream_machine& machine, instant now) {
    machine.warm = false;
    machine.cold_since = now;
    machine.grace_ends = now + cold_grace;
}

bool cancel_work(upstream_machine& machine, const attempt_key& key) {
    const auto found = std::find_if(machine.running.begin(), machine.running.end(),
                                    [&](const auto& entry) { return entry.second.key == key; });
    if (found == machine.running.end()) {
        return false;
    }
    machine.running.erase(found);
    ++machine.truth.cancelled;
    return true;
}

bool apply_order(upstream_machine& machine, std::uint64_t fencing_token, const std::string& order,
                 const std::string& name) {
    const bool older = fencing_token < machine.highest_fencing_token;
    if (older && machine.settings.checks_fencing_token) {
        ++machine.truth.orders_refused;
        return false;
    }
    if (older) {
        ++machine.truth.orders_older_fence;
    }
    machine.highest_fencing_token = std::max(machine.highest_fencing_token, fencing_token);
    ++machine.truth.orders;
    if (order == "load_model" || order == "load_adapter") {
        machine.models.insert(name);
    } else if (order == "unload_model") {
        machine.models.erase(name);
    } else if (order == "set_role") {
        machine.role = name;
    }
    return true;
}

std::string state_name(const upstream_machine& machine) {
    if (machine.leaving_since.has_value()) {
        return "leaving";
    }
    return machine.warm ? "warm" : "cold";
}

std::string load_header(const upstream_machine& machine) {
    return "X-Load: in_flight=" + std::to_string(machine.reported_in_flight) +
           ";capacity=" + std::to_string(machine.settings.capacity) +
           ";state=" + state_name(machine) + ";incarnation=" + machine.incarnation;
}

nlohmann::json status_to_json(const upstream_machine& machine) {
    return {{"id", machine.settings.id},
            {"pool", machine.settings.pool},
            {"zone", machine.settings.zone},
            {"incarnation", machine.incarnation},
            {"state", state_name(machine)},
            {"in_flight", machine.reported_in_flight},
            {"capacity", machine.settings.capacity},
            {"cold_capacity", machine.settings.cold_capacity},
            {"models", machine.models},
            {"role", machine.role}};
}

}  // namespace cyclamenmount::standins
