#include "coordination/dispatch/dispatch.h"

#include "coordination/dispatch/internal/selection.h"
#include "types/overloaded.h"

#include <algorithm>
#include <string>

namespace cyclamenmount {

namespace {

using detail::dispatch_context;

//! Maximum number of pending attempts.
constexpr std::size_t max_pending = 1000;

//! Time that an attempt waits for this instance to become a member with fresh state again.
constexpr milliseconds fresh_state_timeout{1500};

//! Remaining part of the start window after the longest time that an owner queues a slot request.
constexpr milliseconds slot_wait_margin{150};

//! Backoff of slot requests for an upstream after its owner denied one.
constexpr milliseconds denial_backoff{100};

//! Backoff of slot requests for an upstream after its owner didn't reply in time.
constexpr milliseconds unresponsive_owner_backoff{1000};

//! Timeout of a slot request for an attempt that could start at a warm upstream instead.
constexpr milliseconds slot_reply_timeout{50};

//! Limit of open slot requests for one pool, as a multiple of the total cold capacity of its
//! upstreams.
constexpr std::size_t slot_requests_per_capacity = 2;

//! Timeout of a trial request. After it, a request that isn't a suspect goes on without a trial,
//! and a suspect requests the trial again.
constexpr milliseconds trial_reply_timeout{250};

//! An owner that has missed more heartbeats gets no trial requests, except for suspects.
constexpr int max_missed_heartbeats = 2;

//! Retry time sent with a refusal for overload.
constexpr milliseconds retry_hint{1000};

void refuse(dispatch_context& context, const attempt_wanted& wanted, refusal_reason reason,
            std::string detail, execution state = execution::not_run) {
    refusal value;
    value.reason = reason;
    value.state = state;
    value.detail = std::move(detail);
    value.retry_after = reason == refusal_reason::overloaded ? retry_hint : milliseconds(0);
    context.out.emplace_back(attempt_decided{wanted.number, wanted.attempt, std::move(value)});
}

//! Releases the requested slot, or withdraws the request from the owner's queue.
void withdraw_slot(dispatch_context& context, pending_attempt& pending) {
    if (pending.slot_requested_for) {
        release_slot(context.slots, context.roster, *pending.slot_requested_for, pending.slot,
                     context.out);
    }
    pending.slot_requested_for.reset();
}

//! Refuses a pending attempt and removes it.
void refuse_pending(dispatch_context& context, const attempt_id& attempt, refusal_reason reason,
                    const std::string& detail, execution state = execution::not_run) {
    auto node = context.state.pending.extract(attempt);
    withdraw_slot(context, node.mapped());
    refuse(context, node.mapped().wanted, reason, detail, state);
}

void grant(dispatch_context& context, const attempt_id& attempt, const upstream_state& upstream,
           const attempt_id& slot, instant start_before) {
    auto node = context.state.pending.extract(attempt);
    const pending_attempt& pending = node.mapped();
    const attempt_wanted& wanted = pending.wanted;
    attempt_grant value;
    value.upstream = upstream.id;
    value.address = upstream.address;
    value.zone = upstream.zone;
    value.start_before = std::min(start_before, pending.deadline);
    value.expected_first_byte = first_byte_quantile(context.state.times[wanted.pool], 0.95);
    context.state.granted[attempt] = {upstream.id, wanted.body, wanted.pool, !slot.empty()};
    context.out.emplace_back(attempt_decided{wanted.number, attempt, std::move(value)});
    record_attempt(context.slots, attempt,
                   {upstream.id, pending.deadline, wanted.restartable, slot, {}});
}

// --- trials -------------------------------------------------------------------------------------

bool is_trial_owner_responsive(const dispatch_context& context,
                               const fingerprint& trial_fingerprint) {
    const auto owner = trial_owner(context.roster, trial_fingerprint);
    const milliseconds timeout =
        max_missed_heartbeats * context.env.timing.heartbeat + trial_reply_timeout;
    return owner && is_reachable(context.roster, owner->id, timeout, context.now);
}

//! True if the attempt may start in view of the crashes of its fingerprint. Requests a trial if one
//! is needed.
bool ensure_trial(dispatch_context& context, pending_attempt& pending) {
    if (pending.trial_granted || pending.wanted.body.empty()) {
        return true;
    }
    const bool is_open = pending.trial_requested_at &&
                         context.now - *pending.trial_requested_at < trial_reply_timeout;
    if (is_open) {
        return false;
    }
    const bool suspected = is_suspect(context.quarantine, pending.wanted.body);
    const fingerprint trial_fingerprint =
        pool_fingerprint(pending.wanted.body, pending.wanted.pool);
    if (!suspected &&
        (pending.trial_requested_at || !is_trial_owner_responsive(context, trial_fingerprint))) {
        return true;
    }
    pending.trial_requested_at = context.now;
    const trial_request request{pending.wanted.number, trial_fingerprint, pending.wanted.attempt,
                                pending.deadline - context.now};
    const bool is_requested = request_trial(context.roster, request, context.out);
    return !is_requested && !suspected;
}

// --- slots --------------------------------------------------------------------------------------

//! Every slot request has its own slot id, so that a late reply to an earlier request isn't
//! mistaken for the reply to this one.
attempt_id make_slot_id(const pending_attempt& pending) {
    return attempt_id{pending.wanted.attempt.value + "#" +
                      std::to_string(pending.slot_request_count)};
}

attempt_id attempt_of_slot(const attempt_id& slot) {
    return attempt_id{slot.value.substr(0, slot.value.rfind('#'))};
}

std::size_t open_slot_requests(const dispatch_context& context, const pool_name& pool) {
    return static_cast<std::size_t>(std::count_if(
        context.state.pending.begin(), context.state.pending.end(), [&](const auto& entry) {
            const pending_attempt& each = entry.second;
            return each.slot_requested_for && each.wanted.pool == pool;
        }));
}

std::size_t max_slot_requests(const dispatch_context& context, const pool_name& pool) {
    const auto upstreams =
        std::count_if(context.slots.upstreams.begin(), context.slots.upstreams.end(),
                      [&](const auto& entry) { return entry.second.pool == pool; });
    const int capacity = context.env.pools.pools.at(pool).cold_capacity;
    return slot_requests_per_capacity * static_cast<std::size_t>(upstreams) *
           static_cast<std::size_t>(std::max(1, capacity));
}

void try_request_slot(dispatch_context& context, pending_attempt& pending,
                      const upstream_id& upstream, bool may_wait) {
    const pool_name& pool = pending.wanted.pool;
    if (open_slot_requests(context, pool) >= max_slot_requests(context, pool)) {
        return;
    }
    ++pending.slot_request_count;
    pending.slot = make_slot_id(pending);
    const milliseconds longest_wait = context.env.timing.start_window - slot_wait_margin;
    const slot_request request{upstream, pending.slot, pending.deadline - context.now,
                               may_wait ? longest_wait : milliseconds(0)};
    if (request_slot(context.slots, context.env, context.roster, request, context.out)) {
        pending.slot_requested_for = upstream;
        pending.slot_requested_at = context.now;
        pending.slot_may_wait = may_wait;
    }
}

//! True while a slot request is open. After its timeout the request is withdrawn, and the upstream
//! gets no slot requests until a backoff ends.
bool is_awaiting_slot(dispatch_context& context, pending_attempt& pending) {
    if (!pending.slot_requested_for) {
        return false;
    }
    const milliseconds timeout =
        pending.slot_may_wait ? context.env.timing.start_window : slot_reply_timeout;
    if (context.now - pending.slot_requested_at < timeout) {
        return true;
    }
    context.state.slot_denied_until[*pending.slot_requested_for] =
        context.now + unresponsive_owner_backoff;
    withdraw_slot(context, pending);
    return false;
}

// --- one attempt --------------------------------------------------------------------------------

void apply_selection(dispatch_context& context, pending_attempt& pending,
                     const detail::selection& found) {
    const attempt_id attempt = pending.wanted.attempt;
    if (found.cold_first && found.cold) {
        try_request_slot(context, pending, *found.cold, !found.warm.has_value());
        if (pending.slot_requested_for) {
            return;
        }
    }
    if (found.warm) {
        const upstream_state& upstream = context.slots.upstreams.at(*found.warm);
        grant(context, attempt, upstream, {}, context.now + context.env.timing.start_window);
        return;
    }
    if (found.cold) {
        try_request_slot(context, pending, *found.cold, true);
    }
}

//! True if this instance is a member of the roster, so that owners count its attempts, and its
//! state of the upstreams out of service is fresh. Otherwise attempts wait: their requests have
//! started already, and both conditions may be met again before the deadline.
bool may_start_work(const dispatch_context& context) {
    return is_member(context.roster) &&
           is_availability_fresh(context.documents, context.env, context.roster, context.now);
}

//! Grants or refuses a pending attempt, or requests the trial or slot that it needs. The attempt
//! stays pending while it has to wait.
void advance(dispatch_context& context, const attempt_id& attempt) {
    pending_attempt& pending = context.state.pending.at(attempt);
    if (is_quarantined(context.quarantine, pending.wanted.body)) {
        refuse_pending(context, attempt, refusal_reason::quarantined,
                       "The request crashed the upstreams that ran it.", execution::ran);
        return;
    }
    if (!may_start_work(context)) {
        if (context.now - pending.requested_at >= fresh_state_timeout) {
            refuse_pending(context, attempt, refusal_reason::not_ready,
                           "This instance has no fresh state from the store or its peers.");
        }
        return;
    }
    if (!ensure_trial(context, pending) || is_awaiting_slot(context, pending)) {
        return;
    }
    const auto found = detail::select_upstream(context, pending.wanted);
    if (!found.has_upstream) {
        refuse_pending(context, attempt, refusal_reason::no_upstream, "No upstream in service.");
        return;
    }
    apply_selection(context, pending, found);
}

//! True if the attempt can't be expected to end before its deadline, even if it started now.
bool is_too_late(const dispatch_context& context, const pending_attempt& pending) {
    const milliseconds time_left = pending.deadline - context.now;
    return time_left <= milliseconds(0) ||
           time_left < median_time(context.state, pending.wanted.pool);
}

std::vector<attempt_id> pending_by_priority(const dispatch_state& state) {
    std::vector<const pending_attempt*> sorted;
    for (const auto& [attempt, pending] : state.pending) {
        sorted.push_back(&pending);
    }
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const pending_attempt* left, const pending_attempt* right) {
                         return std::pair(left->wanted.priority, left->requested_at) <
                                std::pair(right->wanted.priority, right->requested_at);
                     });
    std::vector<attempt_id> ids;
    for (const pending_attempt* each : sorted) {
        ids.push_back(each->wanted.attempt);
    }
    return ids;
}

