#include "pipeline/internal/stage_run.h"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenmount::detail {

namespace {

constexpr auto poll_period = 20ms;
constexpr auto hedge_grant_timeout = 20ms;
constexpr auto min_hedge_delay = 10ms;
constexpr auto stream_stall_before_hedge = 500ms;  //!< pause between tokens that starts a hedge
constexpr auto pause_before_reusing_upstreams = 20ms;
constexpr int max_free_repeats = 4;
constexpr int max_attempts = 64;
constexpr std::size_t prefix_bytes = 256;

std::uint64_t prefix_hash(std::string_view text) {
    const std::string_view prefix = text.substr(0, prefix_bytes);
    return XXH3_64bits(prefix.data(), prefix.size()) | 1U;
}

}  // namespace

stage_run::stage_run(const run_environment& env, const admitted_request& request, stage_spec wanted,
                     token_sink on_token, std::function<bool()> abandoned)
    : env_(env), request_(request), wanted_(std::move(wanted)), on_token_(std::move(on_token)),
      abandoned_(std::move(abandoned)), group_(env.upstreams) {
    outcome_.cost.stage = wanted_.stage;
    outcome_.cost.pool = wanted_.pool;
}

stage_outcome stage_run::run() {
    while (!ended_) {
        step();
    }
    cancel_others({});
    return std::move(outcome_);
}

void stage_run::step() {
    if (time_left() <= 0ms) {
        fail(refusal_reason::deadline_exceeded,
             "the deadline passed in stage " + wanted_.stage.value);
        return;
    }
    if (abandoned_()) {
        fail(refusal_reason::deadline_exceeded, "the caller is gone: connection closed");
        return;
    }
    if (live_.empty()) {
        start_primary();
        return;
    }
    start_hedge_if_due();
    for (attempt_update& update : group_.wait(poll_period)) {
        handle_update(update);
    }
    stop_cancelled_attempts();
}

milliseconds stage_run::time_left() const {
    return request_.deadline - boot_clock::now();
}

attempt_wanted stage_run::make_attempt_request(bool is_hedge) const {
    attempt_wanted wanted;
    wanted.number = env_.control.next_ticket();
    wanted.attempt.value = request_.request.value + "." + wanted_.stage.value + "." +
                           std::to_string(attempts_requested_);
    wanted.request = request_.request;
    wanted.body = request_.body;
    wanted.pool = wanted_.pool;
    wanted.workspace = request_.workspace;
    wanted.stage = wanted_.stage;
    wanted.priority = request_.priority;
    wanted.excluded = tried_;
    wanted.time_left = time_left();
    wanted.restartable = true;
    if (wanted_.kind == pool_kind::engine) {
        wanted.prefix_hash = prefix_hash(wanted_.input);
    }
    if (is_hedge) {
        for (const auto& [attempt, other] : live_) {
            wanted.excluded.push_back(other.upstream);
        }
    }
    return wanted;
}

attempt_call stage_run::make_call(const attempt_wanted& wanted, const attempt_grant& grant) const {
    attempt_call call;
    call.attempt = wanted.attempt;
    call.request = request_.request;
    call.stage = wanted_.stage;
    call.workspace = request_.workspace;
    call.priority = request_.priority;
    call.from_zone = env_.zone;
    call.upstream = grant.upstream;
    call.address = grant.address;
    call.kind = wanted_.kind;
    call.input = wanted_.input;
    call.max_tokens = wanted_.max_tokens;
    call.resume_from = static_cast<int>(tokens_.size());
    call.start_before = grant.start_before;
    call.deadline = request_.deadline;
    return call;
}

void stage_run::start_primary() {
    if (attempts_requested_ >= max_attempts) {
        fail(refusal_reason::upstream_failed, "the limit of attempts is reached");
        return;
    }
    start_attempt(false, time_left());
}

bool stage_run::start_attempt(bool is_hedge, milliseconds limit) {
    attempts_requested_ += 1;
    const attempt_wanted wanted = make_attempt_request(is_hedge);
    const decided<attempt_grant> decision = env_.control.acquire(wanted, limit);
    if (!decision) {
        if (!is_hedge) {
            handle_refusal(decision.error());
        }
        return false;
    }
    const attempt_grant& grant = decision.value();
    grant_guard guard(env_.control.post, wanted.attempt, grant.upstream);
    live_attempt started{grant.upstream, grant.zone, boot_clock::now(), {}};
    started.is_hedge = is_hedge;
    started.next_index = static_cast<int>(tokens_.size());
    if (grant.expected_first_byte > 0ms) {
        started.hedge_after = std::max<milliseconds>(grant.expected_first_byte, min_hedge_delay);
    }
    live_.emplace(wanted.attempt, started);
    group_.add(make_call(wanted, grant), std::move(guard));
    outcome_.cost.attempts += 1;
    outcome_.cost.hedges += is_hedge ? 1 : 0;
    outcome_.cost.repeats += !is_hedge && repeating_ ? 1 : 0;
    repeating_ = false;
    return true;
}

std::optional<refusal> stage_run::handle_refusal(refusal refused) {
    const bool all_others_tried = refused.reason == refusal_reason::no_upstream && !tried_.empty();
    if (all_others_tried && time_left() > pause_before_reusing_upstreams) {
        tried_.clear();
        group_.wait(pause_before_reusing_upstreams);
        return std::nullopt;
    }
    ended_ = true;
    outcome_.refused = std::move(refused);
    return outcome_.refused;
}

