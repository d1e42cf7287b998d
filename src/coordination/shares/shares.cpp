#include "coordination/shares/shares.h"

#include "coordination/shares/internal/share_owner.h"

#include <algorithm>
#include <cmath>

namespace cyclamenmount {

namespace {

using detail::shares_context;

constexpr milliseconds limited_report_period{200};  //!< shortest report period after a refusal
constexpr double smoothing_seconds = 1.0;           //!< time constant of the exponential smoothing
constexpr double negligible_demand = 0.05;          //!< smoothed demand that counts as none
constexpr double request_burst_seconds = 0.2;       //!< bucket size as time at the granted rate
constexpr double output_burst_minutes = 1.0 / 6.0;  //!< bucket size as time at the granted rate

refusal make_refusal(refusal_reason reason, std::string detail, milliseconds retry_after) {
    return refusal{reason, execution::not_run, std::move(detail), {}, retry_after};
}

//! Capacity of the token bucket for requests.
double request_bucket_size(const workspace_share& share) {
    return std::max(1.0, share.requests_per_second * request_burst_seconds);
}

//! Capacity of the token bucket for generated tokens.
double output_bucket_size(const workspace_share& share) {
    return std::max(1.0, share.tokens_per_minute * output_burst_minutes);
}

//! Refills both token buckets for the time since the last refill.
void refill(held_share& held, const workspace_share& share, instant now) {
    const double seconds = std::chrono::duration<double>(now - held.refilled_at).count();
    held.refilled_at = now;
    held.request_tokens = std::min(request_bucket_size(share),
                                   held.request_tokens + share.requests_per_second * seconds);
    held.output_tokens = std::min(output_bucket_size(share),
                                  held.output_tokens + share.tokens_per_minute * seconds / 60.0);
}

//! Returns a refusal if the share has no capacity for one more request.
std::optional<refusal> check_share(held_share& held, const workspace_share& share) {
    if (held.running >= share.concurrent) {
        ++held.concurrency_refusals;
        return make_refusal(refusal_reason::concurrency_limited,
                            "The limit of concurrent requests is reached.", limited_report_period);
    }
    if (held.request_tokens < 1.0) {
        return make_refusal(refusal_reason::rate_limited,
                            "The limit of requests per second is reached.", limited_report_period);
    }
    if (held.output_tokens <= 0) {
        held.is_output_limited = true;
        return make_refusal(refusal_reason::tokens_limited,
                            "The limit of tokens per minute is reached.", limited_report_period);
    }
    return std::nullopt;
}

// --- reports ------------------------------------------------------------------------------------

//! Updates an exponential moving average.
void smooth(double& value, double measured, double seconds) {
    value += (1.0 - std::exp(-seconds / smoothing_seconds)) * (measured - value);
}

//! Returns the demand since the last report, and restarts its counters.
workspace_demand collect_demand(const workspace_name& workspace, held_share& held, double seconds) {
    smooth(held.rate_demand, held.request_count / seconds, seconds);
    smooth(held.output_demand, held.output_used * 60.0 / seconds, seconds);
    workspace_demand demand{workspace, held.rate_demand, held.running + held.concurrency_refusals,
                            held.running, held.output_demand};
    if (held.is_output_limited) {
        demand.tokens_per_minute =
            std::max(demand.tokens_per_minute, 2 * held.share.tokens_per_minute);
    }
    const bool is_without_demand = held.rate_demand <= negligible_demand &&
                                   demand.concurrent == 0 &&
                                   demand.tokens_per_minute <= negligible_demand;
    held.request_count = 0;
    held.concurrency_refusals = 0;
    held.output_used = 0;
    held.is_limited = false;
    held.is_output_limited = false;
    return is_without_demand ? workspace_demand{workspace, 0, 0, 0, 0} : demand;
}

bool is_report_due(const shares_context& context) {
    const milliseconds since =
        std::chrono::duration_cast<milliseconds>(context.now - context.state.reported_at);
    if (since >= context.env.timing.share_period) {
        return true;
    }
    return since >= limited_report_period &&
           std::any_of(context.state.held.begin(), context.state.held.end(),
                       [](const auto& entry) { return entry.second.is_limited; });
}

//! Releases the share when a report without demand is sent. Grants still in transit are ignored.
void release_share(held_share& held, std::uint64_t sequence) {
    held.granted_at.reset();
    held.share = {};
    held.applied = sequence;
}

void send_report(const shares_context& context, const member& owner, share_report report) {
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
    context.out.emplace_back(send_to_peer{owner, std::move(report)});
}

//! Returns true if the entry can be erased: no request runs, no share is held, and the bucket for
//! generated tokens isn't overdrawn.
bool is_idle(const held_share& held) {
    return held.running == 0 && !held.granted_at && held.request_count == 0 &&
           held.rate_demand <= negligible_demand && held.output_tokens > 0;
}

//! Reports the demands of all workspaces, in one message per owner.
void report_demands(const shares_context& context) {
    const double seconds =
        std::chrono::duration<double>(context.now - context.state.reported_at).count();
    context.state.reported_at = context.now;
    std::map<instance_id, std::pair<member, share_report>> by_owner;
    for (auto& [workspace, held] : context.state.held) {
        const workspace_demand demand = collect_demand(workspace, held, seconds);
        const auto owner = owner_of(context.roster, detail::share_owner_key(workspace));
        if (owner && (held.granted_at || !detail::is_zero(demand))) {
            auto& [to, report] = by_owner[owner->id];
            to = *owner;
            report.demands.push_back(demand);
        }
    }
    std::erase_if(context.state.held, [](const auto& entry) { return is_idle(entry.second); });
    for (auto& entry : by_owner) {
        send_report(context, entry.second.first, std::move(entry.second.second));
    }
}

void erase_expired_reports(const shares_context& context) {
    std::erase_if(context.state.reports, [&context](const auto& entry) {
        return context.now - entry.second >= context.env.timing.share_lifetime;
    });
}

//! Applies a grant. The lifetime of a share begins when the report was sent that the grant replies
//! to. A grant that arrives after that lifetime, or after a newer grant, is ignored.
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
        refill(held,
               detail::share_in_force(held, context.env, context.roster, share.workspace, *limits,
                                      context.now),
               context.now);
        held.share = share;
        held.granted_at = sent->second;
        held.applied = grant.sequence;
    }
}

void handle_request_end(shares_state& state, const request_ended& ended) {
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
        handle_request_end(state, *ended);
    } else if (std::holds_alternative<tick>(happened)) {
        detail::renew_ledgers(context);
        erase_expired_reports(context);
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
    auto [entry, inserted] = state.held.try_emplace(workspace);
    held_share& held = entry->second;
    const workspace_share share = detail::share_in_force(held, env, roster, workspace, limits, now);
    if (inserted) {
        held.refilled_at = now;
        held.request_tokens = request_bucket_size(share);
        held.output_tokens = output_bucket_size(share);
    }
    refill(held, share, now);
    ++held.request_count;
    if (auto refused = check_share(held, share)) {
        held.is_limited = true;
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
    if (now - *held.granted_at < env.timing.share_lifetime) {
        const workspace_share all{workspace, limits.requests_per_second, limits.concurrent,
                                  limits.tokens_per_minute};
        return lower_of(held.share, all);
    }
    return lower_of(held.share, equal_share(workspace, limits, count));
}

}  // namespace detail

}  // namespace cyclamenmount
