#include "coordination/shares/shares.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

refusal not_run(refusal_reason reason, std::string detail, milliseconds retry_after) {
    return refusal{reason, execution::not_run, std::move(detail), {}, retry_after};
}

workspace_share even_share(const roster_state& roster, const workspace_name& workspace,
                           const allowance& limits) {
    const auto count = static_cast<double>(std::max<std::size_t>(1, members(roster).size()));
    return {workspace, limits.requests_per_second / count,
            std::max(1, static_cast<int>(limits.concurrent / count)),
            limits.tokens_per_minute / count};
}

void fill(held_share& held, instant now) {
    const double seconds = std::chrono::duration<double>(now - held.filled_at).count();
    held.filled_at = now;
    held.request_tokens = std::min(std::max(1.0, held.share.requests_per_second),
                                   held.request_tokens + held.share.requests_per_second * seconds);
    held.output_tokens =
        std::min(held.share.tokens_per_minute,
                 held.output_tokens + held.share.tokens_per_minute * seconds / 60.0);
}

}  // namespace

shares_state make_shares() {
    return {};
}

void reduce_shares(shares_state& state, const environment& /*env*/, const roster_state& /*roster*/,
                   const documents_state& /*documents*/, const event& happened, instant /*now*/,
                   effects& /*out*/) {
    const auto* ended = std::get_if<request_ended>(&happened);
    if (ended == nullptr) {
        return;
    }
    const auto held = state.held.find(ended->workspace);
    if (held == state.held.end()) {
        return;
    }
    held->second.running = std::max(0, held->second.running - 1);
    held->second.output_tokens -= ended->tokens;
}

decided<bool> take_share(shares_state& state, const environment& env, const roster_state& roster,
                         const workspace_name& workspace, const allowance& limits, instant now) {
    auto [place, fresh] = state.held.try_emplace(workspace);
    held_share& held = place->second;
    held.share = even_share(roster, workspace, limits);
    if (fresh) {
        held.filled_at = now;
        held.request_tokens = std::max(1.0, held.share.requests_per_second);
        held.output_tokens = held.share.tokens_per_minute;
    }
    fill(held, now);
    if (held.running >= held.share.concurrent) {
        return not_run(refusal_reason::concurrency_limited, "Concurrent requests are used up.",
                       env.timing.share_period);
    }
    if (held.request_tokens < 1.0) {
        return not_run(refusal_reason::rate_limited, "Requests a second are used up.",
                       env.timing.share_period);
    }
    if (held.output_tokens <= 0) {
        return not_run(refusal_reason::tokens_limited, "Tokens a minute are used up.",
                       env.timing.share_period);
    }
    held.request_tokens -= 1.0;
    ++held.running;
    return true;
}

}  // namespace cyclamenmount
