#include "coordination/once/once.h"

#include "coordination/once/internal/home.h"
#include "coordination/once/internal/runner.h"
#include "types/overloaded.h"

#include <xxhash.h>

namespace cyclamenmount {

namespace {

//! A store call whose answer never came counts as unknown after this many time limits.
constexpr int store_timeouts_until_unknown = 4;

struct once_context {
    once_state& state;
    const environment& env;
    const roster_state& roster;
    instant now;
    effects& out;
};

detail::shard_context for_shard(const once_context& context, std::uint64_t index) {
    return {context.state, context.env, context.roster, index, context.now, context.out};
}

detail::runner_context for_runner(const once_context& context) {
    return {context.state, context.env, context.roster, context.now, context.out};
}

bool may_act_for(const once_context& context, std::uint64_t index) {
    return may_act(context.roster, context.env, detail::shard_home_key(index), context.now);
}

bool is_home(const once_context& context, std::uint64_t index) {
    const auto home = home_of(context.roster, detail::shard_home_key(index));
    return home && home->id == context.env.self.id;
}

void handle_message(const once_context& context, const instance_id& from,
                    const permit_request& request) {
    const std::uint64_t index = detail::shard_of(request.workspace, request.key);
    const detail::shard_context shard_values = for_shard(context, index);
    if (!may_act_for(context, index)) {
        detail::reply_to(
            shard_values, from,
            {generation(context.roster), request.number, permit_verdict::no_home, {}, {}});
        return;
    }
    journal_shard& shard = context.state.shards[index];
    detail::handle_request(shard, shard_values, from, request);
    detail::advance_shard(shard, shard_values);
}

//! Returns and outcomes need no fence of their own: what they change is written conditionally.
template <typename Notice, typename Handler>
void handle_notice(const once_context& context, const instance_id& from, const Notice& notice,
                   Handler handler) {
    const std::uint64_t index = detail::shard_of(notice.workspace, notice.key);
    const auto found = context.state.shards.find(index);
    if (found == context.state.shards.end()) {
        return;
    }
    const detail::shard_context shard_values = for_shard(context, index);
    handler(found->second, shard_values, from, notice);
    detail::advance_shard(found->second, shard_values);
}

void handle_message(const once_context& context, const instance_id& from,
                    const permit_return& value) {
    handle_notice(context, from, value, detail::handle_return);
}

void handle_message(const once_context& context, const instance_id& from,
                    const permit_outcome& value) {
    handle_notice(context, from, value, detail::handle_outcome);
}

void handle_message(const once_context& context, const instance_id& /*from*/,
                    const permit_reply& value) {
    detail::handle_reply(for_runner(context), value);
}

template <typename Other>
void handle_message(const once_context& /*context*/, const instance_id& /*from*/,
                    const Other& /*value*/) {}

void handle(const once_context& context, const peer_message_received& received) {
    std::visit([&context, &received](
                   const auto& message) { handle_message(context, received.from, message); },
               received.message);
}

void handle(const once_context& context, const store_replied& reply) {
    if (reply.number.owner != part::once) {
        return;
    }
    for (auto& [index, shard] : context.state.shards) {
        if (shard.call && shard.call->number == reply.number) {
            detail::handle_store_reply(shard, for_shard(context, index), reply);
            return;
        }
    }
}

void handle(const once_context& context, const permit_wanted& wanted) {
    detail::ask_permit(for_runner(context), wanted);
}

void handle(const once_context& context, const permit_returned& returned) {
    detail::send_notice(for_runner(context), returned.value.permit, returned.value);
}

//! An answer that is too large to keep travels one byte too long, by which the home knows it.
void handle(const once_context& context, const call_ended& ended) {
    permit_outcome value = ended.value;
    if (value.outcome.body.size() > once_limits::body_bytes) {
        value.outcome.body.resize(once_limits::body_bytes + 1);
    }
    detail::send_notice(for_runner(context), value.permit, value);
}

void end_lost_call(const once_context& context, journal_shard& shard, std::uint64_t index) {
    if (!shard.call) {
        return;
    }
    const milliseconds limit = context.env.timing.store_timeout * store_timeouts_until_unknown;
    if (context.now - shard.call->asked_at > limit) {
        const store_replied reply{shard.call->number, store_status::unknown, {}};
        detail::handle_store_reply(shard, for_shard(context, index), reply);
    }
}

void handle_shard_tick(const once_context& context, std::uint64_t index) {
    const bool home = is_home(context, index);
    auto found = context.state.shards.find(index);
    if (found == context.state.shards.end()) {
        if (!home) {
            return;
        }
        found = context.state.shards.try_emplace(index).first;
    }
    end_lost_call(context, found->second, index);
    if (home) {
        detail::advance_shard(found->second, for_shard(context, index));
    } else if (!found->second.call) {
        detail::reset_shard(found->second, for_shard(context, index));
        context.state.shards.erase(found);
    }
}

void handle(const once_context& context, const tick& /*value*/) {
    for (std::uint64_t index = 0; index < once_limits::shards; ++index) {
        handle_shard_tick(context, index);
    }
    detail::handle_runner_tick(for_runner(context));
}

template <typename Other>
void handle(const once_context& /*context*/, const Other& /*value*/) {}

}  // namespace

once_state make_once() {
    return {};
}

void reduce_once(once_state& state, const environment& env, const roster_state& roster,
                 const event& happened, instant now, effects& out) {
    const once_context context{state, env, roster, now, out};
    std::visit([&context](const auto& value) { handle(context, value); }, happened);
}

bool is_settled(const once_state& state) {
    return state.unsettled.empty();
}

namespace detail {

std::uint64_t shard_of(const workspace_name& workspace, const idempotency_key& key) {
    const std::string text = workspace.value + '\0' + key.value;
    return XXH3_64bits(text.data(), text.size()) % once_limits::shards;
}

std::string shard_home_key(std::uint64_t shard) {
    return "once/" + std::to_string(shard);
}

std::string journal_object(const environment& env, std::uint64_t shard) {
    return "journal/" + env.cell + '/' + std::to_string(shard);
}

}  // namespace detail

}  // namespace cyclamenmount
