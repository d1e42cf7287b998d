#include "coordination/registry/registry.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

constexpr milliseconds purge_period{1000};

struct registry_context {
    registry_state& state;
    const environment& env;
    const roster_state& roster;
    instant now;
    effects& out;
};

std::string home_key(const claim_key& key) {
    return "request/" + key.workspace.value + '/' + key.key.value;
}

claim_key key_of(const workspace_name& workspace, const idempotency_key& key) {
    return {workspace, key};
}

std::optional<member> known_member(const registry_context& context, const instance_id& id) {
    return id == context.env.self.id ? context.env.self : find_member(context.roster, id);
}

bool is_listed(const registry_context& context, const instance_id& id) {
    const auto all = members(context.roster);
    return std::any_of(all.begin(), all.end(),
                       [&id](const member& value) { return value.id == id; });
}

// --- home ---------------------------------------------------------------------------------------

void drop_claim(registry_state& state, std::map<claim_key, held_claim>::iterator place) {
    state.bytes -= place->second.bytes;
    state.claims.erase(place);
}

void drop_oldest_claim(registry_state& state) {
    const auto oldest = std::min_element(
        state.claims.begin(), state.claims.end(), [](const auto& left, const auto& right) {
            return left.second.claimed_at < right.second.claimed_at;
        });
    drop_claim(state, oldest);
}

milliseconds lifetime(const claim_request& request) {
    return std::min(request.lasts_at_most, registry_limits::most_lifetime) +
           registry_limits::kept_after_end;
}

//! The claim passes to the asker; what earlier runners finished stays with it.
void take_claim(const registry_context& context, held_claim& claim, const member& runner,
                const claim_request& request) {
    claim.body = request.body;
    claim.request = request.request;
    claim.runner = runner;
    claim.claimed_at = context.now;
    claim.ends_at = context.now + lifetime(request);
    claim.ended = false;
}

held_claim& open_claim(const registry_context& context, const member& runner,
                       const claim_request& request) {
    if (context.state.claims.size() >= registry_limits::claims) {
        drop_oldest_claim(context.state);
    }
    held_claim& claim = context.state.claims[key_of(request.workspace, request.key)];
    take_claim(context, claim, runner, request);
    return claim;
}

claim_reply decide_claim(const registry_context& context, const member& asker,
                         const claim_request& request) {
    claim_reply reply{
        generation(context.roster), request.number, claim_verdict::run, request.request, asker, {}};
    const auto found = context.state.claims.find(key_of(request.workspace, request.key));
    if (found == context.state.claims.end() || found->second.ends_at < context.now) {
        if (found != context.state.claims.end()) {
            drop_claim(context.state, found);
        }
        open_claim(context, asker, request);
        return reply;
    }
    held_claim& claim = found->second;
    if (claim.body != request.body) {
        reply.verdict = claim_verdict::key_reused;
        return reply;
    }
    if (claim.request == request.request) {
        return reply;
    }
    if (is_listed(context, claim.runner.id)) {
        reply.verdict = claim_verdict::join;
        reply.request = claim.request;
        reply.runner = claim.runner;
        return reply;
    }
    take_claim(context, claim, asker, request);
    reply.finished_stages = claim.stages;
    return reply;
}

void handle_message(const registry_context& context, const instance_id& from,
                    const claim_request& request) {
    const auto asker = known_member(context, from);
    if (!asker) {
        return;
    }
    claim_reply reply{
        generation(context.roster), request.number, claim_verdict::no_home, {}, {}, {}};
    const std::string key = home_key(key_of(request.workspace, request.key));
    if (may_act(context.roster, context.env, key, context.now)) {
        reply = decide_claim(context, *asker, request);
    }
    context.out.emplace_back(send_to_peer{*asker, std::move(reply)});
}

held_claim* find_claim(const registry_context& context, const claim_key& key,
                       const request_id& request) {
    const auto found = context.state.claims.find(key);
    const bool same = found != context.state.claims.end() && found->second.request == request;
    return same ? &found->second : nullptr;
}