//! Advances all pending attempts, lowest priority number first, then oldest first.
void advance_all(dispatch_context& context) {
    for (const attempt_id& attempt : pending_by_priority(context.state)) {
        const pending_attempt& pending = context.state.pending.at(attempt);
        if (is_too_late(context, pending)) {
            refuse_pending(context, attempt, refusal_reason::overloaded,
                           "No capacity within the deadline.");
            continue;
        }
        advance(context, attempt);
    }
}

// --- events -------------------------------------------------------------------------------------

std::optional<refusal_reason> find_refusal_reason(const dispatch_context& context,
                                                  const attempt_wanted& wanted) {
    if (wanted.time_left <= milliseconds(0)) {
        return refusal_reason::deadline_exceeded;
    }
    if (!has_lists(context.documents)) {
        return refusal_reason::not_ready;
    }
    if (!context.env.pools.pools.contains(wanted.pool)) {
        return refusal_reason::no_upstream;
    }
    if (context.state.pending.size() >= max_pending) {
        return refusal_reason::overloaded;
    }
    return std::nullopt;
}

void handle_attempt_wanted(dispatch_context& context, const attempt_wanted& wanted) {
    const auto reason = find_refusal_reason(context, wanted);
    if (reason) {
        refuse(context, wanted, *reason, "The attempt can't start.");
        return;
    }
    const milliseconds duration = std::min(wanted.time_left, context.env.timing.longest_attempt);
    pending_attempt pending;
    pending.wanted = wanted;
    pending.requested_at = context.now;
    pending.deadline = context.now + duration;
    context.state.pending.insert_or_assign(wanted.attempt, std::move(pending));
    advance(context, wanted.attempt);
}

