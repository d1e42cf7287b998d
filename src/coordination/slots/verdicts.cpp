#include "coordination/slots/internal/parts.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

//! After a sign of cold, a verdict of warmth that may have been under way is ignored.
constexpr milliseconds old_verdict_limit{200};

constexpr std::size_t kept_incarnations = 4;

bool is_past(const known_upstream& upstream, const std::string& incarnation) {
    const auto& past = upstream.past_incarnations;
    return std::find(past.begin(), past.end(), incarnation) != past.end();
}

void tell_cold(slots_context& context, known_upstream& upstream, const std::string& sign) {
    const cold_notice notice{upstream.id, upstream.report.incarnation, sign};
    for (const member& each : members(context.roster)) {
        if (each.id != context.env.self.id) {
            context.out.emplace_back(send_to_peer{each, notice});
        }
    }
    context.out.emplace_back(log_line{severity::info, part::slots,
                                      "Upstream " + upstream.id.value + " is cold: " + sign + "."});
}

void take_load(known_upstream& upstream, const upstream_report& report) {
    upstream.report.in_flight = report.in_flight;
    upstream.report.capacity = report.capacity;
    upstream.report.condition = report.condition;
    upstream.running_at_report = upstream.running;
}

void take_response(slots_context& context, known_upstream& upstream,
                   const upstream_report& report) {
    const bool same = report.incarnation == upstream.report.incarnation;
    if (!same && is_past(upstream, report.incarnation)) {
        return;
    }
    take_incarnation(upstream, report.incarnation);
    take_load(upstream, report);
    const bool may_be_old = upstream.warm && context.now - upstream.warm_since < report_lag;
    if (!same || (report.condition == upstream_condition::cold && !may_be_old)) {
        mark_cold(context, upstream, "response", true);
        return;
    }
    if (report.condition == upstream_condition::warm) {
        upstream.warm_response_at = context.now;
    }
}

void take_verdict(slots_context& context, known_upstream& upstream, const upstream_report& report) {
    if (!take_incarnation(upstream, report.incarnation)) {
        return;
    }
    if (report.condition == upstream_condition::cold) {
        mark_cold(context, upstream, "report", false);
    }
    take_load(upstream, report);
    const bool is_warm = report.condition == upstream_condition::warm;
    const bool out = is_out(context.documents, upstream.zone, upstream.id);
    if (is_warm && !out && context.now >= upstream.warm_not_before) {
        mark_warm(upstream, context.now, context.now);
    }
}

}  // namespace

bool take_incarnation(known_upstream& upstream, const std::string& incarnation) {
    std::string& known = upstream.report.incarnation;
    if (known == incarnation) {
        return true;
    }
    if (is_past(upstream, incarnation)) {
        return false;
    }
    if (!known.empty()) {
        upstream.past_incarnations.push_back(known);
    }
    if (upstream.past_incarnations.size() > kept_incarnations) {
        upstream.past_incarnations.erase(upstream.past_incarnations.begin());
    }
    known = incarnation;
    upstream.warm = false;
    return true;
}

void mark_cold(slots_context& context, known_upstream& upstream, const std::string& sign,
               bool tell) {
    const bool is_news = upstream.warm;
    upstream.warm = false;
    upstream.warm_not_before = context.now + old_verdict_limit;
    if (!is_news) {
        return;
    }
    if (tell) {
        tell_cold(context, upstream, sign);
    }
    slot_book* book = own_book(context, upstream);
    if (book != nullptr) {
        doubt_warmth(context, *book);
    }
}

void mark_warm(known_upstream& upstream, instant heard_at, instant now) {
    if (!upstream.warm) {
        upstream.warm_since = now;
    }
    upstream.warm = true;
    upstream.warm_heard_at = heard_at;
}

void handle_cold_notice(slots_context& context, const cold_notice& notice) {
    known_upstream* upstream = find_known(context.state, notice.upstream);
    if (upstream == nullptr || is_past(*upstream, notice.incarnation)) {
        return;
    }
    if (!notice.incarnation.empty()) {
        take_incarnation(*upstream, notice.incarnation);
    }
    mark_cold(context, *upstream, notice.sign, false);
    slot_book* book = own_book(context, *upstream);
    if (book != nullptr && book->verdict == home_verdict::warm) {
        doubt_warmth(context, *book);
    }
}

void handle_report_notice(slots_context& context, const instance_id& from,
                          const report_notice& notice) {
    if (notice.generation < generation(context.roster)) {
        return;
    }
    for (const upstream_report& report : notice.reports) {
        known_upstream* upstream = find_known(context.state, report.upstream);
        if (upstream == nullptr || notice.generation < upstream->verdict_generation) {
            continue;
        }
        const auto& home = home_of_upstream(context.roster, *upstream);
        const bool same_view = notice.generation == generation(context.roster);
        if (same_view && home && home->id != from) {
            continue;
        }
        upstream->verdict_generation = notice.generation;
        take_verdict(context, *upstream, report);
    }
}

void handle_attempt_end(slots_context& context, const attempt_ended& ended) {
    const auto found = context.state.running.find(ended.attempt);
    if (found == context.state.running.end()) {
        return;
    }
    const running_attempt value = found->second;
    context.state.running.erase(found);
    known_upstream* upstream = find_known(context.state, value.upstream);
    if (upstream == nullptr) {
        return;
    }
    upstream->running = std::max(0, upstream->running - 1);
    if (!ended.report.upstream.empty()) {
        take_response(context, *upstream, ended.report);
    }
    const bool same = value.incarnation == upstream->report.incarnation;
    if (ended.outcome == attempt_outcome::died && same) {
        mark_cold(context, *upstream, "died", true);
    }
    if (!value.slot.empty() || !upstream->warm) {
        const attempt_id& name = value.slot.empty() ? ended.attempt : value.slot;
        release_slot(context.state, context.roster, upstream->id, name, context.out);
    }
}

}  // namespace cyclamenmount::detail