//! A result that is too large is left out; the runner then takes that stage again.
void handle_message(const registry_context& context, const instance_id& /*from*/,
                    const claim_progress& progress) {
    held_claim* claim =
        find_claim(context, key_of(progress.workspace, progress.key), progress.request);
    if (claim == nullptr || claim->stages.size() >= registry_limits::stages) {
        return;
    }
    const std::size_t bytes = progress.stage.output.size();
    const bool fits = bytes <= registry_limits::stage_bytes &&
                      context.state.bytes + bytes <= registry_limits::total_bytes;
    const bool known = std::any_of(
        claim->stages.begin(), claim->stages.end(),
        [&progress](const finished_stage& value) { return value.stage == progress.stage.stage; });
    if (!fits || known) {
        return;
    }
    claim->stages.push_back(progress.stage);
    claim->bytes += bytes;
    context.state.bytes += bytes;
}

void handle_message(const registry_context& context, const instance_id& /*from*/,
                    const claim_end& end) {
    held_claim* claim = find_claim(context, key_of(end.workspace, end.key), end.request);
    if (claim == nullptr || claim->ended) {
        return;
    }
    claim->ended = true;
    claim->ends_at = context.now + registry_limits::kept_after_end;
}

// --- asker --------------------------------------------------------------------------------------

template <typename Notice>
void send_to_home(const registry_context& context, const Notice& notice) {
    const auto home = home_of(context.roster, home_key(key_of(notice.workspace, notice.key)));
    if (home) {
        context.out.emplace_back(send_to_peer{*home, notice});
    }
}

void decide_alone(const registry_context& context, const claim_request& request) {
    claim_reply reply{generation(context.roster), request.number,
                      claim_verdict::no_home,     request.request,
                      context.env.self,           {}};
    context.out.emplace_back(claim_decided{std::move(reply)});
}

void handle_message(const registry_context& context, const instance_id& /*from*/,
                    const claim_reply& reply) {
    const auto found = context.state.pending.find(reply.number);
    if (found == context.state.pending.end() || reply.generation < generation(context.roster)) {
        return;
    }
    context.state.pending.erase(found);
    context.out.emplace_back(claim_decided{reply});
}

template <typename Other>
void handle_message(const registry_context& /*context*/, const instance_id& /*from*/,
                    const Other& /*value*/) {}

void handle(const registry_context& context, const peer_message_received& received) {
    std::visit([&context, &received](
                   const auto& message) { handle_message(context, received.from, message); },
               received.message);
}

void handle(const registry_context& context, const claim_wanted& wanted) {
    const claim_request& request = wanted.request;
    if (!home_of(context.roster, home_key(key_of(request.workspace, request.key)))) {
        decide_alone(context, request);
        return;
    }
    context.state.pending[request.number] = {request, context.now + registry_limits::reply_timeout};
    send_to_home(context, request);
}

void handle(const registry_context& context, const stage_finished& finished) {
    if (finished.value.stage.output.size() <= registry_limits::stage_bytes) {
        send_to_home(context, finished.value);
    }
}

void handle(const registry_context& context, const claim_ended& ended) {
    send_to_home(context, ended.value);
}

void purge_claims(const registry_context& context) {
    if (context.now < context.state.next_purge) {
        return;
    }
    context.state.next_purge = context.now + purge_period;
    for (auto place = context.state.claims.begin(); place != context.state.claims.end();) {
        const auto next = std::next(place);
        if (place->second.ends_at < context.now) {
            drop_claim(context.state, place);
        }
        place = next;
    }
}

void handle(const registry_context& context, const tick& /*value*/) {
    purge_claims(context);
    for (auto place = context.state.pending.begin(); place != context.state.pending.end();) {
        const auto next = std::next(place);
        if (context.now >= place->second.gives_up_at) {
            decide_alone(context, place->second.request);
            context.state.pending.erase(place);
        }
        place = next;
    }
}

template <typename Other>
void handle(const registry_context& /*context*/, const Other& /*value*/) {}

}  // namespace

registry_state make_registry() {
    return {};
}

void reduce_registry(registry_state& state, const environment& env, const roster_state& roster,
                     const event& happened, instant now, effects& out) {
    const registry_context context{state, env, roster, now, out};
    std::visit([&context](const auto& value) { handle(context, value); }, happened);
}

}  // namespace cyclamenmount
