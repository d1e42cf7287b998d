//! Part of the version rollouts that reports counts and decides.
#include "version_rollout/internal/orders.h"
#include "version_rollout/result_tests.h"
#include "version_rollout/version_rollout.h"

#include <algorithm>
#include <sstream>

namespace cyclamenmount::detail {

namespace {

//! Longest comparison of a version that isn't near rejection.
constexpr milliseconds max_comparison{60'000};
//! Parts of an order's duration.
constexpr double comparison_part = 0.5;
constexpr double last_acceptance_part = 0.85;  //!< later, the traffic can't be moved in time
constexpr double no_traffic_part = 0.75;       //!< a pool without requests isn't waited for longer
constexpr double moving_part = 0.75;           //!< for cold upstreams and the registration
constexpr double closing_part = 0.9;           //!< for open requests at other versions
//! Time before the deadline at which an order without a verdict is rolled back, so that the status
//! is stored in time.
constexpr milliseconds max_deadline_margin{1000};
constexpr double deadline_margin_part = 0.05;
//! Time after the start of a process until all members have reported to it.
constexpr milliseconds hearing_time{1000};
//! Age from which a report no longer tells the state of its sender.
constexpr milliseconds report_lifetime{2000};
constexpr milliseconds write_period{1000};
constexpr milliseconds open_log_period{5000};
//! Time after which a wall clock is believed if no member reports.
constexpr milliseconds wall_clock_delay{2000};

bool is_older_than(const order_progress& progress, double part, instant now) {
    return static_cast<double>(order_age(progress, now).count()) >=
           part * static_cast<double>(progress.order.duration.count());
}

milliseconds deadline_margin(const order_progress& progress) {
    const auto part = milliseconds(static_cast<milliseconds::rep>(
        static_cast<double>(progress.order.duration.count()) * deadline_margin_part));
    return std::min(part, max_deadline_margin);
}

bool is_over(rollout_step step) {
    return step == rollout_step::completed || step == rollout_step::rolled_back;
}

rollout_phase phase_of(rollout_step step) {
    switch (step) {
    case rollout_step::completed:
        return rollout_phase::completed;
    case rollout_step::rolled_back:
        return rollout_phase::rolled_back;
    default:
        return rollout_phase::running;
    }
}

bool is_stored(const order_progress& progress) {
    const rollout_order& order = progress.order;
    return order.phase == phase_of(progress.step) &&
           (order.status_key.empty() || order.status_key == progress.key);
}

std::vector<version_results> own_results(const order_progress& progress) {
    std::vector<version_results> all;
    for (const auto& [route, results] : progress.results) {
        for (const bool is_target : {true, false}) {
            version_results one = is_target ? results.target : results.others;
            one.route = route;
            one.is_target = is_target;
            all.push_back(std::move(one));
        }
    }
    return all;
}

std::uint64_t open_at_others(const rollout_state& state, const order_progress& progress) {
    std::uint64_t sum = 0;
    const auto found = state.open.find(progress.order.pool);
    if (found != state.open.end()) {
        for (const auto& [version, count] : found->second) {
            sum += version == progress.order.target ? 0 : count;
        }
    }
    return sum;
}

std::string describe(const std::string& test, double probability) {
    std::ostringstream text;
    text.precision(2);
    text << test << " p=" << probability;
    return text.str();
}

std::string describe(const result_evidence& evidence) {
    std::ostringstream text;
    text << describe(evidence.test, evidence.probability) << " target " << evidence.target_bad
         << '/' << evidence.target_count << " others " << evidence.old_bad << '/'
         << evidence.old_count;
    return text.str();
}

std::string describe_next(const result_evidence& evidence) {
    return evidence.next_test.empty() ? std::string()
                                      : describe(evidence.next_test, evidence.next_probability);
}

//! What the reports of all processes say together.
struct figures {
    std::vector<version_results> results;
    milliseconds oldest_report{0};  //!< of the members
    std::size_t fresh_members{0};   //!< members that reported lately
};

figures collect(const rollout_state& state, const order_progress& progress, instant now) {
    figures all;
    for (const auto& [id, received] : progress.reports) {
        const auto& results = received.report.results;
        all.results.insert(all.results.end(), results.begin(), results.end());
    }
    for (const member& one : state.view->members) {
        const auto found = progress.reports.find(one.id);
        if (found != progress.reports.end()) {
            const milliseconds age = now - found->second.received_at;
            all.oldest_report = std::max(all.oldest_report, age);
            all.fresh_members += age <= report_lifetime ? 1 : 0;
        }
    }
    return all;
}

//! What a decider of one order does.
class decider {
public:
    decider(const rollout_state& state, order_progress& progress, instant now,
            std::vector<rollout_effect>& out)
        : state_(state), progress_(progress), now_(now), out_(out) {}

    void act() {
        if (progress_.step == rollout_step::comparing) {
            compare();
        }
        if (progress_.step == rollout_step::moving) {
            try_closing();
        }
        if (progress_.step == rollout_step::closing) {
            try_completing();
        }
        notify(std::exchange(progress_.notified_step, progress_.step) != progress_.step);
        if (!is_stored(progress_) && now_ >= progress_.next_write_at) {
            progress_.next_write_at = now_ + write_period;
            out_.push_back(write_rollout_status{progress_.order.name, progress_.key,
                                                progress_.order.target, phase_of(progress_.step),
                                                order_age(progress_, now_), progress_.reason});
        }
    }

private:
    void decide(rollout_step step, const std::string& reason, const result_evidence& evidence,
                milliseconds figures_age) {
        if (!enter_step(progress_, step, reason, now_)) {
            return;
        }
        rollout_decision decision =
            make_decision(std::string(enum_name(step)), progress_, reason, now_);
        decision.figures = describe(evidence);
        decision.runner_up = describe_next(evidence);
        decision.figures_age = figures_age;
        out_.push_back(std::move(decision));
    }

    void compare() {
        const figures known = collect(state_, progress_, now_);
        const result_evidence evidence = test_results(known.results);
        const auto enter = [&](rollout_step step, const std::string& reason) {
            decide(step, reason, evidence, known.oldest_report);
        };
        if (evidence.is_rejected()) {
            enter(rollout_step::rolled_back, describe(evidence));
            return;
        }
        if (order_age(progress_, now_) >= progress_.order.duration - deadline_margin(progress_)) {
            enter(rollout_step::rolled_back,
                  "no verdict before the deadline: " + doubt(known, evidence));
            return;
        }
        const std::string open = doubt(known, evidence);
        if (open.empty()) {
            enter(rollout_step::moving, "accepted");
        } else if (now_ >= progress_.next_log_at) {
            progress_.next_log_at = now_ + open_log_period;
            rollout_decision decision = make_decision("open", progress_, open, now_);
            decision.figures = describe(evidence);
            decision.runner_up = describe_next(evidence);
            decision.figures_age = known.oldest_report;
            out_.push_back(std::move(decision));
        }
    }

    //! Why the target isn't accepted yet; empty if it is.
    [[nodiscard]] std::string doubt(const figures& known, const result_evidence& evidence) const {
        if (!has_target_upstream()) {
            return "the target has no upstream";
        }
        const auto half = milliseconds(static_cast<milliseconds::rep>(
            static_cast<double>(progress_.order.duration.count()) * comparison_part));
        if (order_age(progress_, now_) < std::min(half, max_comparison)) {
            return "the comparison isn't over";
        }
        if (is_older_than(progress_, last_acceptance_part, now_)) {
            return "too late to move the traffic";
        }
        if (2 * known.fresh_members <= state_.view->members.size()) {
            return "less than half of the members report";
        }
        if (evidence.probability < doubt_level) {
            return "near rejection";
        }
        const bool has_target_results =
            std::ranges::any_of(known.results, [](const version_results& one) {
                return one.is_target && one.requests != 0;
            });
        if (!has_target_results && !is_older_than(progress_, no_traffic_part, now_)) {
            return "the target has no results";
        }
        const double share = used_share * state_.settings.canary_share;
        return has_enough_results(known.results, share) ? "" : "a route has too few results";
    }

    [[nodiscard]] bool has_target_upstream() const {
        return count_targets([](const serving_upstream& /*any*/) { return true; }) != 0;
    }

    template <typename Predicate>
    [[nodiscard]] std::ptrdiff_t count_targets(Predicate counts) const {
        const auto found = state_.view->pools.find(progress_.order.pool);
        if (found == state_.view->pools.end()) {
            return 0;
        }
        return std::ranges::count_if(found->second, [&](const serving_upstream& one) {
            return one.version == progress_.order.target && counts(one);
        });
    }

    void try_closing() {
        const bool has_cold =
            count_targets([&](const serving_upstream& one) { return one.cold_until > now_; }) != 0;
        const auto registered = state_.view->stream_versions.find(progress_.order.pool);
        const bool is_registered = registered == state_.view->stream_versions.end() ||
                                   registered->second.empty() ||
                                   registered->second.contains(progress_.order.target);
        const bool is_moved = now_ - progress_.step_since >= 2 * report_period;
        if ((is_moved && !has_cold && is_registered && has_target_upstream()) ||
            is_older_than(progress_, moving_part, now_)) {
            decide(rollout_step::closing, "the target takes the traffic", {}, 0ms);
        }
    }

    void try_completing() {
        const auto has_confirmed = [&](const member& one) {
            const auto found = progress_.reports.find(one.id);
            return found != progress_.reports.end() &&
                   now_ - found->second.received_at <= report_lifetime &&
                   found->second.report.step == rollout_step::closing &&
                   found->second.report.open_at_others == 0;
        };
        const bool is_confirmed = std::ranges::all_of(state_.view->members, has_confirmed);
        if (is_confirmed) {
            decide(rollout_step::completed, "all members have confirmed", {}, 0ms);
        } else if (is_older_than(progress_, closing_part, now_)) {
            const auto missing = std::ranges::count_if(
                state_.view->members, [&](const member& one) { return !has_confirmed(one); });
            decide(rollout_step::completed,
                   std::to_string(missing) + " members have not confirmed in time", {}, 0ms);
        }
    }

    //! Tells all members of a change, and the other deciders that this one is alive.
    void notify(bool is_change) {
        const bool is_due = now_ >= progress_.next_heartbeat_at;
        if (!is_change && (!is_due || (is_over(progress_.step) && is_stored(progress_)))) {
            return;
        }
        progress_.next_heartbeat_at = now_ + report_period;
        const std::vector<member> receivers =
            is_change ? state_.view->members : deciders_of(*state_.view, progress_.order.pool);
        for (const member& to : receivers) {
            if (to.address != state_.settings.self.address) {
                out_.push_back(
                    send_to_peer{to, rollout_notice{state_.settings.self, progress_.order.pool,
                                                    progress_.key, order_age(progress_, now_),
                                                    progress_.step, progress_.reason}});
            }
        }
    }

    const rollout_state& state_;
    order_progress& progress_;
    instant now_;
    std::vector<rollout_effect>& out_;
};

//! Stops the target if this process's own results prove it bad.
void check_own_results(order_progress& progress, instant now, std::vector<rollout_effect>& out) {
    if (progress.step != rollout_step::comparing) {
        return;
    }
    const result_evidence evidence = test_results(own_results(progress));
    if (evidence.is_rejected() &&
        enter_step(progress, rollout_step::rolled_back, describe(evidence), now)) {
        rollout_decision decision = make_decision("rolled_back", progress, "own results", now);
        decision.figures = describe(evidence);
        decision.runner_up = describe_next(evidence);
        out.push_back(std::move(decision));
    }
}

void send_report(const rollout_state& state, order_progress& progress,
                 std::span<const member> deciders, instant now, std::vector<rollout_effect>& out) {
    rollout_report report{state.settings.self,
                          progress.order.pool,
                          progress.key,
                          order_age(progress, now),
                          progress.step,
                          open_at_others(state, progress),
                          progress.step == rollout_step::rolled_back ? progress.reason : "",
                          own_results(progress)};
    progress.reports[state.settings.self.id] = {report, now};
    for (const member& to : deciders) {
        if (to.address != state.settings.self.address) {
            out.push_back(send_to_peer{to, report});
        }
    }
}

}  // namespace

void advance_order(rollout_state& state, order_progress& progress, instant now,
                   std::vector<rollout_effect>& out) {
    if (is_over(progress.step) && is_stored(progress)) {
        return;
    }
    if (!progress.is_heard_of && progress.listed_age > 0ms &&
        now - progress.seen_at >= wall_clock_delay) {
        progress.started_at = std::min(progress.started_at, progress.seen_at - progress.listed_age);
        progress.listed_age = 0ms;
    }
    const std::vector<member> deciders = deciders_of(*state.view, progress.order.pool);
    if (now >= progress.next_report_at) {
        progress.next_report_at = now + report_period;
        check_own_results(progress, now, out);
        send_report(state, progress, deciders, now, out);
    }
    const auto self = std::ranges::find(deciders, state.settings.self.address, &member::address);
    const auto rank = static_cast<int>(self - deciders.begin());
    const instant last_heard = std::max(progress.decider_heard_at, progress.seen_at);
    const bool is_acting = self != deciders.end() && now - progress.seen_at >= hearing_time &&
                           now - last_heard >= decider_silence * rank;
    if (is_acting) {
        if (!std::exchange(progress.has_decided_before, true)) {
            out.push_back(make_decision("decider", progress, "rank " + std::to_string(rank), now));
        }
        decider(state, progress, now, out).act();
        return;
    }
    progress.has_decided_before = false;
    if (order_age(progress, now) >= progress.order.duration &&
        progress.step == rollout_step::comparing) {
        enter_step(progress, rollout_step::rolled_back, "no verdict before the deadline", now);
        out.push_back(make_decision("rolled_back", progress, "deadline", now));
    }
}

}  // namespace cyclamenmount::detail
