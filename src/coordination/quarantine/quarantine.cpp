#include "coordination/quarantine/quarantine.h"

#include "coordination/quarantine/internal/trials.h"
#include "types/overloaded.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

using detail::quarantine_context;

constexpr char pool_separator = '|';
constexpr milliseconds purge_period{1000};  // time between removals of overdue attempts

//! Sends suspects to a peer, if it is a known member.
void send_to(const quarantine_context& context, const instance_id& to, suspects_notice notice) {
    const auto peer = find_member(context.roster, to);
    if (peer && to != context.env.self.id) {
        context.out.emplace_back(send_to_peer{*peer, std::move(notice)});
    }
}

//! Sends the present state of a suspect to all members.
void announce_suspect(const quarantine_context& context, const fingerprint& body) {
    const auto found = context.state.suspects.find(body);
    if (found == context.state.suspects.end()) {
        return;
    }
    for (const member& peer : members(context.roster)) {
        send_to(context, peer.id, suspects_notice{{found->second}});
    }
}

void record_incarnation(quarantine_state& state, const upstream_report& report) {
    const bool full = state.incarnations.size() >= quarantine_limits::max_incarnations;
    if (report.upstream.empty() || report.incarnation.empty()) {
        return;
    }
    if (!full || state.incarnations.contains(report.upstream)) {
        state.incarnations[report.upstream] = report.incarnation;
    }
}

//! Id of an upstream's latest known incarnation. A crash may end several attempts; they all report
//! this id, so that the crash counts once.
std::string incarnation_id(const quarantine_state& state, const upstream_id& upstream) {
    const auto found = state.incarnations.find(upstream);
    return upstream.value + '@' +
           (found == state.incarnations.end() ? std::string{} : found->second);
}

//! Reports the end of a permitted attempt to the owner of its fingerprint. `incarnation` is empty
//! if the attempt neither crashed the upstream nor completed.
void report_trial_end(const quarantine_context& context, const attempt_id& attempt,
                      const tracked_attempt& tracked, bool died, std::string incarnation) {
    const auto owner = owner_of(context.roster, detail::trial_owner_key(tracked.body));
    if (tracked.is_trial && owner) {
        context.out.emplace_back(
            send_to_peer{*owner, trial_end{tracked.body, attempt, died, std::move(incarnation)}});
    }
}

void handle_crash(const quarantine_context& context, const fingerprint& body,
                  const std::string& incarnation) {
    if (detail::add_crash(context.state, body, incarnation)) {
        detail::record_crash(context.state, body);
        announce_suspect(context, body);
    }
}

void handle(const quarantine_context& context, const attempt_wanted& wanted) {
    const bool full = context.state.local_attempts.size() >= quarantine_limits::max_attempts;
    if (wanted.body.empty() || full) {
        return;
    }
    const milliseconds left =
        wanted.time_left > 0ms ? wanted.time_left : context.env.timing.longest_attempt;
    context.state.local_attempts[wanted.attempt] = {pool_fingerprint(wanted.body, wanted.pool),
                                                    false, context.now + left};
}

void handle(const quarantine_context& context, const attempt_ended& ended) {
    const std::string incarnation = incarnation_id(context.state, ended.upstream);
    record_incarnation(context.state, ended.report);
    const auto found = context.state.local_attempts.find(ended.attempt);
    if (found == context.state.local_attempts.end()) {
        return;
    }
    const tracked_attempt tracked = found->second;
    context.state.local_attempts.erase(found);
    const bool died = ended.outcome == attempt_outcome::died;
    const bool completed = ended.outcome == attempt_outcome::ok;
    report_trial_end(context, ended.attempt, tracked, died,
                     died || completed ? incarnation : std::string{});
    if (died) {
        handle_crash(context, tracked.body, incarnation);
    }
    if (completed && detail::clear_suspect(context.state, tracked.body)) {
        announce_suspect(context, tracked.body);
    }
}

void handle(const quarantine_context& context, const upstream_polled& polled) {
    if (polled.answered) {
        record_incarnation(context.state, polled.report);
    }
}

void handle(const quarantine_context& context, const tick& /*value*/) {
    detail::renew_ledgers(context);
    if (context.now < context.state.next_purge) {
        return;
    }
    context.state.next_purge = context.now + purge_period;
    std::erase_if(context.state.local_attempts, [&context](const auto& item) {
        return item.second.ends_at + context.env.timing.longest_attempt < context.now;
    });
}

