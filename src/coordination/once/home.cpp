#include "coordination/once/internal/home.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

permit_reply make_reply(const shard_context& context, ticket number, permit_verdict verdict,
                        std::string permit) {
    return {generation(context.roster), number, verdict, std::move(permit), {}};
}

void put_entry(journal_shard& shard, const journal_key& key, journal_entry entry) {
    encode_entry(key, entry);
    entry.batch = shard.next_batch;
    const auto place = shard.entries.try_emplace(key).first;
    shard.bytes += entry.line.size();
    shard.bytes -= place->second.line.size();
    place->second = std::move(entry);
}

void remove_entry(journal_shard& shard, std::map<journal_key, journal_entry>::iterator place) {
    shard.bytes -= place->second.line.size();
    shard.entries.erase(place);
}

bool is_expired(const journal_shard& shard, const journal_entry& entry, instant now) {
    return journal_time(shard, now) - entry.recorded_at > once_limits::retention;
}

//! An instance id is never used again, so a runner that has left the roster starts nothing more.
bool may_be_running(const journal_shard& shard, const shard_context& context,
                    const journal_entry& entry) {
    const auto all = members(context.roster);
    const bool listed = std::any_of(
        all.begin(), all.end(), [&entry](const member& value) { return value.id == entry.runner; });
    return listed && journal_time(shard, context.now) - entry.recorded_at <= entry.lasts_at_most;
}

//! Reply to a repeat of a key that is held by another permit.
//!
//! An outcome is told from memory before it is in the journal: it is true either way. If the home
//! dies before the write, a later repeat hears `unknown_outcome`, which claims less.
permit_reply reply_to_repeat(const journal_shard& shard, const shard_context& context,
                             const permit_request& request, const journal_entry& entry) {
    permit_reply reply = make_reply(context, request.number, permit_verdict::unknown_outcome, {});
    if (entry.body != request.body) {
        reply.verdict = permit_verdict::key_reused;
    } else if (entry.phase == call_phase::done) {
        reply.verdict = permit_verdict::done;
        reply.outcome = entry.outcome;
    } else if (entry.phase == call_phase::intent && may_be_running(shard, context, entry)) {
        reply.verdict = permit_verdict::running;
    }
    return reply;
}

journal_entry make_intent(const journal_shard& shard, const shard_context& context,
                          const instance_id& from, const permit_request& request) {
    journal_entry entry;
    entry.permit = permit_id(from, request.number);
    entry.body = request.body;
    entry.runner = from;
    entry.recorded_at = journal_time(shard, context.now);
    entry.lasts_at_most = request.waits_at_most + context.env.timing.longest_attempt;
    return entry;
}

//! Takes the answers out of the older half of the entries that have one. The keys stay.
void strip_older_bodies(journal_shard& shard) {
    std::vector<std::pair<milliseconds, journal_key>> with_body;
    for (const auto& [key, entry] : shard.entries) {
        if (!entry.outcome.body.empty()) {
            with_body.emplace_back(entry.recorded_at, key);
        }
    }
    std::sort(with_body.begin(), with_body.end());
    with_body.resize((with_body.size() + 1) / 2);
    for (const auto& place : with_body) {
        journal_entry entry = shard.entries.at(place.second);
        entry.outcome.known = false;
        entry.outcome.body.clear();
        put_entry(shard, place.second, std::move(entry));
    }
}

//! Makes room for `needed` bytes: first by dropping expired keys, then older answers. No key is
//! forgotten before its retention is over; a full journal takes no more calls.
bool make_room(journal_shard& shard, std::size_t needed, instant now) {
    const auto fits = [&shard, needed] {
        return shard.bytes + needed <= once_limits::journal_bytes;
    };
    if (fits()) {
        return true;
    }
    drop_expired(shard, now);
    if (fits()) {
        return true;
    }
    strip_older_bodies(shard);
    return fits();
}

