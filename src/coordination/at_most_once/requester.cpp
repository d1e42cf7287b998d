#include "coordination/at_most_once/internal/requester.h"

#include "coordination/at_most_once/internal/owner.h"
#include "types/overloaded.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

std::optional<member> find_owner(const requester_context& context, const workspace_name& workspace,
                                 const idempotency_key& key) {
    return owner_of(context.roster, shard_owner_key(shard_of(workspace, key)));
}

//! Sends or retransmits the request. The owner identifies retransmissions by requester and number.
void send_request(const requester_context& context, pending_permit& pending) {
    pending.next_send = context.now + at_most_once_limits::resend_interval;
    const auto owner = find_owner(context, pending.request.workspace, pending.request.key);
    if (!owner) {
        pending.next_send = context.now + at_most_once_limits::no_owner_retry_delay;
        return;
    }
    pending.sent_to = owner->id;
    permit_request request = pending.request;
    request.waits_at_most = pending.deadline - context.now;
    context.out.emplace_back(send_to_peer{*owner, std::move(request)});
}

void transmit(const requester_context& context, unconfirmed_notice& notice) {
    notice.next_send = context.now + at_most_once_limits::resend_interval;
    std::visit(
        [&context](const auto& value) {
            const auto owner = find_owner(context, value.workspace, value.key);
            if (owner) {
                context.out.emplace_back(send_to_peer{*owner, value});
            }
        },
        notice.value);
}

void emit_decision(const requester_context& context, const pending_permit& pending,
                   permit_reply reply) {
    reply.number = pending.caller_number;
    context.out.emplace_back(permit_decided{std::move(reply)});
}

//! Ends a request without a permit: reports the result to the traffic thread, and returns the
//! permit to the owner, which may have recorded it.
void fail_request(const requester_context& context, ticket number, permit_verdict verdict) {
    const auto found = context.state.pending.find(number);
    const pending_permit pending = std::move(found->second);
    context.state.pending.erase(found);
    emit_decision(context, pending, {generation(context.roster), 0, verdict, {}, {}});
    if (pending.sent_to) {
        const std::string permit = permit_id(context.env.self.id, number);
        send_notice(context, permit,
                    permit_return{pending.request.workspace, pending.request.key, permit});
    }
}

//! True if the reply confirms this kind of notice: `no_home` confirms a return, `done` an outcome.
bool confirms(const permit_reply& reply, const unconfirmed_notice& notice) {
    const bool is_return = std::holds_alternative<permit_return>(notice.value);
    return reply.verdict == (is_return ? permit_verdict::no_home : permit_verdict::done);
}

void handle_confirmation(const requester_context& context, const permit_reply& reply) {
    const auto found = context.state.unconfirmed.find(reply.permit);
    if (found != context.state.unconfirmed.end() && confirms(reply, found->second)) {
        context.state.unconfirmed.erase(found);
    }
}

void drop_oldest_notice(at_most_once_state& state) {
    const auto oldest = std::min_element(
        state.unconfirmed.begin(), state.unconfirmed.end(),
        [](const auto& left, const auto& right) { return left.second.since < right.second.since; });
    state.unconfirmed.erase(oldest);
}

//! True if the request must be sent again: its resend interval is over, or the key has a new owner.
bool is_due(const requester_context& context, const pending_permit& pending) {
    if (context.now >= pending.next_send) {
        return true;
    }
    const auto owner = find_owner(context, pending.request.workspace, pending.request.key);
    return owner && pending.sent_to && *pending.sent_to != owner->id;
}

}  // namespace

void request_permit(const requester_context& context, const permit_wanted& wanted) {
    pending_permit pending;
    pending.request = wanted.request;
    pending.request.number = context.state.next_number++;
    pending.caller_number = wanted.request.number;
    pending.deadline =
        context.now + std::max(wanted.request.waits_at_most, context.env.timing.tick);
    send_request(context, pending);
    context.state.pending.emplace(pending.request.number, std::move(pending));
}

void send_notice(const requester_context& context, const std::string& permit,
                 std::variant<permit_return, permit_outcome> value) {
    if (context.state.unconfirmed.size() >= at_most_once_limits::max_unconfirmed_notices) {
        drop_oldest_notice(context.state);
    }
    unconfirmed_notice notice{std::move(value), context.now, context.now};
    transmit(context, notice);
    context.state.unconfirmed.insert_or_assign(permit, std::move(notice));
}

//! The roster generation of a grant isn't checked: the grant was fenced by the version of the
//! journal object. A grant for a request that has already ended is ignored, since the permit was
//! returned when the request ended.
void handle_permit_reply(const requester_context& context, const permit_reply& reply) {
    if (reply.number == 0) {
        handle_confirmation(context, reply);
        return;
    }
    const auto found = context.state.pending.find(reply.number);
    if (found == context.state.pending.end()) {
        return;
    }
    if (context.now >= found->second.deadline) {
        fail_request(context, reply.number, permit_verdict::no_home);
        return;
    }
    if (reply.verdict == permit_verdict::store_unavailable) {
        fail_request(context, reply.number, reply.verdict);
        return;
    }
    if (reply.verdict == permit_verdict::no_home) {
        found->second.next_send = context.now + at_most_once_limits::no_owner_retry_delay;
        return;
    }
    const pending_permit pending = std::move(found->second);
    context.state.pending.erase(found);
    emit_decision(context, pending, reply);
}

void handle_requester_tick(const requester_context& context) {
    std::vector<ticket> overdue;
    for (auto& [number, pending] : context.state.pending) {
        if (context.now >= pending.deadline) {
            overdue.push_back(number);
        } else if (is_due(context, pending)) {
            send_request(context, pending);
        }
    }
    for (const ticket number : overdue) {
        fail_request(context, number, permit_verdict::no_home);
    }
    std::erase_if(context.state.unconfirmed, [&context](const auto& item) {
        return context.now - item.second.since > at_most_once_limits::notice_lifetime;
    });
    for (auto& item : context.state.unconfirmed) {
        if (context.now >= item.second.next_send) {
            transmit(context, item.second);
        }
    }
}

}  // namespace cyclamenmount::detail