void handle_ended(dispatch_context& context, const attempt_ended& ended) {
    const auto waiting = context.state.pending.find(ended.attempt);
    if (waiting != context.state.pending.end()) {
        withdraw_slot(context, waiting->second);
        context.state.pending.erase(waiting);
        return;
    }
    const auto found = context.state.granted.find(ended.attempt);
    if (found == context.state.granted.end()) {
        return;
    }
    if (ended.outcome == attempt_outcome::ok) {
        record_time(context.state.times[found->second.pool], ended.took, ended.first_token);
    }
    context.state.granted.erase(found);
    advance_all(context);
}

void handle_trial(dispatch_context& context, const trial_reply& reply) {
    const auto found = context.state.pending.find(reply.attempt);
    if (found == context.state.pending.end() || found->second.trial_granted) {
        return;
    }
    if (reply.quarantined) {
        refuse_pending(context, reply.attempt, refusal_reason::quarantined,
                       "The request crashed the upstreams that ran it.", execution::ran);
        return;
    }
    if (!reply.granted) {
        found->second.trial_requested_at.reset();
        return;
    }
    found->second.trial_granted = true;
    advance(context, reply.attempt);
}

//! True if the granted slot may still be used: the reply's generation isn't older than the newest
//! known one, the start window is open, and the upstream is in service with fresh state.
bool may_use_slot(const dispatch_context& context, const pending_attempt& pending,
                  const slot_reply& reply) {
    const auto upstream = context.slots.upstreams.find(reply.upstream);
    if (upstream == context.slots.upstreams.end()) {
        return false;
    }
    const generation_number newest =
        std::max(generation(context.roster), upstream->second.owner_message_generation);
    const bool in_time =
        context.now - pending.slot_requested_at < context.env.timing.start_window &&
        context.now < pending.deadline;
    return reply.generation >= newest && in_time &&
           detail::is_in_service(context, upstream->second) &&
           is_availability_fresh(context.documents, context.env, context.roster, context.now);
}

