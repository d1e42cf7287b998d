#include "coordination/registry/registry.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

constexpr milliseconds purge_period{1000};  // time between removals of expired claims

//! State and inputs for the handling of one event.
struct registry_context {
    registry_state& state;
    const environment& env;
    const roster_state& roster;
    instant now;
    effects& out;
};

//! Key by which the roster selects the claim's owner.
std::string ownership_key(const claim_key& key) {
    return "request/" + key.workspace.value + '/' + key.key.value;
}

claim_key key_of(const workspace_name& workspace, const idempotency_key& key) {
    return {workspace, key};
}

//! The local instance or the peer with this id.
std::optional<member> find_local_or_member(const registry_context& context, const instance_id& id) {
    return id == context.env.self.id ? context.env.self : find_member(context.roster, id);
}

bool is_roster_member(const registry_context& context, const instance_id& id) {
    const auto all = members(context.roster);
    return std::any_of(all.begin(), all.end(),
                       [&id](const member& value) { return value.id == id; });
}

// --- owner --------------------------------------------------------------------------------------

void drop_claim(registry_state& state, std::map<claim_key, registered_claim>::iterator it) {
    state.bytes -= it->second.bytes;
    state.claims.erase(it);
}

void drop_oldest_claim(registry_state& state) {
    const auto oldest = std::min_element(
        state.claims.begin(), state.claims.end(), [](const auto& left, const auto& right) {
            return left.second.claimed_at < right.second.claimed_at;
        });
    drop_claim(state, oldest);
}

//! Time after which a claim is removed if no end notice arrives.
milliseconds lifetime(const claim_request& request) {
    return std::min(request.lasts_at_most, registry_limits::max_lifetime) +
           registry_limits::retention_after_end;
}

//! Makes `runner` the runner of the claim. Stage results of earlier runners are kept.
void assign_claim(const registry_context& context, registered_claim& claim, const member& runner,
                  const claim_request& request) {
    claim.body = request.body;
    claim.request = request.request;
    claim.runner = runner;
    claim.claimed_at = context.now;
    claim.expires_at = context.now + lifetime(request);
    claim.ended = false;
}

//! Adds a claim; drops the oldest one if the limit is reached.
registered_claim& add_claim(const registry_context& context, const member& runner,
                            const claim_request& request) {
    if (context.state.claims.size() >= registry_limits::max_claims) {
        drop_oldest_claim(context.state);
    }
    registered_claim& claim = context.state.claims[key_of(request.workspace, request.key)];
    assign_claim(context, claim, runner, request);
    return claim;
}

//! Decides a claim request: run the request, join the registered run, or reject the request because
//! the key was used with another body.
claim_reply decide_claim(const registry_context& context, const member& requester,
                         const claim_request& request) {
    claim_reply reply{generation(context.roster),
                      request.number,
                      claim_verdict::run,
                      request.request,
                      requester,
                      {}};
    const auto found = context.state.claims.find(key_of(request.workspace, request.key));
    if (found == context.state.claims.end() || found->second.expires_at < context.now) {
        if (found != context.state.claims.end()) {
            drop_claim(context.state, found);
        }
        add_claim(context, requester, request);
        return reply;
    }
    registered_claim& claim = found->second;
    if (claim.body != request.body) {
        reply.verdict = claim_verdict::key_reused;
        return reply;
    }
    if (claim.request == request.request) {
        return reply;
    }
    if (is_roster_member(context, claim.runner.id)) {
        reply.verdict = claim_verdict::join;
        reply.request = claim.request;
        reply.runner = claim.runner;
        return reply;
    }
    assign_claim(context, claim, requester, request);
    reply.finished_stages = claim.stages;
    return reply;
}

void handle_message(const registry_context& context, const instance_id& from,
                    const claim_request& request) {
    const auto requester = find_local_or_member(context, from);
    if (!requester) {
        return;
    }
    claim_reply reply{
        generation(context.roster), request.number, claim_verdict::no_home, {}, {}, {}};
    const std::string key = ownership_key(key_of(request.workspace, request.key));
    if (may_act_as_owner(context.roster, context.env, key, context.now)) {
        reply = decide_claim(context, *requester, request);
    }
    context.out.emplace_back(send_to_peer{*requester, std::move(reply)});
}

//! The claim of a key if it belongs to the given request; null if there is none or if another
//! request has the claim.
registered_claim* find_claim(const registry_context& context, const claim_key& key,
                             const request_id& request) {
    const auto found = context.state.claims.find(key);
    const bool is_current = found != context.state.claims.end() && found->second.request == request;
    return is_current ? &found->second : nullptr;
}

//! Keeps a stage result if it is within the limits. If it isn't kept, a later runner repeats the
//! stage.
void handle_message(const registry_context& context, const instance_id& /*from*/,
                    const claim_progress& progress) {
    registered_claim* claim =
        find_claim(context, key_of(progress.workspace, progress.key), progress.request);
    if (claim == nullptr || claim->stages.size() >= registry_limits::max_stages) {
        return;
    }
    const std::size_t bytes = progress.stage.output.size();
    const bool fits = bytes <= registry_limits::max_stage_bytes &&
                      context.state.bytes + bytes <= registry_limits::max_total_bytes;
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
    registered_claim* claim = find_claim(context, key_of(end.workspace, end.key), end.request);
    if (claim == nullptr || claim->ended) {
        return;
    }
    claim->ended = true;
    claim->expires_at = context.now + registry_limits::retention_after_end;
}

// --- requester -----------------------------------------------------------------------------------

template <typename Notice>
//! Sends a message to the owner of its key, if there is one.
void send_to_owner(const registry_context& context, const Notice& notice) {
    const auto owner =
        owner_of(context.roster, ownership_key(key_of(notice.workspace, notice.key)));
    if (owner) {
        context.out.emplace_back(send_to_peer{*owner, notice});
    }
}

//! Reports that no owner is available, so that the request runs without a claim.
void decide_without_owner(const registry_context& context, const claim_request& request) {
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
    if (!owner_of(context.roster, ownership_key(key_of(request.workspace, request.key)))) {
        decide_without_owner(context, request);
        return;
    }
    context.state.pending[request.number] = {request, context.now + registry_limits::reply_timeout};
    send_to_owner(context, request);
}

void handle(const registry_context& context, const stage_finished& finished) {
    if (finished.value.stage.output.size() <= registry_limits::max_stage_bytes) {
        send_to_owner(context, finished.value);
    }
}

void handle(const registry_context& context, const claim_ended& ended) {
    send_to_owner(context, ended.value);
}

void purge_claims(const registry_context& context) {
    if (context.now < context.state.next_purge) {
        return;
    }
    context.state.next_purge = context.now + purge_period;
    for (auto it = context.state.claims.begin(); it != context.state.claims.end();) {
        const auto next = std::next(it);
        if (it->second.expires_at < context.now) {
            drop_claim(context.state, it);
        }
        it = next;
    }
}

void handle(const registry_context& context, const tick& /*value*/) {
    purge_claims(context);
    for (auto it = context.state.pending.begin(); it != context.state.pending.end();) {
        const auto next = std::next(it);
        if (context.now >= it->second.reply_deadline) {
            decide_without_owner(context, it->second.request);
            context.state.pending.erase(it);
        }
        it = next;
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
