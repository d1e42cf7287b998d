#include "coordination/at_most_once/internal/owner.h"

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
    const auto it = shard.entries.try_emplace(key).first;
    shard.bytes += entry.line.size();
    shard.bytes -= it->second.line.size();
    it->second = std::move(entry);
}

void remove_entry(journal_shard& shard, std::map<journal_key, journal_entry>::iterator it) {
    shard.bytes -= it->second.line.size();
    shard.entries.erase(it);
}

bool is_expired(const journal_shard& shard, const journal_entry& entry, instant now) {
    return journal_time(shard, now) - entry.recorded_at > at_most_once_limits::key_retention;
}

//! True if the entry's call may still be running: its runner is a member, and the maximum duration
//! of the call isn't over. Instance ids are never reused, so a runner that has left the roster
//! starts no further calls.
bool may_be_running(const journal_shard& shard, const shard_context& context,
                    const journal_entry& entry) {
    const auto all = members(context.roster);
    const bool listed = std::any_of(
        all.begin(), all.end(), [&entry](const member& value) { return value.id == entry.runner; });
    return listed && journal_time(shard, context.now) - entry.recorded_at <= entry.lasts_at_most;
}

//! Makes the reply to a request for a key that belongs to another permit.
//!
//! An outcome is returned from memory even before it is in the journal, since it is final. If the
//! owner crashes before the write, later duplicates get `unknown_outcome`, which is still correct.
permit_reply make_duplicate_reply(const journal_shard& shard, const shard_context& context,
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

//! Removes the response bodies from the older half of the entries with a body. The keys stay.
void strip_older_bodies(journal_shard& shard) {
    std::vector<std::pair<milliseconds, journal_key>> with_body;
    for (const auto& [key, entry] : shard.entries) {
        if (!entry.outcome.body.empty()) {
            with_body.emplace_back(entry.recorded_at, key);
        }
    }
    std::sort(with_body.begin(), with_body.end());
    with_body.resize((with_body.size() + 1) / 2);
    for (const auto& item : with_body) {
        journal_entry entry = shard.entries.at(item.second);
        entry.outcome.known = false;
        entry.outcome.body.clear();
        put_entry(shard, item.second, std::move(entry));
    }
}

//! Makes room for `needed` bytes: first by removing expired keys, then older response bodies. Keys
//! within their retention time are never removed, so a full journal accepts no more calls. Returns
//! false if there is still not enough room.
bool make_room(journal_shard& shard, std::size_t needed, instant now) {
    const auto fits = [&shard, needed] {
        return shard.bytes + needed <= at_most_once_limits::max_journal_bytes;
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

//! Grants the permit of the key's entry: at once if the entry is stored, otherwise after the write
//! that includes the entry has been confirmed.
void grant_when_recorded(journal_shard& shard, const shard_context& context,
                         const instance_id& from, const journal_key& key,
                         const permit_request& request) {
    const journal_entry& entry = shard.entries.at(key);
    permit_reply reply = make_reply(context, request.number, permit_verdict::granted, entry.permit);
    if (entry.batch <= shard.confirmed_batch) {
        send_reply(context, from, std::move(reply));
        return;
    }
    const bool already_deferred = std::any_of(
        shard.deferred.begin(), shard.deferred.end(), [&reply](const deferred_reply& deferred) {
            return deferred.reply.permit == reply.permit && deferred.reply.verdict == reply.verdict;
        });
    if (!already_deferred) {
        shard.deferred.push_back({entry.batch, from, key, std::move(reply)});
    }
}

//! Adds an entry for a new key and grants its permit once the entry is stored. Refuses the request
//! if the journal is full.
void record_intent(journal_shard& shard, const shard_context& context, const instance_id& from,
                   const journal_key& key, const permit_request& request) {
    journal_entry entry = make_intent(shard, context, from, request);
    encode_entry(key, entry);
    if (!make_room(shard, entry.line.size(), context.now)) {
        send_reply(context, from,
                   make_reply(context, request.number, permit_verdict::store_unavailable, {}));
        return;
    }
    put_entry(shard, key, std::move(entry));
    shard.intents_unwritten = true;
    grant_when_recorded(shard, context, from, key, request);
}

//! Confirms a return or an outcome once the batch that contains its change is stored.
void confirm_notice(journal_shard& shard, const shard_context& context, const instance_id& to,
                    const journal_key& key, std::uint64_t batch, permit_reply reply) {
    if (batch <= shard.confirmed_batch) {
        send_reply(context, to, std::move(reply));
        return;
    }
    shard.deferred.push_back({batch, to, key, std::move(reply)});
}

void mark_outcome_unwritten(journal_shard& shard, instant now) {
    if (!shard.outcomes_unwritten_since) {
        shard.outcomes_unwritten_since = now;
    }
}

//! Replaces an intent by its outcome. The response body is kept only if the journal has room.
void record_outcome(journal_shard& shard, const journal_key& key, const call_outcome& outcome,
                    instant now) {
    journal_entry entry = shard.entries.at(key);
    entry.phase = outcome.known ? call_phase::done : call_phase::unknown;
    entry.outcome = storable_outcome(outcome);
    encode_entry(key, entry);
    if (!entry.outcome.body.empty() && !make_room(shard, entry.line.size(), now)) {
        entry.outcome.known = false;
        entry.outcome.body.clear();
    }
    put_entry(shard, key, std::move(entry));
    mark_outcome_unwritten(shard, now);
}

//! Removes the queued request for which this permit would be granted.
void remove_waiting_request(journal_shard& shard, const std::string& permit) {
    std::erase_if(shard.waiting, [&permit](const waiting_permit_request& waiting) {
        return permit_id(waiting.from, waiting.request.number) == permit;
    });
}

//! False if the reply grants a permit whose intent was removed after the reply was deferred.
bool is_still_valid(const journal_shard& shard, const deferred_reply& deferred) {
    if (deferred.reply.verdict != permit_verdict::granted) {
        return true;
    }
    const auto found = shard.entries.find(deferred.key);
    return found != shard.entries.end() && found->second.permit == deferred.reply.permit;
}

}  // namespace

milliseconds journal_time(const journal_shard& shard, instant now) {
    return shard.clock + (now - shard.clock_at);
}

std::string permit_id(const instance_id& requester, ticket number) {
    return requester.value + '/' + std::to_string(number);
}

void send_reply(const shard_context& context, const instance_id& to, permit_reply reply) {
    const auto requester =
        to == context.env.self.id ? context.env.self : find_member(context.roster, to);
    if (requester) {
        context.out.emplace_back(send_to_peer{*requester, std::move(reply)});
    }
}

void drop_expired(journal_shard& shard, instant now) {
    for (auto it = shard.entries.begin(); it != shard.entries.end();) {
        const auto next = std::next(it);
        if (is_expired(shard, it->second, now)) {
            remove_entry(shard, it);
        }
        it = next;
    }
}

void handle_request(journal_shard& shard, const shard_context& context, const instance_id& from,
                    const permit_request& request) {
    if (shard.phase != journal_phase::active) {
        if (shard.waiting.size() >= at_most_once_limits::max_waiting_requests) {
            send_reply(context, from,
                       make_reply(context, request.number, permit_verdict::store_unavailable, {}));
            return;
        }
        remove_waiting_request(shard, permit_id(from, request.number));
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
    send_reply(context, from, make_duplicate_reply(shard, context, request, entry));
}

void handle_return(journal_shard& shard, const shard_context& context, const instance_id& from,
                   const permit_return& value) {
    remove_waiting_request(shard, value.permit);
    if (shard.phase != journal_phase::active) {
        return;
    }
    const journal_key key{value.workspace, value.key};
    std::uint64_t batch = shard.confirmed_batch;
    const auto found = shard.entries.find(key);
    if (found != shard.entries.end() && found->second.permit == value.permit &&
        found->second.phase == call_phase::intent) {
        remove_entry(shard, found);
        mark_outcome_unwritten(shard, context.now);
        batch = shard.next_batch;
    }
    confirm_notice(shard, context, from, key, batch,
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
    confirm_notice(shard, context, from, key, batch,
                   make_reply(context, 0, permit_verdict::done, value.permit));
}

void process_waiting_requests(journal_shard& shard, const shard_context& context) {
    const std::vector<waiting_permit_request> waiting = std::move(shard.waiting);
    shard.waiting.clear();
    for (const waiting_permit_request& item : waiting) {
        if (item.expires_at >= context.now) {
            handle_request(shard, context, item.from, item.request);
        }
    }
}

void confirm_batch(journal_shard& shard, const shard_context& context, std::uint64_t batch) {
    shard.confirmed_batch = std::max(shard.confirmed_batch, batch);
    std::vector<deferred_reply> still_deferred;
    for (deferred_reply& deferred : shard.deferred) {
        if (deferred.batch > shard.confirmed_batch) {
            still_deferred.push_back(std::move(deferred));
        } else if (is_still_valid(shard, deferred)) {
            send_reply(context, deferred.to, std::move(deferred.reply));
        }
    }
    shard.deferred = std::move(still_deferred);
}

void refuse_unconfirmed(journal_shard& shard, const shard_context& context,
                        permit_verdict verdict) {
    std::vector<deferred_reply> kept;
    for (deferred_reply& deferred : shard.deferred) {
        if (deferred.reply.verdict != permit_verdict::granted) {
            kept.push_back(std::move(deferred));
            continue;
        }
        const auto found = shard.entries.find(deferred.key);
        if (found != shard.entries.end() && found->second.permit == deferred.reply.permit) {
            remove_entry(shard, found);
            mark_outcome_unwritten(shard, context.now);
        }
        send_reply(context, deferred.to,
                   make_reply(context, deferred.reply.number, verdict, deferred.reply.permit));
    }
    shard.deferred = std::move(kept);
    for (const waiting_permit_request& waiting : shard.waiting) {
        send_reply(context, waiting.from, make_reply(context, waiting.request.number, verdict, {}));
    }
    shard.waiting.clear();
}

}  // namespace cyclamenmount::detail
