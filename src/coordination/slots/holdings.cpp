#include "coordination/slots/internal/parts.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

//! Between two questions for holdings.
constexpr milliseconds ask_period{250};

//! A holder is asked anew after this time, in case a release was lost.
constexpr milliseconds reconcile_period{1000};

bool is_held(const holdings_reply& reply, const attempt_id& attempt) {
    return std::any_of(reply.attempts.begin(), reply.attempts.end(),
                       [&](const held_attempt& each) { return each.attempt == attempt; });
}

//! True if the reply, to a question asked at `asked`, shows that the slot isn't used.
bool is_unused(const slots_context& context, const slot& value, instant asked) {
    const timing_settings& timing = context.env.timing;
    const instant started_by =
        value.granted_at.value_or(asked - timing.longest_attempt) + timing.start_window;
    return started_by + timing.fence_margin < asked;
}

void cancel(slots_context& context, const known_upstream& upstream, slot& value) {
    value.cancelling = true;
    const auto holder = find_member(context.roster, value.holder);
    if (holder) {
        context.out.emplace_back(send_to_peer{
            *holder, cancel_notice{generation(context.roster), upstream.id, value.attempt}});
    }
}

//! Ends restartable attempts, those with the latest deadline first, until the rest fits.
void cancel_excess(slots_context& context, const known_upstream& upstream, slot_book& book) {
    if (!may_act_for(context, upstream.id)) {
        return;
    }
    std::vector<slot*> by_deadline;
    int kept = static_cast<int>(book.slots.size());
    for (auto& [attempt, value] : book.slots) {
        if (value.cancelling) {
            --kept;
        } else if (value.restartable) {
            by_deadline.push_back(&value);
        }
    }
    std::stable_sort(
        by_deadline.begin(), by_deadline.end(),
        [](const slot* left, const slot* right) { return left->ends_at > right->ends_at; });
    const int capacity = cold_capacity_of(context, upstream);
    for (slot* each : by_deadline) {
        if (kept <= capacity) {
            return;
        }
        cancel(context, upstream, *each);
        --kept;
    }
}

holdings_reply own_holdings(const slots_context& context, const upstream_id& upstream,
                            generation_number asked_by) {
    holdings_reply reply{asked_by, upstream, {}};
    for (const auto& [attempt, value] : context.state.running) {
        if (value.upstream != upstream) {
            continue;
        }
        const auto left = std::max(milliseconds(0), value.ends_at - context.now);
        const attempt_id& name = value.slot.empty() ? attempt : value.slot;
        reply.attempts.push_back({name, left, value.restartable});
    }
    return reply;
}

void ask(slots_context& context, const known_upstream& upstream, slot_book& book,
         const instance_id& id) {
    const auto peer = find_member(context.roster, id);
    if (!peer) {
        return;
    }
    book.asked.emplace(id, context.now);
    context.out.emplace_back(
        send_to_peer{*peer, holdings_request{generation(context.roster), upstream.id}});
}

void take_holdings(slots_context& context, slot_book& book, const instance_id& from,
                   const holdings_reply& reply) {
    const auto asked = book.asked.find(from);
    const bool was_asked = asked != book.asked.end();
    std::erase_if(book.slots, [&](const auto& entry) {
        const slot& value = entry.second;
        return was_asked && value.holder == from && !is_held(reply, value.attempt) &&
               is_unused(context, value, asked->second);
    });
    const milliseconds margin = context.env.timing.fence_margin;
    for (const held_attempt& each : reply.attempts) {
        slot& value = book.slots[each.attempt];
        value.attempt = each.attempt;
        value.holder = from;
        value.ends_at = context.now + each.lasts_at_most + margin;
        value.restartable = each.restartable;
    }
    book.asked.erase(from);
    book.not_yet_reported.erase(from);
}