void grant_when_recorded(journal_shard& shard, const shard_context& context,
                         const instance_id& from, const journal_key& key,
                         const permit_request& request) {
    const journal_entry& entry = shard.entries.at(key);
    permit_reply reply = make_reply(context, request.number, permit_verdict::granted, entry.permit);
    if (entry.batch <= shard.confirmed_batch) {
        reply_to(context, from, std::move(reply));
        return;
    }
    const bool known = std::any_of(
        shard.deferred.begin(), shard.deferred.end(), [&reply](const deferred_reply& waiting) {
            return waiting.reply.permit == reply.permit && waiting.reply.verdict == reply.verdict;
        });
    if (!known) {
        shard.deferred.push_back({entry.batch, from, key, std::move(reply)});
    }
}

void record_intent(journal_shard& shard, const shard_context& context, const instance_id& from,
                   const journal_key& key, const permit_request& request) {
    journal_entry entry = make_intent(shard, context, from, request);
    encode_entry(key, entry);
    if (!make_room(shard, entry.line.size(), context.now)) {
        reply_to(context, from,
                 make_reply(context, request.number, permit_verdict::store_unavailable, {}));
        return;
    }
    put_entry(shard, key, std::move(entry));
    shard.intents_unwritten = true;
    grant_when_recorded(shard, context, from, key, request);
}

//! Acknowledges a notice once the journal holds what it said.
void acknowledge(journal_shard& shard, const shard_context& context, const instance_id& to,
                 const journal_key& key, std::uint64_t batch, permit_reply reply) {
    if (batch <= shard.confirmed_batch) {
        reply_to(context, to, std::move(reply));
        return;
    }
    shard.deferred.push_back({batch, to, key, std::move(reply)});
}

void note_unwritten_outcome(journal_shard& shard, instant now) {
    if (!shard.outcomes_unwritten_since) {
        shard.outcomes_unwritten_since = now;
    }
}

//! Ends an intent with its outcome, with the answer if the journal has room for it.
void record_outcome(journal_shard& shard, const journal_key& key, const call_outcome& outcome,
                    instant now) {
    journal_entry entry = shard.entries.at(key);
    entry.phase = outcome.known ? call_phase::done : call_phase::unknown;
    entry.outcome = kept_outcome(outcome);
    encode_entry(key, entry);
    if (!entry.outcome.body.empty() && !make_room(shard, entry.line.size(), now)) {
        entry.outcome.known = false;
        entry.outcome.body.clear();
    }
    put_entry(shard, key, std::move(entry));
    note_unwritten_outcome(shard, now);
}

void forget_waiting(journal_shard& shard, const std::string& permit) {
    std::erase_if(shard.waiting, [&permit](const waiting_permit_request& waiting) {
        return permit_id(waiting.from, waiting.request.number) == permit;
    });
}

//! True if the reply still holds: a permit whose intent was taken back isn't given.
bool still_holds(const journal_shard& shard, const deferred_reply& waiting) {
    if (waiting.reply.verdict != permit_verdict::granted) {
        return true;
    }
    const auto found = shard.entries.find(waiting.key);
    return found != shard.entries.end() && found->second.permit == waiting.reply.permit;
}

}  // namespace

milliseconds journal_time(const journal_shard& shard, instant now) {
    return shard.clock + (now - shard.clock_at);
}

std::string permit_id(const instance_id& asker, ticket number) {
    return asker.value + '/' + std::to_string(number);
}

void reply_to(const shard_context& context, const instance_id& to, permit_reply reply) {
    const auto asker =
        to == context.env.self.id ? context.env.self : find_member(context.roster, to);
    if (asker) {
        context.out.emplace_back(send_to_peer{*asker, std::move(reply)});
    }
}

void drop_expired(journal_shard& shard, instant now) {
    for (auto place = shard.entries.begin(); place != shard.entries.end();) {
        const auto next = std::next(place);
        if (is_expired(shard, place->second, now)) {
            remove_entry(shard, place);
        }
        place = next;
    }
}

