#include "version_rollout/tests/rollout_fleet.h"

#include "types/overloaded.h"

#include <algorithm>

namespace cyclamenmount::testing {

namespace {

constexpr milliseconds step_time{100};

rollout_settings settings_of(std::size_t instance, std::uint64_t restart) {
    const std::string id = std::to_string(instance);
    return {true,
            0.1,
            50,
            milliseconds(1500),
            {{id + "-" + std::to_string(restart)}, "10.0.0." + id + ":1", {}, 0}};
}

}  // namespace

rollout_fleet::rollout_fleet(std::size_t instances, answer_function answer)
    : answer_(std::move(answer)) {
    auto config = std::make_shared<serving_config>();
    config->pools[the_pool].name = the_pool;
    view.config = config;
    for (std::size_t instance = 0; instance < instances; ++instance) {
        states.push_back(make_rollout_state(settings_of(instance, 0)));
        view.members.push_back(states.back().settings.self);
    }
    add_upstreams(old_version, 10);
}

void rollout_fleet::write_order(const std::string& created, milliseconds duration,
                                const software_version& target) {
    stored = {the_pool.value, created, the_pool, target, duration, std::nullopt, "", 0ms, ""};
    has_order = true;
    ordered_at_ = now_;
    seen = {};
}

void rollout_fleet::remove_order() {
    has_order = false;
}

void rollout_fleet::add_upstreams(const software_version& version, int count) {
    for (int index = 0; index < count; ++index) {
        serving_upstream upstream;
        upstream.id.value = version.value + "-" + std::to_string(index);
        upstream.pool = the_pool;
        upstream.version = version;
        view.pools[the_pool].push_back(upstream);
    }
}

std::optional<rollout_phase> rollout_fleet::phase() const {
    return has_order ? stored.phase : std::nullopt;
}

std::size_t rollout_fleet::decider() const {
    const member first = deciders_of(view, the_pool).front();
    const auto found = std::ranges::find(view.members, first.address, &member::address);
    return static_cast<std::size_t>(found - view.members.begin());
}

void rollout_fleet::restart(std::size_t instance) {
    states[instance] = make_rollout_state(settings_of(instance, ++restarts_));
    view.members[instance] = states[instance].settings.self;
    std::erase_if(open_, [&](const open_request& one) { return one.instance == instance; });
}

void rollout_fleet::publish(std::size_t instance) {
    if (is_store_down || without_store.contains(instance)) {
        return;
    }
    auto next = std::make_shared<fleet_view>(view);
    next->upstreams_known = true;
    if (has_order) {
        next->rollouts[stored.name] = stored;
    }
    carry_out(instance, reduce(states[instance], rollout_view_changed{next}, now_));
    carry_out(instance, reduce(states[instance], orders_confirmed{now_}, now_));
}

void rollout_fleet::write(const write_rollout_status& wanted) {
    const bool is_final = stored.phase && *stored.phase != rollout_phase::running;
    if (is_store_down || !has_order || key_of(stored) != wanted.key || is_final) {
        return;
    }
    stored.phase = wanted.phase;
    stored.status_key = wanted.key;
    written.push_back(wanted.phase);
}

void rollout_fleet::carry_out(std::size_t instance, const std::vector<rollout_effect>& effects) {
    for (const rollout_effect& effect : effects) {
        std::visit(overloaded{
                       [&](const send_to_peer& sent) {
                           const auto to =
                               std::ranges::find(view.members, sent.to.address, &member::address);
                           const auto receiver =
                               static_cast<std::size_t>(to - view.members.begin());
                           if (!cut_off.contains(instance) && !cut_off.contains(receiver)) {
                               messages_.emplace_back(receiver, sent.message);
                           }
                       },
                       [&](const write_rollout_status& wanted) {
                           if (!without_store.contains(instance)) {
                               write(wanted);
                           }
                       },
                       [&](const rollout_decision& decision) { decisions.push_back(decision); },
                   },
                   effect);
    }
}

void rollout_fleet::send(std::size_t instance) {
    const std::string& route = routes[random_() % routes.size()];
    const version_choice choice = choose_versions(states[instance], the_pool, route, now_);
    std::vector<serving_upstream> usable;
    for (const serving_upstream& upstream : view.pools[the_pool]) {
        const bool is_allowed = !choice.preferred || choice.preferred->contains(upstream.version);
        if (is_allowed && !choice.excluded.contains(upstream.id)) {
            usable.push_back(upstream);
        }
    }
    ++seen.pool;
    if (usable.empty()) {
        return;
    }
    const serving_upstream& upstream = usable[random_() % usable.size()];
    record_sent(states[instance], {the_pool, route, upstream.version, false}, now_);
    const version_answer answer = answer_(upstream.version, route, now_ - ordered_at_, random_);
    ended_request ended{the_pool,
                        route,
                        upstream.version,
                        now_,
                        true,
                        answer.is_bad,
                        false,
                        answer.first_event,
                        answer.longest_gap,
                        std::nullopt};
    open_.push_back({instance, ended, now_ + answer.first_event});
    if (has_order && upstream.version == stored.target) {
        ++seen.target;
        seen.last_sent = now();
        if (answer.is_bad && ++seen.target_bad == 50) {
            seen.bad_limit_reached = now();
        }
    }
}

void rollout_fleet::step(double requests_per_second) {
    now_ += step_time;
    for (std::size_t instance = 0; instance < states.size(); ++instance) {
        if (!frozen.contains(instance)) {
            publish(instance);
        }
    }
    due_ += requests_per_second * static_cast<double>(step_time.count()) / 1000;
    for (; due_ >= 1; due_ -= 1) {
        const std::size_t instance = random_() % states.size();
        if (!frozen.contains(instance)) {
            send(instance);
        }
    }
    std::erase_if(open_, [&](const open_request& one) {
        if (one.ends_at > now_ || frozen.contains(one.instance)) {
            return false;
        }
        record_ended(states[one.instance], one.ended);
        return true;
    });
    for (std::size_t instance = 0; instance < states.size(); ++instance) {
        if (!frozen.contains(instance)) {
            carry_out(instance, reduce(states[instance], rollout_tick{}, now_));
        }
    }
    const auto delivered = std::exchange(messages_, {});
    for (const auto& [to, message] : delivered) {
        if (frozen.contains(to)) {
            continue;
        }
        if (const auto* const report = std::get_if<rollout_report>(&message)) {
            carry_out(to, reduce(states[to], rollout_report_received{*report}, now_));
        }
        if (const auto* const notice = std::get_if<rollout_notice>(&message)) {
            carry_out(to, reduce(states[to], rollout_notice_received{*notice}, now_));
        }
    }
}

void rollout_fleet::run(milliseconds time, double requests_per_second) {
    for (const instant end = now_ + time; now_ < end;) {
        step(requests_per_second);
    }
}

void rollout_fleet::run_to_verdict(milliseconds time, double requests_per_second) {
    const instant end = now_ + time;
    while (now_ < end && (!phase() || phase() == rollout_phase::running)) {
        step(requests_per_second);
    }
}

}  // namespace cyclamenmount::testing
