#include "coordination/shares/shares.h"

#include "coordination/shares/internal/share_home.h"

#include <algorithm>
#include <cmath>

namespace cyclamenmount {

namespace {

using detail::shares_context;

constexpr milliseconds starved_report{200};  //!< earliest report after a refusal
constexpr double smoothing_seconds = 1.0;
constexpr double negligible_demand = 0.05;
constexpr double request_burst_seconds = 0.2;
constexpr double output_burst_minutes = 1.0 / 6.0;

refusal not_run(refusal_reason reason, std::string detail, milliseconds retry_after) {
    return refusal{reason, execution::not_run, std::move(detail), {}, retry_after};
}

double request_burst(const workspace_share& share) {
    return std::max(1.0, share.requests_per_second * request_burst_seconds);
}

double output_burst(const workspace_share& share) {
    return std::max(1.0, share.tokens_per_minute * output_burst_minutes);
}

void fill(held_share& held, const workspace_share& share, instant now) {
    const double seconds = std::chrono::duration<double>(now - held.filled_at).count();
    held.filled_at = now;
    held.request_tokens =
        std::min(request_burst(share), held.request_tokens + share.requests_per_second * seconds);
    held.output_tokens = std::min(output_burst(share),
                                  held.output_tokens + share.tokens_per_minute * seconds / 60.0);
}

std::optional<refusal> lacking(held_share& held, const workspace_share& share) {
    if (held.running >= share.concurrent) {
        ++held.lacked;
        return not_run(refusal_reason::concurrency_limited, "Concurrent requests are used up.",
                       starved_report);
    }
    if (held.request_tokens < 1.0) {
        return not_run(refusal_reason::rate_limited, "Requests a second are used up.",
                       starved_report);
    }
    if (held.output_tokens <= 0) {
        held.lacked_tokens = true;
        return not_run(refusal_reason::tokens_limited, "Tokens a minute are used up.",
                       starved_report);
    }
    return std::nullopt;
}

// --- reports ------------------------------------------------------------------------------------

void smooth(double& value, double measured, double seconds) {
    value += (1.0 - std::exp(-seconds / smoothing_seconds)) * (measured - value);
}

workspace_demand take_demand(const workspace_name& workspace, held_share& held, double seconds) {
    smooth(held.rate_demand, held.asked / seconds, seconds);
    smooth(held.output_demand, held.output_used * 60.0 / seconds, seconds);
    workspace_demand demand{workspace, held.rate_demand, held.running + held.lacked, held.running,
                            held.output_demand};
    if (held.lacked_tokens) {
        demand.tokens_per_minute =
            std::max(demand.tokens_per_minute, 2 * held.share.tokens_per_minute);
    }
    const bool idle = held.rate_demand <= negligible_demand && demand.concurrent == 0 &&
                      demand.tokens_per_minute <= negligible_demand;
    held.asked = 0;
    held.lacked = 0;
    held.output_used = 0;
    held.starved = false;
    held.lacked_tokens = false;
    return idle ? workspace_demand{workspace, 0, 0, 0, 0} : demand;
}

bool is_report_due(const shares_context& context) {
    const milliseconds since =
        std::chrono::duration_cast<milliseconds>(context.now - context.state.reported_at);
    if (since >= context.env.timing.share_period) {
        return true;
    }
    return since >= starved_report &&
           std::any_of(context.state.held.begin(), context.state.held.end(),
                       [](const auto& place) { return place.second.starved; });
}

//! A share is given up with the report that wants nothing; grants on their way no longer count.
void release_share(held_share& held, std::uint64_t sequence) {
    held.granted_at.reset();
    held.share = {};
    held.applied = sequence;
}

void send_report(const shares_context& context, const member& home, share_report report) {
    report.generation = generation(context.roster);
    report.sequence = context.state.next_sequence++;
    for (const workspace_demand& demand : report.demands) {
        held_share& held = context.state.held[demand.workspace];
        report.applied = std::max(report.applied, held.applied);
        if (detail::is_zero(demand)) {
            release_share(held, report.sequence);
        }
    }
    context.state.reports[report.sequence] = context.now;
    context.out.emplace_back(send_to_peer{home, std::move(report)});
}

//! Nothing runs, nothing is held, and no debt is left: the state can be made anew.
bool is_idle(const held_share& held) {
    return held.running == 0 && !held.granted_at && held.asked == 0 &&
           held.rate_demand <= negligible_demand && held.output_tokens > 0;
}

void report_demands(const shares_context& context) {
    const double seconds =
        std::chrono::duration<double>(context.now - context.state.reported_at).count();
    context.state.reported_at = context.now;
    std::map<instance_id, std::pair<member, share_report>> by_home;
    for (auto& [workspace, held] : context.state.held) {
        const workspace_demand demand = take_demand(workspace, held, seconds);
        const auto home = home_of(context.roster, detail::share_home_key(workspace));
        if (home && (held.granted_at || !detail::is_zero(demand))) {
            auto& [to, report] = by_home[home->id];
            to = *home;
            report.demands.push_back(demand);
        }
    }
    std::erase_if(context.state.held, [](const auto& place) { return is_idle(place.second); });
    for (auto& place : by_home) {
        send_report(context, place.second.first, std::move(place.second.second));
    }
}

void forget_old_reports(const shares_context& context) {
    std::erase_if(context.state.reports, [&context](const auto& place) {
        return context.now - place.second >= context.env.timing.share_lapse;
    });
}

//! A share is dated by the report that it answers; one that was held up on its way is dropped.
void handle_grant(const shares_context& context, const share_grant& grant) {
    const auto sent = context.state.reports.find(grant.sequence);
    if (sent == context.state.reports.end() || grant.generation < generation(context.roster)) {
        return;
    }
    for (const workspace_share& share : grant.shares) {
        const auto found = context.state.held.find(share.workspace);
        const allowance* limits = detail::limits_of(context.documents, share.workspace);
        if (found == context.state.held.end() || limits == nullptr ||
            found->second.applied >= grant.sequence) {
            continue;
        }
        held_share& held = found->second;
        fill(held,
             detail::share_in_force(held, context.env, context.roster, share.workspace, *limits,
                                    context.now),
             context.now);
        held.share = share;
        held.granted_at = sent->second;
        held.applied = grant.sequence;
    }
}

void handle_end(shares_state& state, const request_ended& ended) {
    const auto found = state.held.find(ended.workspace);
    if (found == state.held.end()) {
        return;
    }
    held_share& held = found->second;
    held.running = std::max(0, held.running - 1);
    held.output_tokens -= ended.tokens;
    held.output_used += ended.tokens;
}

}  // namespace

shares_state make_shares() {
    return {};
}

void reduce_shares(shares_state& state, const environment& env, const roster_state& roster,
                   const documents_state& documents, const event& happened, instant now,
                   effects& out) {
    const shares_context context{state, env, roster, documents, now, out};
    if (const auto* ended = std::get_if<request_ended>(&happened)) {
        handle_end(state, *ended);
    } else if (std::holds_alternative<tick>(happened)) {
        detail::renew_books(context);
        forget_old_reports(context);
        if (is_report_due(context)) {
            report_demands(context);
        }
    } else if (const auto* received = std::get_if<peer_message_received>(&happened)) {
        if (const auto* report = std::get_if<share_report>(&received->message)) {
            detail::handle_report(context, received->from, *report);
        } else if (const auto* grant = std::get_if<share_grant>(&received->message)) {
            handle_grant(context, *grant);
        }
    }
}

decided<bool> take_share(shares_state& state, const environment& env, const roster_state& roster,
                         const workspace_name& workspace, const allowance& limits, instant now) {
    auto [place, fresh] = state.held.try_emplace(workspace);
    held_share& held = place->second;
    const workspace_share share = detail::share_in_force(held, env, roster, workspace, limits, now);
    if (fresh) {
        held.filled_at = now;
        held.request_tokens = request_burst(share);
        held.output_tokens = output_burst(share);
    }
    fill(held, share, now);
    ++held.asked;
    if (auto refused = lacking(held, share)) {
        held.starved = true;
        return *refused;
    }
    held.request_tokens -= 1.0;
    ++held.running;
    return true;
}

namespace detail {

workspace_share share_in_force(const held_share& held, const environment& env,
                               const roster_state& roster, const workspace_name& workspace,
                               const allowance& limits, instant now) {
    const std::size_t count = members(roster).size();
    if (!held.granted_at) {
        return floor_share(workspace, limits, count);
    }
    if (now - *held.granted_at < env.timing.share_lapse) {
        const workspace_share all{workspace, limits.requests_per_second, limits.concurrent,
                                  limits.tokens_per_minute};
        return lower_of(held.share, all);
    }
    return lower_of(held.share, even_share(workspace, limits, count));
}

}  // namespace detail

}  // namespace cyclamenmount
