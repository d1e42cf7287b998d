#include "coordination/slots/internal/reducer_steps.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

//! After an indication of cold, declarations of warm are ignored for this long, since they may have
//! been sent before it.
constexpr milliseconds outdated_warm_window{200};

//! Replaced incarnations remembered for each upstream.
constexpr std::size_t kept_incarnations = 4;

bool is_replaced_incarnation(const upstream_state& upstream, const std::string& incarnation) {
    const auto& past = upstream.past_incarnations;
    return std::find(past.begin(), past.end(), incarnation) != past.end();
}

void announce_cold(slots_context& context, upstream_state& upstream, const std::string& sign) {
    const cold_notice notice{upstream.id, upstream.report.incarnation, sign};
    for (const member& each : members(context.roster)) {
        if (each.id != context.env.self.id) {
            context.out.emplace_back(send_to_peer{each, notice});
        }
    }
    context.out.emplace_back(
        log_line{severity::info, component::slots,
                 "Upstream " + upstream.id.value + " marked cold: " + sign + "."});
}

void update_load(upstream_state& upstream, const upstream_report& report) {
    upstream.report.in_flight = report.in_flight;
    upstream.report.capacity = report.capacity;
    upstream.report.condition = report.condition;
    upstream.running_at_report = upstream.running;
}

void apply_response_report(slots_context& context, upstream_state& upstream,
                           const upstream_report& report) {
    const bool is_same_incarnation = report.incarnation == upstream.report.incarnation;
    if (!is_same_incarnation && is_replaced_incarnation(upstream, report.incarnation)) {
        return;
    }
    update_incarnation(upstream, report.incarnation);
    update_load(upstream, report);
    const bool may_predate_warm = upstream.warm && context.now - upstream.warm_since < report_lag;
    if (!is_same_incarnation ||
        (report.condition == upstream_condition::cold && !may_predate_warm)) {
        mark_cold(context, upstream, "response", true);
        return;
    }
    if (report.condition == upstream_condition::warm) {
        upstream.warm_response_at = context.now;
    }
}

void apply_declared_condition(slots_context& context, upstream_state& upstream,
                              const upstream_report& report) {
    if (!update_incarnation(upstream, report.incarnation)) {
        return;
    }
    if (report.condition == upstream_condition::cold) {
        mark_cold(context, upstream, "report", false);
    }
    update_load(upstream, report);
    const bool is_warm = report.condition == upstream_condition::warm;
    const bool out = is_out_of_service(context.documents, upstream.zone, upstream.id);
    if (is_warm && !out && context.now >= upstream.ignore_warm_until) {
        mark_warm(upstream, context.now, context.now);
    }
}

}  // namespace

bool update_incarnation(upstream_state& upstream, const std::string& incarnation) {
    std::string& current = upstream.report.incarnation;
    if (current == incarnation) {
        return true;
    }
    if (is_replaced_incarnation(upstream, incarnation)) {
        return false;
    }
    if (!current.empty()) {
        upstream.past_incarnations.push_back(current);
    }
    if (upstream.past_incarnations.size() > kept_incarnations) {
        upstream.past_incarnations.erase(upstream.past_incarnations.begin());
    }
    current = incarnation;
    upstream.warm = false;
    return true;
}

void mark_cold(slots_context& context, upstream_state& upstream, const std::string& sign,
               bool announce) {
    const bool was_warm = upstream.warm;
    upstream.warm = false;
    upstream.ignore_warm_until = context.now + outdated_warm_window;
    if (!was_warm) {
        return;
    }
    if (announce) {
        announce_cold(context, upstream, sign);
    }
    slot_ledger* ledger = refresh_ledger(context, upstream);
    if (ledger != nullptr) {
        invalidate_warm(context, *ledger);
    }
}

void mark_warm(upstream_state& upstream, instant declared_at, instant now) {
    if (!upstream.warm) {
        upstream.warm_since = now;
    }
    upstream.warm = true;
    upstream.warm_declared_at = declared_at;
}

void handle_cold_notice(slots_context& context, const cold_notice& notice) {
    upstream_state* upstream = find_upstream(context.state, notice.upstream);
    if (upstream == nullptr || is_replaced_incarnation(*upstream, notice.incarnation)) {
        return;
    }
    if (!notice.incarnation.empty()) {
        update_incarnation(*upstream, notice.incarnation);
    }
    mark_cold(context, *upstream, notice.sign, false);
    slot_ledger* ledger = refresh_ledger(context, *upstream);
    if (ledger != nullptr && ledger->declared == declared_condition::warm) {
        invalidate_warm(context, *ledger);
    }
}

void handle_report_notice(slots_context& context, const instance_id& from,
                          const report_notice& notice) {
    if (notice.generation < generation(context.roster)) {
        return;
    }
    for (const upstream_report& report : notice.reports) {
        upstream_state* upstream = find_upstream(context.state, report.upstream);
        if (upstream == nullptr || notice.generation < upstream->owner_message_generation) {
            continue;
        }
        const auto& owner = owner_of_upstream(context.roster, *upstream);
        const bool is_same_generation = notice.generation == generation(context.roster);
        if (is_same_generation && owner && owner->id != from) {
            continue;
        }
        upstream->owner_message_generation = notice.generation;
        apply_declared_condition(context, *upstream, report);
    }
}

void handle_attempt_end(slots_context& context, const attempt_ended& ended) {
    const auto found = context.state.running.find(ended.attempt);
    if (found == context.state.running.end()) {
        return;
    }
    const running_attempt value = found->second;
    context.state.running.erase(found);
    upstream_state* upstream = find_upstream(context.state, value.upstream);
    if (upstream == nullptr) {
        return;
    }
    upstream->running = std::max(0, upstream->running - 1);
    if (!ended.report.upstream.empty()) {
        apply_response_report(context, *upstream, ended.report);
    }
    const bool is_same_incarnation = value.incarnation == upstream->report.incarnation;
    if (ended.outcome == attempt_outcome::died && is_same_incarnation) {
        mark_cold(context, *upstream, "died", true);
    }
    if (!value.slot.empty() || !upstream->warm) {
        const attempt_id& slot = value.slot.empty() ? ended.attempt : value.slot;
        release_slot(context.state, context.roster, upstream->id, slot, context.out);
    }
}

}  // namespace cyclamenmount::detail
