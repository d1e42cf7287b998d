#include "coordination/slots/internal/parts.h"

#include <algorithm>
#include <map>

namespace cyclamenmount::detail {

namespace {

//! A poll without an answer for this long counts as unanswered.
constexpr milliseconds poll_limit{1500};

//! Polls in a row without an answer after which an upstream isn't taken as warm any longer.
constexpr int unanswered_until_doubt = 2;

//! Requests that may wait for one upstream's slots.
constexpr std::size_t most_waiting = 64;

void reply(slots_context& context, const instance_id& to, const slot_request& request,
           bool granted) {
    const auto peer = find_member(context.roster, to);
    if (peer) {
        context.out.emplace_back(
            send_to_peer{*peer, slot_reply{generation(context.roster), request.upstream,
                                           request.attempt, granted}});
    }
}

instant ready_not_before(const slots_context& context, const slot_book& book) {
    const timing_settings& timing = context.env.timing;
    return book.held.since + timing.fence + timing.fence_margin + timing.start_window;
}

bool can_grant(const slots_context& context, const known_upstream& upstream,
               const slot_book& book) {
    if (book.verdict != home_verdict::cold || context.now < ready_not_before(context, book)) {
        return false;
    }
    const int used = static_cast<int>(book.slots.size()) + book.unaccounted;
    return used < cold_capacity_of(context, upstream) && holdings_known(context, book) &&
           may_act_for(context, upstream.id);
}

void grant(slots_context& context, slot_book& book, const instance_id& to,
           const slot_request& request) {
    const instant ends_at = context.now + request.lasts_at_most + context.env.timing.fence_margin;
    book.slots[request.attempt] = slot{request.attempt, to, ends_at, context.now, false, false};
    reply(context, to, request, true);
}

void refuse_waiting(slots_context& context, slot_book& book) {
    for (const waiting_slot_request& each : book.waiting) {
        reply(context, each.from, each.request, false);
    }
    book.waiting.clear();
}

//! Refuses those whose time in the queue is over.
void drop_waiting(slots_context& context, slot_book& book) {
    std::erase_if(book.waiting, [&](const waiting_slot_request& each) {
        const bool over = context.now - each.asked_at >= each.request.waits_at_most;
        if (over) {
            reply(context, each.from, each.request, false);
        }
        return over;
    });
}

//! A slot that lapses without a release counts on until the next poll shows that it is free.
void drop_expired(slots_context& context, slot_book& book) {
    const auto lapsed = std::erase_if(
        book.slots, [&](const auto& entry) { return context.now >= entry.second.ends_at; });
    if (lapsed > 0) {
        book.unaccounted += static_cast<int>(lapsed);
        book.next_poll = context.now;
    }
    while (!book.released.empty() && context.now - book.released.front() > report_lag) {
        book.released.pop_front();
    }
}

void poll_if_due(slots_context& context, const known_upstream& upstream, slot_book& book) {
    if (book.poll_in_flight && context.now - book.poll_asked_at > poll_limit) {
        handle_poll(context, upstream_polled{upstream.id, false, {}});
    }
    if (book.poll_in_flight || context.now < book.next_poll) {
        return;
    }
    book.poll_in_flight = true;
    book.poll_asked_at = context.now;
    book.next_poll = context.now + context.env.timing.poll_period;
    context.out.emplace_back(poll_upstream{upstream.id, upstream.address});
}

//! Slots that surely started in the incarnation that has ended.
void drop_slots_of_past(slots_context& context, slot_book& book) {
    if (!book.answered_poll_asked_at) {
        return;
    }
    const timing_settings& timing = context.env.timing;
    const instant started_by =
        *book.answered_poll_asked_at - timing.start_window - timing.fence_margin;
    std::erase_if(book.slots, [&](const auto& entry) {
        const slot& each = entry.second;
        return each.granted_at && *each.granted_at < started_by;
    });
}

void declare_warm(slots_context& context, known_upstream& upstream, slot_book& book) {
    const bool is_news = book.verdict != home_verdict::warm;
    book.verdict = home_verdict::warm;
    mark_warm(upstream, book.poll_asked_at, context.now);
    if (is_news) {
        refuse_waiting(context, book);
        context.state.next_notice = context.now;
    }
}

void take_poll(slots_context& context, known_upstream& upstream, slot_book& book,
               const upstream_report& report) {
    const bool is_new = report.incarnation != upstream.report.incarnation;
    if (!take_incarnation(upstream, report.incarnation)) {
        return;
    }
    if (is_new) {
        drop_slots_of_past(context, book);
    }
    upstream.report = report;
    upstream.report.upstream = upstream.id;
    upstream.running_at_report = upstream.running;
    book.answered_poll_asked_at = book.poll_asked_at;
    const bool counts = book.poll_asked_at >= book.sign_at;
    const bool out = is_out(context.documents, upstream.zone, upstream.id);
    if (report.condition == upstream_condition::warm && counts && !out &&
        may_act_for(context, upstream.id)) {
        declare_warm(context, upstream, book);
    }
    if (report.condition == upstream_condition::cold) {
        upstream.warm = false;
        if (book.verdict != home_verdict::cold) {
            collect_holdings(context, upstream, book);
        }
        take_own_count(book, report.in_flight);
        serve_waiting(context, upstream, book);
    }
}

void note_unanswered(slots_context& context, known_upstream& upstream, slot_book& book) {
    ++book.polls_unanswered;
    if (book.polls_unanswered == unanswered_until_doubt && book.verdict == home_verdict::warm) {
        mark_cold(context, upstream, "died", true);
    }
}

upstream_report verdict_of(const known_upstream& upstream, const slot_book& book) {
    upstream_report report = upstream.report;
    report.upstream = upstream.id;
    if (report.condition == upstream_condition::leaving) {
        return report;
    }
    if (book.verdict == home_verdict::warm) {
        report.condition = upstream_condition::warm;
        return report;
    }
    report.condition = upstream_condition::cold;
    report.in_flight = static_cast<int>(book.slots.size() + book.waiting.size()) + book.unaccounted;
    return report;
}

}  // namespace

int cold_capacity_of(const slots_context& context, const known_upstream& upstream) {
    const auto found = context.env.pools.pools.find(upstream.pool);
    return found == context.env.pools.pools.end() ? 0 : found->second.cold_capacity;
}

void doubt_warmth(slots_context& context, slot_book& book) {
    book.verdict = home_verdict::unknown;
    book.sign_at = context.now;
    book.next_poll = context.now;
    context.state.next_notice = context.now;
}

void handle_poll(slots_context& context, const upstream_polled& polled) {
    known_upstream* upstream = find_known(context.state, polled.upstream);
    slot_book* book = upstream == nullptr ? nullptr : own_book(context, *upstream);
    if (book == nullptr || !book->poll_in_flight) {
        return;
    }
    book->poll_in_flight = false;
    if (!polled.answered) {
        note_unanswered(context, *upstream, *book);
        return;
    }
    book->polls_unanswered = 0;
    take_poll(context, *upstream, *book, polled.report);
}

void tend_upstream(slots_context& context, known_upstream& upstream) {
    slot_book* book = own_book(context, upstream);
    if (book == nullptr) {
        return;
    }
    if (is_out(context.documents, upstream.zone, upstream.id)) {
        book->sign_at = context.now;
        book->verdict = book->verdict == home_verdict::warm ? home_verdict::unknown : book->verdict;
    }
    poll_if_due(context, upstream, *book);
    drop_expired(context, *book);
    drop_waiting(context, *book);
    if (book->verdict == home_verdict::cold) {
        ask_holdings(context, upstream, *book);
        serve_waiting(context, upstream, *book);
    }
}

void publish_verdicts(slots_context& context) {
    if (context.now < context.state.next_notice) {
        return;
    }
    context.state.next_notice = context.now + context.env.timing.poll_period;
    report_notice notice;
    notice.generation = generation(context.roster);
    for (const auto& [id, book] : context.state.books) {
        const known_upstream* upstream = find_known(context.state, id);
        const bool fresh = book.answered_poll_asked_at &&
                           context.now - *book.answered_poll_asked_at <= context.env.timing.vouch;
        if (upstream != nullptr && fresh && may_act_for(context, id)) {
            notice.reports.push_back(verdict_of(*upstream, book));
        }
    }
    if (notice.reports.empty()) {
        return;
    }
    for (const member& each : members(context.roster)) {
        if (each.id != context.env.self.id) {
            context.out.emplace_back(send_to_peer{each, notice});
        }
    }
}

void handle_slot_request(slots_context& context, const instance_id& from,
                         const slot_request& request) {
    known_upstream* upstream = find_known(context.state, request.upstream);
    slot_book* book = upstream == nullptr ? nullptr : own_book(context, *upstream);
    if (book == nullptr || book->verdict == home_verdict::warm ||
        !may_act_for(context, request.upstream)) {
        reply(context, from, request, false);
        return;
    }
    if (book->slots.contains(request.attempt)) {
        reply(context, from, request, true);
        return;
    }
    if (book->waiting.size() >= most_waiting) {
        reply(context, from, request, false);
        return;
    }
    book->waiting.push_back({from, request, context.now});
    serve_waiting(context, *upstream, *book);
    drop_waiting(context, *book);
}

void handle_slot_release(slots_context& context, const slot_release& release) {
    known_upstream* upstream = find_known(context.state, release.upstream);
    slot_book* book = upstream == nullptr ? nullptr : own_book(context, *upstream);
    if (book == nullptr) {
        return;
    }
    std::erase_if(book->waiting, [&](const waiting_slot_request& each) {
        return each.request.attempt == release.attempt;
    });
    if (book->slots.erase(release.attempt) > 0) {
        book->released.push_back(context.now);
    }
    serve_waiting(context, *upstream, *book);
}

void serve_waiting(slots_context& context, known_upstream& upstream, slot_book& book) {
    drop_expired(context, book);
    while (!book.waiting.empty() && can_grant(context, upstream, book)) {
        const waiting_slot_request first = book.waiting.front();
        book.waiting.pop_front();
        grant(context, book, first.from, first.request);
    }
}

}  // namespace cyclamenmount::detail
