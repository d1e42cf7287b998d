#include "coordination/dispatch/dispatch.h"

#include "coordination/dispatch/internal/selection.h"
#include "types/overloaded.h"

#include <algorithm>
#include <string>

namespace cyclamenmount {

namespace {

using detail::dispatch_context;

//! Attempts that may wait here.
constexpr std::size_t most_pending = 1000;

//! An attempt of a begun request waits this long for the instance to be heard again.
constexpr milliseconds cut_off_patience{1500};

//! A home may keep a slot request for this part of the start window.
constexpr milliseconds slot_wait_margin{150};

//! After a refused slot, the upstream's home isn't asked again for this time.
constexpr milliseconds denial_pause{100};

//! A home that doesn't answer isn't asked again for this time.
constexpr milliseconds silence_pause{1000};

//! An attempt that could start elsewhere waits this long for a home's answer.
constexpr milliseconds feed_patience{50};

//! Questions for slots of one pool that may be open at once, per unit of cold capacity.
constexpr std::size_t questions_per_capacity = 2;

//! After this time without an answer to its question for a trial, a request that isn't suspect goes
//! on; a suspect asks again.
constexpr milliseconds trial_patience{250};

//! A home that has missed this many heartbeats isn't waited for.
constexpr int missed_heartbeats = 2;

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

void forget_slot(dispatch_context& context, pending_attempt& pending) {
    if (pending.slot_asked) {
        release_slot(context.slots, context.roster, *pending.slot_asked, pending.slot, context.out);
    }
    pending.slot_asked.reset();
}

//! Decides against the attempt and forgets it.
void refuse_pending(dispatch_context& context, const attempt_id& attempt, refusal_reason reason,
                    const std::string& detail, execution state = execution::not_run) {
    auto node = context.state.pending.extract(attempt);
    forget_slot(context, node.mapped());
    refuse(context, node.mapped().wanted, reason, detail, state);
}

void grant(dispatch_context& context, const attempt_id& attempt, const known_upstream& upstream,
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
    note_attempt(context.slots, attempt,
                 {upstream.id, pending.deadline, wanted.restartable, slot, {}});
}

// --- trials -------------------------------------------------------------------------------------

bool hears_trial_home(const dispatch_context& context, const fingerprint& tried) {
    const auto home = trial_home(context.roster, tried);
    const milliseconds patience = missed_heartbeats * context.env.timing.heartbeat + trial_patience;
    return home && is_reachable(context.roster, home->id, patience, context.now);
}

//! True once the request may run as far as its crash record goes.
bool has_trial(dispatch_context& context, pending_attempt& pending) {
    if (pending.trial_granted || pending.wanted.body.empty()) {
        return true;
    }
    const bool waits =
        pending.trial_asked_at && context.now - *pending.trial_asked_at < trial_patience;
    if (waits) {
        return false;
    }
    const bool suspect = is_suspect(context.quarantine, pending.wanted.body);
    const fingerprint tried = tried_in(pending.wanted.body, pending.wanted.pool);
    if (!suspect && (pending.trial_asked_at || !hears_trial_home(context, tried))) {
        return true;
    }
    pending.trial_asked_at = context.now;
    const trial_request request{pending.wanted.number, tried, pending.wanted.attempt,
                                pending.deadline - context.now};
    const bool asked = ask_trial(context.roster, request, context.out);
    return !asked && !suspect;
}

// --- slots --------------------------------------------------------------------------------------

//! Each question names its own slot, so that a late answer to an earlier one can't be taken for it.
attempt_id slot_name(const pending_attempt& pending) {
    return attempt_id{pending.wanted.attempt.value + "#" + std::to_string(pending.slot_asks)};
}

attempt_id attempt_of_slot(const attempt_id& slot) {
    return attempt_id{slot.value.substr(0, slot.value.rfind('#'))};
}

std::size_t open_questions(const dispatch_context& context, const pool_name& pool) {
    return static_cast<std::size_t>(std::count_if(
        context.state.pending.begin(), context.state.pending.end(), [&](const auto& entry) {
            const pending_attempt& each = entry.second;
            return each.slot_asked && each.wanted.pool == pool;
        }));
}

std::size_t most_questions(const dispatch_context& context, const pool_name& pool) {
    const auto upstreams =
        std::count_if(context.slots.known.begin(), context.slots.known.end(),
                      [&](const auto& entry) { return entry.second.pool == pool; });
    const int capacity = context.env.pools.pools.at(pool).cold_capacity;
    return questions_per_capacity * static_cast<std::size_t>(upstreams) *
           static_cast<std::size_t>(std::max(1, capacity));
}

void ask_for_slot(dispatch_context& context, pending_attempt& pending, const upstream_id& upstream,
                  bool may_wait) {
    const pool_name& pool = pending.wanted.pool;
    if (open_questions(context, pool) >= most_questions(context, pool)) {
        return;
    }
    ++pending.slot_asks;
    pending.slot = slot_name(pending);
    const milliseconds longest_wait = context.env.timing.start_window - slot_wait_margin;
    const slot_request request{upstream, pending.slot, pending.deadline - context.now,
                               may_wait ? longest_wait : milliseconds(0)};
    if (ask_slot(context.slots, context.env, context.roster, request, context.out)) {
        pending.slot_asked = upstream;
        pending.slot_asked_at = context.now;
        pending.slot_may_wait = may_wait;
    }
}

bool waits_for_slot(dispatch_context& context, pending_attempt& pending) {
    if (!pending.slot_asked) {
        return false;
    }
    const milliseconds patience =
        pending.slot_may_wait ? context.env.timing.start_window : feed_patience;
    if (context.now - pending.slot_asked_at < patience) {
        return true;
    }
    context.state.slot_denied_until[*pending.slot_asked] = context.now + silence_pause;
    forget_slot(context, pending);
    return false;
}

// --- one attempt --------------------------------------------------------------------------------

void use_selection(dispatch_context& context, pending_attempt& pending,
                   const detail::selection& found) {
    const attempt_id attempt = pending.wanted.attempt;
    if (found.cold_first && found.cold) {
        ask_for_slot(context, pending, *found.cold, !found.warm.has_value());
        if (pending.slot_asked) {
            return;
        }
    }
    if (found.warm) {
        const known_upstream& upstream = context.slots.known.at(*found.warm);
        grant(context, attempt, upstream, {}, context.now + context.env.timing.start_window);
        return;
    }
    if (found.cold) {
        ask_for_slot(context, pending, *found.cold, true);
    }
}

//! True if homes count this instance's work and its news of what is out is fresh. Otherwise
//! attempts wait: their requests have begun, and the instance may be heard again within their
//! deadline.
bool may_start_work(const dispatch_context& context) {
    return is_member(context.roster) &&
           is_vouched(context.documents, context.env, context.roster, context.now);
}

//! Does what can be done now for a pending attempt; it stays pending if nothing can.
void advance(dispatch_context& context, const attempt_id& attempt) {
    pending_attempt& pending = context.state.pending.at(attempt);
    if (is_quarantined(context.quarantine, pending.wanted.body)) {
        refuse_pending(context, attempt, refusal_reason::quarantined,
                       "The request crashed the upstreams that ran it.", execution::ran);
        return;
    }
    if (!may_start_work(context)) {
        if (context.now - pending.asked_at >= cut_off_patience) {
            refuse_pending(context, attempt, refusal_reason::not_ready,
                           "This instance hears neither the store nor its peers.");
        }
        return;
    }
    if (!has_trial(context, pending) || waits_for_slot(context, pending)) {
        return;
    }
    const auto found = detail::select_upstream(context, pending.wanted);
    if (!found.any) {
        refuse_pending(context, attempt, refusal_reason::no_upstream, "No upstream in service.");
        return;
    }
    use_selection(context, pending, found);
}

//! True if a wait any longer can't end in time.
bool is_too_late(const dispatch_context& context, const pending_attempt& pending) {
    const milliseconds left = pending.deadline - context.now;
    return left <= milliseconds(0) || left < expected_time(context.state, pending.wanted.pool);
}

std::vector<attempt_id> by_priority(const dispatch_state& state) {
    std::vector<const pending_attempt*> order;
    for (const auto& [attempt, pending] : state.pending) {
        order.push_back(&pending);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const pending_attempt* left, const pending_attempt* right) {
                         return std::pair(left->wanted.priority, left->asked_at) <
                                std::pair(right->wanted.priority, right->asked_at);
                     });
    std::vector<attempt_id> ids;
    for (const pending_attempt* each : order) {
        ids.push_back(each->wanted.attempt);
    }
    return ids;
}

//! Tries all that wait, best priority first.
void advance_all(dispatch_context& context) {
    for (const attempt_id& attempt : by_priority(context.state)) {
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

std::optional<refusal_reason> reason_against(const dispatch_context& context,
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
    if (context.state.pending.size() >= most_pending) {
        return refusal_reason::overloaded;
    }
    return std::nullopt;
}

void handle_wanted(dispatch_context& context, const attempt_wanted& wanted) {
    const auto reason = reason_against(context, wanted);
    if (reason) {
        refuse(context, wanted, *reason, "The attempt can't start.");
        return;
    }
    const milliseconds lasts = std::min(wanted.time_left, context.env.timing.longest_attempt);
    pending_attempt pending;
    pending.wanted = wanted;
    pending.asked_at = context.now;
    pending.deadline = context.now + lasts;
    context.state.pending.insert_or_assign(wanted.attempt, std::move(pending));
    advance(context, wanted.attempt);
}

void handle_ended(dispatch_context& context, const attempt_ended& ended) {
    const auto waiting = context.state.pending.find(ended.attempt);
    if (waiting != context.state.pending.end()) {
        forget_slot(context, waiting->second);
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
        found->second.trial_asked_at.reset();
        return;
    }
    found->second.trial_granted = true;
    advance(context, reply.attempt);
}

//! True if the slot, given under this generation, may still be used.
bool may_use_slot(const dispatch_context& context, const pending_attempt& pending,
                  const slot_reply& reply) {
    const auto upstream = context.slots.known.find(reply.upstream);
    if (upstream == context.slots.known.end()) {
        return false;
    }
    const generation_number newest =
        std::max(generation(context.roster), upstream->second.owner_message_generation);
    const bool in_time = context.now - pending.slot_asked_at < context.env.timing.start_window &&
                         context.now < pending.deadline;
    return reply.generation >= newest && in_time &&
           detail::is_in_service(context, upstream->second) &&
           is_vouched(context.documents, context.env, context.roster, context.now);
}

void handle_slot(dispatch_context& context, const slot_reply& reply) {
    const attempt_id attempt = attempt_of_slot(reply.attempt);
    const auto found = context.state.pending.find(attempt);
    const bool is_asked = found != context.state.pending.end() && found->second.slot_asked &&
                          found->second.slot == reply.attempt;
    if (!is_asked) {
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
        const instant start_before = pending.slot_asked_at + context.env.timing.start_window;
        grant(context, attempt, context.slots.known.at(reply.upstream), reply.attempt,
              start_before);
        return;
    }
    if (reply.granted) {
        forget_slot(context, pending);
    } else {
        pending.slot_asked.reset();
    }
    context.state.slot_denied_until[reply.upstream] = context.now + denial_pause;
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
                   [&](const attempt_wanted& wanted) { handle_wanted(context, wanted); },
                   [&](const attempt_ended& ended) { handle_ended(context, ended); },
                   [&](const peer_message_received& received) {
                       handle_message(context, received.message);
                   },
                   [](const auto&) {},
               },
               happened);
}

milliseconds expected_time(const dispatch_state& state, const pool_name& pool) {
    const auto found = state.times.find(pool);
    return found == state.times.end() ? milliseconds(0) : took_quantile(found->second, 0.5);
}

milliseconds likely_time(const dispatch_state& state, const pool_name& pool) {
    const auto found = state.times.find(pool);
    return found == state.times.end() ? milliseconds(0) : took_quantile(found->second, 0.9);
}

}  // namespace cyclamenmount
