#include "coordination/quarantine/internal/trials.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

//! Moves the book to the end of the order of use; instants in it are made unique.
void touch(quarantine_state& state, const fingerprint& body, trial_book& book, instant now) {
    state.books_by_use.erase(book.used_at);
    book.used_at = std::max(now, state.last_use + milliseconds(1));
    state.last_use = book.used_at;
    state.books_by_use.emplace(book.used_at, body);
}

//! What still runs of the dropped book is counted against whatever is opened until it has ended.
void drop_oldest_book(quarantine_state& state) {
    const auto oldest = state.books_by_use.begin();
    for (const auto& place : state.books.at(oldest->second).running) {
        state.forgotten_until = std::max(state.forgotten_until, place.second.ends_at);
    }
    state.books.erase(oldest->second);
    state.books_by_use.erase(oldest);
}

trial_book& open_book(const trial_context& context, const fingerprint& body) {
    quarantine_state& state = context.state;
    auto [place, fresh] = state.books.try_emplace(body);
    trial_book& book = place->second;
    if (fresh) {
        book.complete_from = std::max(state.forgotten_until,
                                      state.roster_since + context.env.timing.longest_attempt);
        renew_tenure(book.held, context.roster, trial_home_key(body), context.now);
    }
    touch(state, body, book, context.now);
    if (state.books.size() > quarantine_limits::books) {
        drop_oldest_book(state);
    }
    return book;
}

std::size_t deaths_of(const quarantine_state& state, const fingerprint& body) {
    const auto found = state.suspects.find(body);
    return found == state.suspects.end() ? 0 : counted_deaths(found->second);
}

bool may_start(const trial_context& context, const fingerprint& body, const trial_book& book) {
    const std::size_t deaths = deaths_of(context.state, body);
    if (deaths == 0 && book.ran_through) {
        return true;
    }
    if (deaths + book.running.size() >= quarantine_limits::deaths) {
        return false;
    }
    // Until the book is complete, attempts that an earlier home let start may be at work.
    return deaths == 0 || context.now >= book.complete_from;
}

void drop_ended(trial_book& book, instant now) {
    std::erase_if(book.running, [now](const auto& place) { return place.second.ends_at < now; });
}

}  // namespace

std::string trial_home_key(const fingerprint& body) {
    return "fingerprint/" + body.value;
}

void handle_trial_request(const trial_context& context, const instance_id& from,
                          const trial_request& request) {
    if (!may_act(context.roster, context.env, trial_home_key(request.body), context.now)) {
        return;
    }
    const auto asker =
        from == context.env.self.id ? context.env.self : find_member(context.roster, from);
    if (!asker) {
        return;
    }
    trial_book& book = open_book(context, request.body);
    drop_ended(book, context.now);
    trial_reply reply{generation(context.roster), request.number, request.attempt, false, false};
    reply.quarantined = deaths_of(context.state, request.body) >= quarantine_limits::deaths;
    const bool known = book.running.contains(request.attempt);
    reply.granted = !reply.quarantined && (known || may_start(context, request.body, book));
    if (reply.granted) {
        book.running[request.attempt] = {from, context.now + request.lasts_at_most};
    }
    context.out.emplace_back(send_to_peer{*asker, reply});
}

//! An end with an upstream named and nobody dead is a run through.
void handle_trial_end(const trial_context& context, const trial_end& value) {
    const auto found = context.state.books.find(value.body);
    if (found == context.state.books.end()) {
        return;
    }
    found->second.running.erase(value.attempt);
    if (!value.died && !value.incarnation.empty()) {
        found->second.ran_through = true;
    }
}

void note_death(quarantine_state& state, const fingerprint& body) {
    const auto found = state.books.find(body);
    if (found != state.books.end()) {
        found->second.ran_through = false;
    }
}

void renew_books(const trial_context& context) {
    if (generation(context.roster) == context.state.generation) {
        return;
    }
    context.state.generation = generation(context.roster);
    context.state.roster_since = context.now;
    for (auto& [body, book] : context.state.books) {
        const instant since = book.held.since;
        renew_tenure(book.held, context.roster, trial_home_key(body), context.now);
        if (book.held.through == 0 || book.held.since != since) {
            book.complete_from = context.now + context.env.timing.longest_attempt;
            book.ran_through = false;
        }
    }
}

}  // namespace cyclamenmount::detail
