#include "coordination/quarantine/internal/trials.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

//! Marks the ledger as the most recently used. Times of use are keys of `ledgers_by_use`, so equal
//! times are changed to unique times.
void touch(quarantine_state& state, const fingerprint& body, trial_ledger& ledger, instant now) {
    state.ledgers_by_use.erase(ledger.last_used_at);
    ledger.last_used_at = std::max(now, state.last_use + milliseconds(1));
    state.last_use = ledger.last_used_at;
    state.ledgers_by_use.emplace(ledger.last_used_at, body);
}

//! Drops the least recently used ledger. Ledgers created later become authoritative only after the
//! attempts that were running in the dropped ledger have ended.
void drop_oldest_ledger(quarantine_state& state) {
    const auto oldest = state.ledgers_by_use.begin();
    for (const auto& item : state.ledgers.at(oldest->second).running) {
        state.dropped_attempts_end_at =
            std::max(state.dropped_attempts_end_at, item.second.ends_at);
    }
    state.ledgers.erase(oldest->second);
    state.ledgers_by_use.erase(oldest);
}

//! Returns the ledger of a fingerprint, and creates it if needed.
trial_ledger& open_ledger(const quarantine_context& context, const fingerprint& body) {
    quarantine_state& state = context.state;
    auto [it, inserted] = state.ledgers.try_emplace(body);
    trial_ledger& ledger = it->second;
    if (inserted) {
        ledger.authoritative_from = std::max(
            state.dropped_attempts_end_at, state.roster_since + context.env.timing.longest_attempt);
        renew_tenure(ledger.held, context.roster, trial_owner_key(body), context.now);
    }
    touch(state, body, ledger, context.now);
    if (state.ledgers.size() > quarantine_limits::max_ledgers) {
        drop_oldest_ledger(state);
    }
    return ledger;
}

std::size_t crashes_of(const quarantine_state& state, const fingerprint& body) {
    const auto found = state.suspects.find(body);
    return found == state.suspects.end() ? 0 : count_crashes(found->second);
}

bool may_start(const quarantine_context& context, const fingerprint& body,
               const trial_ledger& ledger) {
    const std::size_t crashes = crashes_of(context.state, body);
    if (crashes == 0 && ledger.completed) {
        return true;
    }
    if (crashes + ledger.running.size() >= quarantine_limits::max_crashes) {
        return false;
    }
    // Before the ledger is authoritative, attempts that a previous owner permitted may be running.
    return crashes == 0 || context.now >= ledger.authoritative_from;
}

void drop_ended(trial_ledger& ledger, instant now) {
    std::erase_if(ledger.running, [now](const auto& item) { return item.second.ends_at < now; });
}

}  // namespace

std::string trial_owner_key(const fingerprint& body) {
    return "fingerprint/" + body.value;
}

void handle_trial_request(const quarantine_context& context, const instance_id& from,
                          const trial_request& request) {
    if (!may_act_as_owner(context.roster, context.env, trial_owner_key(request.body),
                          context.now)) {
        return;
    }
    const auto requester =
        from == context.env.self.id ? context.env.self : find_member(context.roster, from);
    if (!requester) {
        return;
    }
    trial_ledger& ledger = open_ledger(context, request.body);
    drop_ended(ledger, context.now);
    trial_reply reply{generation(context.roster), request.number, request.attempt, false, false};
    reply.quarantined = crashes_of(context.state, request.body) >= quarantine_limits::max_crashes;
    const bool is_running = ledger.running.contains(request.attempt);
    reply.granted = !reply.quarantined && (is_running || may_start(context, request.body, ledger));
    if (reply.granted) {
        ledger.running[request.attempt] = {from, context.now + request.lasts_at_most};
    }
    context.out.emplace_back(send_to_peer{*requester, reply});
}

//! Removes an ended attempt from its ledger. An end without a crash but with an incarnation means
//! that the attempt completed.
void handle_trial_end(const quarantine_context& context, const trial_end& value) {
    const auto found = context.state.ledgers.find(value.body);
    if (found == context.state.ledgers.end()) {
        return;
    }
    found->second.running.erase(value.attempt);
    if (!value.died && !value.incarnation.empty()) {
        found->second.completed = true;
    }
}

void record_crash(quarantine_state& state, const fingerprint& body) {
    const auto found = state.ledgers.find(body);
    if (found != state.ledgers.end()) {
        found->second.completed = false;
    }
}

void renew_ledgers(const quarantine_context& context) {
    if (generation(context.roster) == context.state.generation) {
        return;
    }
    context.state.generation = generation(context.roster);
    context.state.roster_since = context.now;
    for (auto& [body, ledger] : context.state.ledgers) {
        const instant since = ledger.held.since;
        renew_tenure(ledger.held, context.roster, trial_owner_key(body), context.now);
        if (ledger.held.last_generation == 0 || ledger.held.since != since) {
            ledger.authoritative_from = context.now + context.env.timing.longest_attempt;
            ledger.completed = false;
        }
    }
}

}  // namespace cyclamenmount::detail