bool stage_run::hedge_is_due(const live_attempt& first, instant now) {
    if (first.hedge_after == 0ms) {
        return false;
    }
    return first.last_token_at == instant{}
               ? now >= first.started + first.hedge_after
               : now >= first.last_token_at + stream_stall_before_hedge;
}

void stage_run::start_hedge_if_due() {
    if (live_.size() != 1) {
        return;
    }
    live_attempt& first = live_.begin()->second;
    const instant now = boot_clock::now();
    if (!hedge_is_due(first, now)) {
        return;
    }
    first.hedge_after = 0ms;
    if (!env_.budget.spend(now)) {
        return;
    }
    if (!start_attempt(true, hedge_grant_timeout)) {
        env_.budget.refund();
    }
}

void stage_run::stop_cancelled_attempts() {
    std::vector<attempt_id> cancelled;
    for (const auto& [attempt, value] : live_) {
        if (env_.control.is_cancelled(attempt)) {
            cancelled.push_back(attempt);
        }
    }
    for (const attempt_id& attempt : cancelled) {
        tried_.push_back(live_.at(attempt).upstream);
        cancel_attempt(attempt);
    }
}

void stage_run::handle_update(attempt_update& update) {
    const auto found = live_.find(update.attempt);
    if (found == live_.end() || ended_) {
        ++env_.upstreams.counters().late;
        return;
    }
    if (!update.tokens.empty()) {
        handle_tokens(update.attempt, found->second, update.tokens);
    }
    if (update.end && live_.contains(update.attempt)) {
        const live_attempt source = live_.at(update.attempt);
        live_.erase(update.attempt);
        handle_end(update.attempt, source, *update.end);
    }
}

void stage_run::handle_tokens(const attempt_id& attempt, live_attempt& source,
                              const std::vector<received_token>& tokens) {
    bool has_new_tokens = false;
    source.last_token_at = boot_clock::now();
    for (const received_token& token : tokens) {
        const auto index = static_cast<std::size_t>(token.index);
        source.next_index = token.index + 1;
        if (index < tokens_.size()) {
            continue;  // already received from another attempt
        }
        tokens_.push_back(token.text);
        on_token_(token.text);
        has_new_tokens = true;
    }
    if (has_new_tokens) {
        source.used = true;
        cancel_others(attempt);
    }
}

void stage_run::handle_end(const attempt_id& attempt, live_attempt source, attempt_result& ended) {
    outcome_.sent = outcome_.sent || ended.sent;
    const bool is_complete =
        wanted_.kind != pool_kind::engine || source.next_index == static_cast<int>(tokens_.size());
    if (ended.outcome == attempt_outcome::ok && is_complete) {
        cancel_others(attempt);
        complete(source, ended);
        return;
    }
    if (source.used) {
        outcome_.cost.busy += std::max(ended.busy, ended.took);
    } else if (ended.sent && ended.outcome != attempt_outcome::refused) {
        outcome_.cost.wasted += std::max(ended.busy, ended.took);
    }
    if (live_.empty()) {
        handle_failure(source, ended);
    } else {
        tried_.push_back(source.upstream);
    }
}

void stage_run::complete(const live_attempt& source, attempt_result& ended) {
    outcome_.cost.busy += ended.busy;
    outcome_.cost.other_zone = source.zone != env_.zone;
    outcome_.cost.tokens = static_cast<int>(tokens_.size());
    if (wanted_.kind == pool_kind::engine) {
        for (const std::string& token : tokens_) {
            outcome_.output += token;
        }
    } else {
        outcome_.output = std::move(ended.output);
    }
    ended_ = true;
}

void stage_run::handle_failure(const live_attempt& source, const attempt_result& ended) {
    if (ended.outcome == attempt_outcome::not_started) {
        return;  // the next step requests a new grant
    }
    if (ended.fault == attempt_fault::deadline_passed) {
        return;  // the next step fails the stage
    }
    tried_.push_back(source.upstream);
    repeating_ = true;
    if (ended.outcome == attempt_outcome::refused && free_repeats_ < max_free_repeats) {
        free_repeats_ += 1;
        return;
    }
    if (!env_.budget.spend(boot_clock::now())) {
        fail(refusal_reason::upstream_failed,
             "stage " + wanted_.stage.value + ": " + name_of(ended.fault));
    }
}

void stage_run::cancel_attempt(const attempt_id& attempt) {
    const auto found = live_.find(attempt);
    if (found == live_.end()) {
        return;
    }
    const bool used = found->second.used;
    live_.erase(found);
    const std::optional<attempt_result> ended = group_.cancel(attempt);
    if (ended && ended->sent) {
        outcome_.sent = true;
        (used ? outcome_.cost.busy : outcome_.cost.wasted) += ended->took;
    }
}

void stage_run::cancel_others(const attempt_id& winner) {
    std::vector<attempt_id> others;
    for (const auto& [attempt, value] : live_) {
        if (attempt != winner) {
            others.push_back(attempt);
        }
    }
    for (const attempt_id& attempt : others) {
        cancel_attempt(attempt);
    }
}

void stage_run::fail(refusal_reason reason, std::string detail) {
    refusal refused;
    refused.reason = reason;
    refused.detail = std::move(detail);
    outcome_.refused = std::move(refused);
    ended_ = true;
}

}  // namespace cyclamenmount::detail
