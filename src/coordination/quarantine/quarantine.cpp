#include "coordination/quarantine/quarantine.h"

#include "coordination/quarantine/internal/trials.h"
#include "types/overloaded.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

using detail::trial_context;

constexpr char pool_separator = '|';
constexpr milliseconds purge_period{1000};

void send_to(const trial_context& context, const instance_id& to, suspects_notice notice) {
    const auto peer = find_member(context.roster, to);
    if (peer && to != context.env.self.id) {
        context.out.emplace_back(send_to_peer{*peer, std::move(notice)});
    }
}

void tell_members(const trial_context& context, const fingerprint& body) {
    const auto found = context.state.suspects.find(body);
    if (found == context.state.suspects.end()) {
        return;
    }
    for (const member& peer : members(context.roster)) {
        send_to(context, peer.id, suspects_notice{{found->second}});
    }
}

void note_incarnation(quarantine_state& state, const upstream_report& report) {
    const bool full = state.incarnations.size() >= quarantine_limits::incarnations;
    if (report.upstream.empty() || report.incarnation.empty()) {
        return;
    }
    if (!full || state.incarnations.contains(report.upstream)) {
        state.incarnations[report.upstream] = report.incarnation;
    }
}

//! One fall of an upstream, however many attempts saw it.
std::string death_name(const quarantine_state& state, const upstream_id& upstream) {
    const auto found = state.incarnations.find(upstream);
    return upstream.value + '@' +
           (found == state.incarnations.end() ? std::string{} : found->second);
}

void end_trial(const trial_context& context, const attempt_id& attempt, const tried_attempt& tried,
               bool died, std::string upstream) {
    const auto home = home_of(context.roster, detail::trial_home_key(tried.body));
    if (tried.trial && home) {
        context.out.emplace_back(
            send_to_peer{*home, trial_end{tried.body, attempt, died, std::move(upstream)}});
    }
}

void handle_death(const trial_context& context, const fingerprint& body,
                  const std::string& upstream) {
    if (detail::add_death(context.state, body, upstream)) {
        detail::note_death(context.state, body);
        tell_members(context, body);
    }
}

void handle(const trial_context& context, const attempt_wanted& wanted) {
    const bool full = context.state.running_here.size() >= quarantine_limits::attempts;
    if (wanted.body.empty() || full) {
        return;
    }
    const milliseconds left =
        wanted.time_left > 0ms ? wanted.time_left : context.env.timing.longest_attempt;
    context.state.running_here[wanted.attempt] = {tried_in(wanted.body, wanted.pool), false,
                                                  context.now + left};
}

void handle(const trial_context& context, const attempt_ended& ended) {
    const std::string upstream = death_name(context.state, ended.upstream);
    note_incarnation(context.state, ended.report);
    const auto found = context.state.running_here.find(ended.attempt);
    if (found == context.state.running_here.end()) {
        return;
    }
    const tried_attempt tried = found->second;
    context.state.running_here.erase(found);
    const bool died = ended.outcome == attempt_outcome::died;
    const bool ran_through = ended.outcome == attempt_outcome::ok;
    end_trial(context, ended.attempt, tried, died, died || ran_through ? upstream : std::string{});
    if (died) {
        handle_death(context, tried.body, upstream);
    }
    if (ran_through && detail::absolve(context.state, tried.body)) {
        tell_members(context, tried.body);
    }
}

void handle(const trial_context& context, const upstream_polled& polled) {
    if (polled.answered) {
        note_incarnation(context.state, polled.report);
    }
}

void handle(const trial_context& context, const tick& /*value*/) {
    detail::renew_books(context);
    if (context.now < context.state.next_purge) {
        return;
    }
    context.state.next_purge = context.now + purge_period;
    std::erase_if(context.state.running_here, [&context](const auto& place) {
        return place.second.ends_at + context.env.timing.longest_attempt < context.now;
    });
}

// --- messages -----------------------------------------------------------------------------------

void handle_message(const trial_context& context, const instance_id& from,
                    const trial_request& request) {
    detail::renew_books(context);
    detail::handle_trial_request(context, from, request);
}

void handle_message(const trial_context& context, const instance_id& /*from*/,
                    const trial_end& value) {
    detail::handle_trial_end(context, value);
    if (value.died) {
        handle_death(context, value.body, value.incarnation);
    }
}

void handle_message(const trial_context& context, const instance_id& /*from*/,
                    const trial_reply& reply) {
    const auto found = context.state.running_here.find(reply.attempt);
    if (found != context.state.running_here.end() && reply.granted) {
        found->second.trial = true;
    }
}

void handle_message(const trial_context& context, const instance_id& /*from*/,
                    const suspects_notice& notice) {
    for (const suspect& heard : notice.suspects) {
        if (detail::merge_suspect(context.state, heard) && !heard.cleared) {
            detail::note_death(context.state, heard.body);
        }
    }
}

void handle_message(const trial_context& context, const instance_id& /*from*/,
                    const report_notice& notice) {
    for (const upstream_report& report : notice.reports) {
        note_incarnation(context.state, report);
    }
}

//! A peer that holds other suspects than this instance is told all of these; it does the same.
void handle_message(const trial_context& context, const instance_id& from, const ping& heard) {
    const bool same = heard.versions.quarantine_digest == quarantine_digest(context.state);
    if (same || context.state.suspects.empty()) {
        return;
    }
    suspects_notice notice;
    for (const auto& place : context.state.suspects) {
        notice.suspects.push_back(place.second);
    }
    send_to(context, from, std::move(notice));
}

template <typename Other>
void handle_message(const trial_context& /*context*/, const instance_id& /*from*/,
                    const Other& /*value*/) {}

void handle(const trial_context& context, const peer_message_received& received) {
    std::visit([&context, &received](
                   const auto& message) { handle_message(context, received.from, message); },
               received.message);
}

template <typename Other>
void handle(const trial_context& /*context*/, const Other& /*value*/) {}

//! Calls the visitor with every suspect of this body until it returns true.
template <typename Visitor>
bool any_pool(const quarantine_state& state, const fingerprint& body, Visitor visitor) {
    const std::string prefix = body.value + pool_separator;
    for (auto place = state.suspects.lower_bound(body); place != state.suspects.end(); ++place) {
        const bool same = place->first == body || place->first.value.starts_with(prefix);
        if (!same) {
            return false;
        }
        if (visitor(place->second)) {
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
    const trial_context context{state, env, roster, now, out};
    std::visit([&context](const auto& value) { handle(context, value); }, happened);
}

fingerprint tried_in(const fingerprint& body, const pool_name& pool) {
    return {body.value + pool_separator + pool.value};
}

bool is_suspect(const quarantine_state& state, const fingerprint& body) {
    return any_pool(state, body,
                    [](const suspect& value) { return detail::counted_deaths(value) > 0; });
}

bool is_quarantined(const quarantine_state& state, const fingerprint& body) {
    return any_pool(state, body, [](const suspect& value) {
        return detail::counted_deaths(value) >= quarantine_limits::deaths;
    });
}

std::optional<member> trial_home(const roster_state& roster, const fingerprint& tried) {
    return home_of(roster, detail::trial_home_key(tried));
}

bool ask_trial(const roster_state& roster, trial_request request, effects& out) {
    const auto home = trial_home(roster, request.body);
    if (!home) {
        return false;
    }
    out.emplace_back(send_to_peer{*home, std::move(request)});
    return true;
}

}  // namespace cyclamenmount