void handle_request(journal_shard& shard, const shard_context& context, const instance_id& from,
                    const permit_request& request) {
    if (shard.phase != journal_phase::active) {
        if (shard.waiting.size() >= once_limits::waiting_requests) {
            reply_to(context, from,
                     make_reply(context, request.number, permit_verdict::store_unavailable, {}));
            return;
        }
        forget_waiting(shard, permit_id(from, request.number));
        shard.waiting.push_back({from, request, context.now + request.waits_at_most});
        return;
    }
    const journal_key key{request.workspace, request.key};
    auto found = shard.entries.find(key);
    if (found != shard.entries.end() && is_expired(shard, found->second, context.now)) {
        remove_entry(shard, found);
        found = shard.entries.end();
    }
    if (found == shard.entries.end()) {
        record_intent(shard, context, from, key, request);
        return;
    }
    const journal_entry& entry = found->second;
    if (entry.permit == permit_id(from, request.number) && entry.phase == call_phase::intent) {
        grant_when_recorded(shard, context, from, key, request);
        return;
    }
    reply_to(context, from, reply_to_repeat(shard, context, request, entry));
}

void handle_return(journal_shard& shard, const shard_context& context, const instance_id& from,
                   const permit_return& value) {
    forget_waiting(shard, value.permit);
    if (shard.phase != journal_phase::active) {
        return;
    }
    const journal_key key{value.workspace, value.key};
    std::uint64_t batch = shard.confirmed_batch;
    const auto found = shard.entries.find(key);
    if (found != shard.entries.end() && found->second.permit == value.permit &&
        found->second.phase == call_phase::intent) {
        remove_entry(shard, found);
        note_unwritten_outcome(shard, context.now);
        batch = shard.next_batch;
    }
    acknowledge(shard, context, from, key, batch,
                make_reply(context, 0, permit_verdict::no_home, value.permit));
}

void handle_outcome(journal_shard& shard, const shard_context& context, const instance_id& from,
                    const permit_outcome& value) {
    if (shard.phase != journal_phase::active) {
        return;
    }
    const journal_key key{value.workspace, value.key};
    const auto found = shard.entries.find(key);
    std::uint64_t batch = shard.confirmed_batch;
    if (found != shard.entries.end() && found->second.permit == value.permit) {
        if (found->second.phase == call_phase::intent) {
            record_outcome(shard, key, value.outcome, context.now);
        }
        batch = shard.entries.at(key).batch;
    }
    acknowledge(shard, context, from, key, batch,
                make_reply(context, 0, permit_verdict::done, value.permit));
}

void answer_waiting(journal_shard& shard, const shard_context& context) {
    const std::vector<waiting_permit_request> waiting = std::move(shard.waiting);
    shard.waiting.clear();
    for (const waiting_permit_request& request : waiting) {
        if (request.expires_at >= context.now) {
            handle_request(shard, context, request.from, request.request);
        }
    }
}

void confirm_batch(journal_shard& shard, const shard_context& context, std::uint64_t batch) {
    shard.confirmed_batch = std::max(shard.confirmed_batch, batch);
    std::vector<deferred_reply> later;
    for (deferred_reply& waiting : shard.deferred) {
        if (waiting.batch > shard.confirmed_batch) {
            later.push_back(std::move(waiting));
        } else if (still_holds(shard, waiting)) {
            reply_to(context, waiting.to, std::move(waiting.reply));
        }
    }
    shard.deferred = std::move(later);
}

void refuse_unconfirmed(journal_shard& shard, const shard_context& context,
                        permit_verdict verdict) {
    std::vector<deferred_reply> kept;
    for (deferred_reply& waiting : shard.deferred) {
        if (waiting.reply.verdict != permit_verdict::granted) {
            kept.push_back(std::move(waiting));
            continue;
        }
        const auto found = shard.entries.find(waiting.key);
        if (found != shard.entries.end() && found->second.permit == waiting.reply.permit) {
            remove_entry(shard, found);
            note_unwritten_outcome(shard, context.now);
        }
        reply_to(context, waiting.to,
                 make_reply(context, waiting.reply.number, verdict, waiting.reply.permit));
    }
    shard.deferred = std::move(kept);
    for (const waiting_permit_request& waiting : shard.waiting) {
        reply_to(context, waiting.from, make_reply(context, waiting.request.number, verdict, {}));
    }
    shard.waiting.clear();
}

}  // namespace cyclamenmount::detail
