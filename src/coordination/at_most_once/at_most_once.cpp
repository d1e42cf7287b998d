#include "coordination/at_most_once/at_most_once.h"

#include "coordination/at_most_once/internal/owner.h"
#include "coordination/at_most_once/internal/requester.h"
#include "types/overloaded.h"

#include <xxhash.h>

namespace cyclamenmount {

namespace {

//! The result of a store call counts as unknown after this many store timeouts without a reply.
constexpr int store_timeouts_until_unknown = 4;

struct reducer_context {
    at_most_once_state& state;
    const environment& env;
    const roster_state& roster;
    instant now;
    effects& out;
};

detail::shard_context make_shard_context(const reducer_context& context, std::uint64_t index) {
    return {context.state, context.env, context.roster, index, context.now, context.out};
}

detail::requester_context make_requester_context(const reducer_context& context) {
    return {context.state, context.env, context.roster, context.now, context.out};
}

bool holds_lease(const reducer_context& context, std::uint64_t index) {
    return may_act_as_owner(context.roster, context.env, detail::shard_owner_key(index),
                            context.now);
}

bool is_owner(const reducer_context& context, std::uint64_t index) {
    const auto owner = owner_of(context.roster, detail::shard_owner_key(index));
    return owner && owner->id == context.env.self.id;
}

void handle_message(const reducer_context& context, const instance_id& from,
                    const permit_request& request) {
    const std::uint64_t index = detail::shard_of(request.workspace, request.key);
    const detail::shard_context shard_context = make_shard_context(context, index);
    if (!holds_lease(context, index)) {
        detail::send_reply(
            shard_context, from,
            {generation(context.roster), request.number, permit_verdict::no_home, {}, {}});
        return;
    }
    journal_shard& shard = context.state.shards[index];
    detail::handle_request(shard, shard_context, from, request);
    detail::advance_shard(shard, shard_context);
}

//! Handles a return or an outcome if this instance has the state of the key's shard. No valid owner
//! lease is needed, because the resulting changes are written conditionally.
template <typename Notice, typename Handler>
void handle_notice(const reducer_context& context, const instance_id& from, const Notice& notice,
                   Handler handler) {
    const std::uint64_t index = detail::shard_of(notice.workspace, notice.key);
    const auto found = context.state.shards.find(index);
    if (found == context.state.shards.end()) {
        return;
    }
    const detail::shard_context shard_context = make_shard_context(context, index);
    handler(found->second, shard_context, from, notice);
    detail::advance_shard(found->second, shard_context);
}

void handle_message(const reducer_context& context, const instance_id& from,
                    const permit_return& value) {
    handle_notice(context, from, value, detail::handle_return);
}

void handle_message(const reducer_context& context, const instance_id& from,
                    const permit_outcome& value) {
    handle_notice(context, from, value, detail::handle_outcome);
}

void handle_message(const reducer_context& context, const instance_id& /*from*/,
                    const permit_reply& value) {
    detail::handle_permit_reply(make_requester_context(context), value);
}

template <typename Other>
void handle_message(const reducer_context& /*context*/, const instance_id& /*from*/,
                    const Other& /*value*/) {}

void handle(const reducer_context& context, const peer_message_received& received) {
    std::visit([&context, &received](
                   const auto& message) { handle_message(context, received.from, message); },
               received.message);
}

void handle(const reducer_context& context, const store_replied& reply) {
    if (reply.number.owner != component::once) {
        return;
    }
    for (auto& [index, shard] : context.state.shards) {
        if (shard.call && shard.call->number == reply.number) {
            detail::handle_store_reply(shard, make_shard_context(context, index), reply);
            return;
        }
    }
}

void handle(const reducer_context& context, const permit_wanted& wanted) {
    detail::request_permit(make_requester_context(context), wanted);
}

void handle(const reducer_context& context, const permit_returned& returned) {
    detail::send_notice(make_requester_context(context), returned.value.permit, returned.value);
}

//! Truncates a response body that is too large to store. The body stays one byte over the limit, so
//! that the owner still detects that it is too large.
void handle(const reducer_context& context, const call_ended& ended) {
    permit_outcome value = ended.value;
    if (value.outcome.body.size() > at_most_once_limits::max_stored_body_bytes) {
        value.outcome.body.resize(at_most_once_limits::max_stored_body_bytes + 1);
    }
    detail::send_notice(make_requester_context(context), value.permit, value);
}

//! Ends an overdue store call with an unknown result.
void expire_store_call(const reducer_context& context, journal_shard& shard, std::uint64_t index) {
    if (!shard.call) {
        return;
    }
    const milliseconds limit = context.env.timing.store_timeout * store_timeouts_until_unknown;
    if (context.now - shard.call->sent_at > limit) {
        const store_replied reply{shard.call->number, store_status::unknown, {}};
        detail::handle_store_reply(shard, make_shard_context(context, index), reply);
    }
}

void handle_shard_tick(const reducer_context& context, std::uint64_t index) {
    const bool is_shard_owner = is_owner(context, index);
    auto found = context.state.shards.find(index);
    if (found == context.state.shards.end()) {
        if (!is_shard_owner) {
            return;
        }
        found = context.state.shards.try_emplace(index).first;
    }
    expire_store_call(context, found->second, index);
    if (is_shard_owner) {
        detail::advance_shard(found->second, make_shard_context(context, index));
    } else if (!found->second.call) {
        detail::reset_shard(found->second, make_shard_context(context, index));
        context.state.shards.erase(found);
    }
}

void handle(const reducer_context& context, const tick& /*value*/) {
    for (std::uint64_t index = 0; index < at_most_once_limits::shard_count; ++index) {
        handle_shard_tick(context, index);
    }
    detail::handle_requester_tick(make_requester_context(context));
}

template <typename Other>
void handle(const reducer_context& /*context*/, const Other& /*value*/) {}

}  // namespace

at_most_once_state make_at_most_once() {
    return {};
}

void reduce_at_most_once(at_most_once_state& state, const environment& env,
                         const roster_state& roster, const event& happened, instant now,
                         effects& out) {
    const reducer_context context{state, env, roster, now, out};
    std::visit([&context](const auto& value) { handle(context, value); }, happened);
}

bool all_notices_confirmed(const at_most_once_state& state) {
    return state.unconfirmed.empty();
}

namespace detail {

std::uint64_t shard_of(const workspace_name& workspace, const idempotency_key& key) {
    const std::string text = workspace.value + '\0' + key.value;
    return XXH3_64bits(text.data(), text.size()) % at_most_once_limits::shard_count;
}

std::string shard_owner_key(std::uint64_t shard) {
    return "once/" + std::to_string(shard);
}

std::string journal_object(const environment& env, std::uint64_t shard) {
    return "journal/" + env.cell + '/' + std::to_string(shard);
}

}  // namespace detail

}  // namespace cyclamenmount