//! True if no process is left that could start work on old news.
bool all_unreported_ended(const slots_context& context, const slot_book& book) {
    return std::all_of(
        book.not_yet_reported.begin(), book.not_yet_reported.end(), [&](const instance_id& id) {
            const auto peer = find_member(context.roster, id);
            return peer && has_ended(context.roster, context.env, *peer, context.now);
        });
}

}  // namespace

void collect_holdings(slots_context& context, known_upstream& upstream, slot_book& book) {
    book.verdict = home_verdict::cold;
    book.cold_since = context.now;
    book.next_ask = context.now;
    context.state.next_notice = context.now;
    for (const auto* generation : {&context.roster.newest, &context.roster.previous}) {
        for (const member& each : generation->members) {
            book.not_yet_reported.insert(each.id);
        }
    }
    ask_holdings(context, upstream, book);
}

void ask_holdings(slots_context& context, known_upstream& upstream, slot_book& book) {
    if (context.now < book.next_ask || !may_act_for(context, upstream.id)) {
        return;
    }
    std::set<instance_id> wanted = book.not_yet_reported;
    for (auto& [attempt, value] : book.slots) {
        wanted.insert(value.holder);
        value.cancelling = false;
    }
    book.next_ask = context.now + (book.not_yet_reported.empty() ? reconcile_period : ask_period);
    for (const instance_id& id : wanted) {
        ask(context, upstream, book, id);
    }
}

void handle_holdings_request(slots_context& context, const instance_id& from,
                             const holdings_request& request) {
    if (request.generation < generation(context.roster)) {
        return;
    }
    known_upstream* upstream = find_known(context.state, request.upstream);
    if (upstream != nullptr) {
        if (request.generation < upstream->verdict_generation) {
            return;
        }
        upstream->verdict_generation = request.generation;
        mark_cold(context, *upstream, "report", false);
    }
    const auto home = find_member(context.roster, from);
    if (home) {
        context.out.emplace_back(
            send_to_peer{*home, own_holdings(context, request.upstream, request.generation)});
    }
}

void handle_holdings_reply(slots_context& context, const instance_id& from,
                           const holdings_reply& reply) {
    known_upstream* upstream = find_known(context.state, reply.upstream);
    slot_book* book = upstream == nullptr ? nullptr : own_book(context, *upstream);
    if (book == nullptr || book->verdict != home_verdict::cold ||
        reply.generation != generation(context.roster)) {
        return;
    }
    take_holdings(context, *book, from, reply);
    cancel_excess(context, *upstream, *book);
    serve_waiting(context, *upstream, *book);
}

void handle_cancel(slots_context& context, const cancel_notice& notice) {
    if (notice.generation < generation(context.roster)) {
        return;
    }
    for (const auto& [attempt, value] : context.state.running) {
        const attempt_id& name = value.slot.empty() ? attempt : value.slot;
        if (value.upstream == notice.upstream && name == notice.attempt && value.restartable) {
            context.out.emplace_back(attempt_cancelled{attempt});
            return;
        }
    }
}

void take_own_count(slot_book& book, int in_flight) {
    int accounted = static_cast<int>(book.slots.size());
    if (book.not_yet_reported.empty()) {
        accounted += static_cast<int>(book.released.size());
    }
    book.unaccounted = std::max(0, in_flight - accounted);
}

bool holdings_known(const slots_context& context, const slot_book& book) {
    if (book.not_yet_reported.empty()) {
        return true;
    }
    const timing_settings& timing = context.env.timing;
    const instant since = std::max(book.cold_since, book.held.since);
    if (context.now - since > timing.longest_attempt + timing.start_window) {
        return true;
    }
    const milliseconds last_start =
        all_unreported_ended(context, book) ? milliseconds(0) : longest_warm_vouches * timing.vouch;
    const milliseconds lapse = last_start + timing.start_window + report_lag;
    return book.answered_poll_asked_at && *book.answered_poll_asked_at >= since + lapse;
}

}  // namespace cyclamenmount::detail