void handle_slot(dispatch_context& context, const slot_reply& reply) {
    const attempt_id attempt = attempt_of_slot(reply.attempt);
    const auto found = context.state.pending.find(attempt);
    const bool is_expected = found != context.state.pending.end() &&
                             found->second.slot_requested_for &&
                             found->second.slot == reply.attempt;
    if (!is_expected) {
        const auto running = context.slots.running.find(attempt);
        const bool in_use =
            running != context.slots.running.end() && running->second.slot == reply.attempt;
        if (reply.granted && !in_use) {
            release_slot(context.slots, context.roster, reply.upstream, reply.attempt, context.out);
        }
        return;
    }
    pending_attempt& pending = found->second;
    if (reply.granted && may_use_slot(context, pending, reply)) {
        const instant start_before = pending.slot_requested_at + context.env.timing.start_window;
        grant(context, attempt, context.slots.upstreams.at(reply.upstream), reply.attempt,
              start_before);
        return;
    }
    if (reply.granted) {
        withdraw_slot(context, pending);
    } else {
        pending.slot_requested_for.reset();
    }
    context.state.slot_denied_until[reply.upstream] = context.now + denial_backoff;
    advance(context, attempt);
}

void handle_message(dispatch_context& context, const peer_message& message) {
    std::visit(overloaded{
                   [&](const trial_reply& reply) { handle_trial(context, reply); },
                   [&](const slot_reply& reply) { handle_slot(context, reply); },
                   [](const auto&) {},
               },
               message);
}

void handle_tick(dispatch_context& context) {
    std::erase_if(context.state.slot_denied_until,
                  [&](const auto& entry) { return context.now >= entry.second; });
    advance_all(context);
}

}  // namespace

dispatch_state make_dispatch(const environment& env) {
    dispatch_state state;
    state.random = env.seed;
    return state;
}

void reduce_dispatch(dispatch_state& state, const environment& env, const roster_state& roster,
                     const documents_state& documents, slots_state& slots,
                     const quarantine_state& quarantine, const event& happened, instant now,
                     effects& out) {
    dispatch_context context{state, env, roster, documents, slots, quarantine, now, out};
    std::visit(overloaded{
                   [&](const tick&) { handle_tick(context); },
                   [&](const attempt_wanted& wanted) { handle_attempt_wanted(context, wanted); },
                   [&](const attempt_ended& ended) { handle_ended(context, ended); },
                   [&](const peer_message_received& received) {
                       handle_message(context, received.message);
                   },
                   [](const auto&) {},
               },
               happened);
}

milliseconds median_time(const dispatch_state& state, const pool_name& pool) {
    const auto found = state.times.find(pool);
    return found == state.times.end() ? milliseconds(0) : duration_quantile(found->second, 0.5);
}

milliseconds percentile_90_time(const dispatch_state& state, const pool_name& pool) {
    const auto found = state.times.find(pool);
    return found == state.times.end() ? milliseconds(0) : duration_quantile(found->second, 0.9);
}

}  // namespace cyclamenmount