// --- messages -----------------------------------------------------------------------------------

void handle_message(const quarantine_context& context, const instance_id& from,
                    const trial_request& request) {
    detail::renew_ledgers(context);
    detail::handle_trial_request(context, from, request);
}

void handle_message(const quarantine_context& context, const instance_id& /*from*/,
                    const trial_end& value) {
    detail::handle_trial_end(context, value);
    if (value.died) {
        handle_crash(context, value.body, value.incarnation);
    }
}

void handle_message(const quarantine_context& context, const instance_id& /*from*/,
                    const trial_reply& reply) {
    const auto found = context.state.local_attempts.find(reply.attempt);
    if (found != context.state.local_attempts.end() && reply.granted) {
        found->second.is_trial = true;
    }
}

void handle_message(const quarantine_context& context, const instance_id& /*from*/,
                    const suspects_notice& notice) {
    for (const suspect& received : notice.suspects) {
        if (detail::merge_suspect(context.state, received) && !received.cleared) {
            detail::record_crash(context.state, received.body);
        }
    }
}

void handle_message(const quarantine_context& context, const instance_id& /*from*/,
                    const report_notice& notice) {
    for (const upstream_report& report : notice.reports) {
        record_incarnation(context.state, report);
    }
}

//! Sends all suspects to a peer whose digest of suspects differs, and receives the peer's suspects
//! in the same way.
void handle_message(const quarantine_context& context, const instance_id& from,
                    const ping& received) {
    const bool same = received.versions.quarantine_digest == quarantine_digest(context.state);
    if (same || context.state.suspects.empty()) {
        return;
    }
    suspects_notice notice;
    for (const auto& item : context.state.suspects) {
        notice.suspects.push_back(item.second);
    }
    send_to(context, from, std::move(notice));
}

template <typename Other>
void handle_message(const quarantine_context& /*context*/, const instance_id& /*from*/,
                    const Other& /*value*/) {}

void handle(const quarantine_context& context, const peer_message_received& received) {
    std::visit([&context, &received](
                   const auto& message) { handle_message(context, received.from, message); },
               received.message);
}

template <typename Other>
void handle(const quarantine_context& /*context*/, const Other& /*value*/) {}

//! Calls the visitor for the suspects of a request fingerprint in all pools until it returns true.
template <typename Visitor>
bool any_suspect(const quarantine_state& state, const fingerprint& body, Visitor visitor) {
    const std::string prefix = body.value + pool_separator;
    for (auto it = state.suspects.lower_bound(body); it != state.suspects.end(); ++it) {
        const bool same = it->first == body || it->first.value.starts_with(prefix);
        if (!same) {
            return false;
        }
        if (visitor(it->second)) {
            return true;
        }
    }
    return false;
}

}  // namespace

quarantine_state make_quarantine() {
    return {};
}

void reduce_quarantine(quarantine_state& state, const environment& env, const roster_state& roster,
                       const event& happened, instant now, effects& out) {
    const quarantine_context context{state, env, roster, now, out};
    std::visit([&context](const auto& value) { handle(context, value); }, happened);
}

fingerprint pool_fingerprint(const fingerprint& body, const pool_name& pool) {
    return {body.value + pool_separator + pool.value};
}

bool is_suspect(const quarantine_state& state, const fingerprint& body) {
    return any_suspect(state, body,
                       [](const suspect& value) { return detail::count_crashes(value) > 0; });
}

bool is_quarantined(const quarantine_state& state, const fingerprint& body) {
    return any_suspect(state, body, [](const suspect& value) {
        return detail::count_crashes(value) >= quarantine_limits::max_crashes;
    });
}

std::optional<member> trial_owner(const roster_state& roster, const fingerprint& body) {
    return owner_of(roster, detail::trial_owner_key(body));
}

bool request_trial(const roster_state& roster, trial_request request, effects& out) {
    const auto owner = trial_owner(roster, request.body);
    if (!owner) {
        return false;
    }
    out.emplace_back(send_to_peer{*owner, std::move(request)});
    return true;
}

}  // namespace cyclamenmount
