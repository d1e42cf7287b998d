#include "coordination/once/internal/runner.h"

#include "coordination/once/internal/home.h"
#include "types/overloaded.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

std::optional<member> home_for(const runner_context& context, const workspace_name& workspace,
                               const idempotency_key& key) {
    return home_of(context.roster, shard_home_key(shard_of(workspace, key)));
}

//! Sends the request, or sends it again: the home knows a request by its asker and number.
void send_request(const runner_context& context, pending_permit& pending) {
    pending.next_send = context.now + once_limits::notice_retry;
    const auto home = home_for(context, pending.request.workspace, pending.request.key);
    if (!home) {
        pending.next_send = context.now + once_limits::send_retry;
        return;
    }
    pending.sent_to = home->id;
    permit_request request = pending.request;
    request.waits_at_most = pending.gives_up_at - context.now;
    context.out.emplace_back(send_to_peer{*home, std::move(request)});
}

void transmit(const runner_context& context, unsettled_notice& notice) {
    notice.next_send = context.now + once_limits::notice_retry;
    std::visit(
        [&context](const auto& value) {
            const auto home = home_for(context, value.workspace, value.key);
            if (home) {
                context.out.emplace_back(send_to_peer{*home, value});
            }
        },
        notice.value);
}

void decide(const runner_context& context, const pending_permit& pending, permit_reply reply) {
    reply.number = pending.asked;
    context.out.emplace_back(permit_decided{std::move(reply)});
}

//! Tells the caller's thread that nothing runs, and the home to void what it may have recorded.
void give_up(const runner_context& context, ticket number, permit_verdict verdict) {
    const auto found = context.state.pending.find(number);
    const pending_permit pending = std::move(found->second);
    context.state.pending.erase(found);
    decide(context, pending, {generation(context.roster), 0, verdict, {}, {}});
    if (pending.sent_to) {
        const std::string permit = permit_id(context.env.self.id, number);
        send_notice(context, permit,
                    permit_return{pending.request.workspace, pending.request.key, permit});
    }
}

bool confirms(const permit_reply& reply, const unsettled_notice& notice) {
    const bool is_return = std::holds_alternative<permit_return>(notice.value);
    return reply.verdict == (is_return ? permit_verdict::no_home : permit_verdict::done);
}

void handle_confirmation(const runner_context& context, const permit_reply& reply) {
    const auto found = context.state.unsettled.find(reply.permit);
    if (found != context.state.unsettled.end() && confirms(reply, found->second)) {
        context.state.unsettled.erase(found);
    }
}

void drop_oldest_notice(once_state& state) {
    const auto oldest = std::min_element(
        state.unsettled.begin(), state.unsettled.end(),
        [](const auto& left, const auto& right) { return left.second.since < right.second.since; });
    state.unsettled.erase(oldest);
}

bool is_due(const runner_context& context, const pending_permit& pending) {
    if (context.now >= pending.next_send) {
        return true;
    }
    const auto home = home_for(context, pending.request.workspace, pending.request.key);
    return home && pending.sent_to && *pending.sent_to != home->id;
}

}  // namespace

void ask_permit(const runner_context& context, const permit_wanted& wanted) {
    pending_permit pending;
    pending.request = wanted.request;
    pending.request.number = context.state.next_number++;
    pending.asked = wanted.request.number;
    pending.gives_up_at =
        context.now + std::max(wanted.request.waits_at_most, context.env.timing.tick);
    send_request(context, pending);
    context.state.pending.emplace(pending.request.number, std::move(pending));
}

void send_notice(const runner_context& context, const std::string& permit,
                 std::variant<permit_return, permit_outcome> value) {
    if (context.state.unsettled.size() >= once_limits::unsettled_notices) {
        drop_oldest_notice(context.state);
    }
    unsettled_notice notice{std::move(value), context.now, context.now};
    transmit(context, notice);
    context.state.unsettled.insert_or_assign(permit, std::move(notice));
}

//! A grant is good whatever its generation: the version of the journal object was its fence. One
//! that nobody waits for any more is not used; its return is under way already.
void handle_reply(const runner_context& context, const permit_reply& reply) {
    if (reply.number == 0) {
        handle_confirmation(context, reply);
        return;
    }
    const auto found = context.state.pending.find(reply.number);
    if (found == context.state.pending.end()) {
        return;
    }
    if (context.now >= found->second.gives_up_at) {
        give_up(context, reply.number, permit_verdict::no_home);
        return;
    }
    if (reply.verdict == permit_verdict::store_unavailable) {
        give_up(context, reply.number, reply.verdict);
        return;
    }
    if (reply.verdict == permit_verdict::no_home) {
        found->second.next_send = context.now + once_limits::send_retry;
        return;
    }
    const pending_permit pending = std::move(found->second);
    context.state.pending.erase(found);
    decide(context, pending, reply);
}

void handle_runner_tick(const runner_context& context) {
    std::vector<ticket> overdue;
    for (auto& [number, pending] : context.state.pending) {
        if (context.now >= pending.gives_up_at) {
            overdue.push_back(number);
        } else if (is_due(context, pending)) {
            send_request(context, pending);
        }
    }
    for (const ticket number : overdue) {
        give_up(context, number, permit_verdict::no_home);
    }
    std::erase_if(context.state.unsettled, [&context](const auto& place) {
        return context.now - place.second.since > once_limits::notice_lifetime;
    });
    for (auto& place : context.state.unsettled) {
        if (context.now >= place.second.next_send) {
            transmit(context, place.second);
        }
    }
}

}  // namespace cyclamenmount::detail
