#include "pipeline/internal/stage_run.h"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenmount::detail {

namespace {

constexpr auto poll_period = 20ms;
constexpr auto hedge_question_limit = 20ms;
constexpr auto shortest_hedge_delay = 10ms;
constexpr auto pause_before_retried_upstream = 20ms;
constexpr int most_free_repeats = 4;
constexpr int most_attempts = 64;
constexpr std::size_t prefix_bytes = 256;

std::uint64_t prefix_hash(std::string_view text) {
    const std::string_view prefix = text.substr(0, prefix_bytes);
    return XXH3_64bits(prefix.data(), prefix.size()) | 1U;
}

}  // namespace

stage_run::stage_run(const run_environment& env, const admitted_request& request,
                     stage_wanted wanted, token_sink on_token, std::function<bool()> abandoned)
    : env_(env), request_(request), wanted_(std::move(wanted)), on_token_(std::move(on_token)),
      abandoned_(std::move(abandoned)), group_(env.upstreams) {
    outcome_.cost.stage = wanted_.stage;
    outcome_.cost.pool = wanted_.pool;
}

stage_outcome stage_run::run() {
    while (!ended_) {
        step();
    }
    drop_others({});
    return std::move(outcome_);
}

void stage_run::step() {
    if (time_left() <= 0ms) {
        give_up(refusal_reason::deadline_exceeded,
                "the deadline passed in stage " + wanted_.stage.value);
        return;
    }
    if (abandoned_()) {
        give_up(refusal_reason::deadline_exceeded, "the caller has gone");
        return;
    }
    if (live_.empty()) {
        start_first();
        return;
    }
    start_hedge_if_due();
    for (attempt_news& news : group_.wait(poll_period)) {
        take(news);
    }
    move_cancelled();
}

milliseconds stage_run::time_left() const {
    return request_.deadline - boot_clock::now();
}

attempt_wanted stage_run::question(bool is_hedge) const {
    attempt_wanted asked;
    asked.number = env_.control.next_ticket();
    asked.attempt.value =
        request_.request.value + "." + wanted_.stage.value + "." + std::to_string(attempts_asked_);
    asked.request = request_.request;
    asked.body = request_.body;
    asked.pool = wanted_.pool;
    asked.workspace = request_.workspace;
    asked.stage = wanted_.stage;
    asked.priority = request_.priority;
    asked.excluded = tried_;
    asked.time_left = time_left();
    asked.restartable = true;
    if (wanted_.kind == pool_kind::engine) {
        asked.prefix_hash = prefix_hash(wanted_.input);
    }
    if (is_hedge) {
        for (const auto& [attempt, other] : live_) {
            asked.excluded.push_back(other.upstream);
        }
    }
    return asked;
}

attempt_call stage_run::call_for(const attempt_wanted& asked, const attempt_grant& grant) const {
    attempt_call call;
    call.attempt = asked.attempt;
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

void stage_run::start_first() {
    if (attempts_asked_ >= most_attempts) {
        give_up(refusal_reason::upstream_failed, "too many attempts");
        return;
    }
    start(false, time_left());
}

bool stage_run::start(bool is_hedge, milliseconds limit) {
    attempts_asked_ += 1;
    const attempt_wanted asked = question(is_hedge);
    const decided<attempt_grant> decision = env_.control.acquire(asked, limit);
    if (!decision) {
        if (!is_hedge) {
            acquire_refused(decision.error());
        }
        return false;
    }
    const attempt_grant& grant = decision.value();
    grant_guard guard(env_.control.post, asked.attempt, grant.upstream);
    live_attempt started{grant.upstream, grant.zone, boot_clock::now()};
    started.is_hedge = is_hedge;
    started.next_index = static_cast<int>(tokens_.size());
    if (grant.expected_first_byte > 0ms) {
        started.hedge_after =
            std::max<milliseconds>(grant.expected_first_byte, shortest_hedge_delay);
    }
    live_.emplace(asked.attempt, started);
    group_.add(call_for(asked, grant), std::move(guard));
    outcome_.cost.attempts += 1;
    outcome_.cost.hedges += is_hedge ? 1 : 0;
    outcome_.cost.repeats += !is_hedge && repeating_ ? 1 : 0;
    repeating_ = false;
    return true;
}

std::optional<refusal> stage_run::acquire_refused(refusal told) {
    const bool for_want_of_others = told.reason == refusal_reason::no_upstream && !tried_.empty();
    if (for_want_of_others && time_left() > pause_before_retried_upstream) {
        tried_.clear();
        group_.wait(pause_before_retried_upstream);
        return std::nullopt;
    }
    ended_ = true;
    outcome_.refused = std::move(told);
    return outcome_.refused;
}

void stage_run::start_hedge_if_due() {
    if (live_.size() != 1) {
        return;
    }
    live_attempt& first = live_.begin()->second;
    const instant now = boot_clock::now();
    if (first.hedge_after == 0ms || first.used || now < first.started + first.hedge_after) {
        return;
    }
    first.hedge_after = 0ms;
    if (!env_.budget.spend(now)) {
        return;
    }
    if (!start(true, hedge_question_limit)) {
        env_.budget.refund();
    }
}

void stage_run::move_cancelled() {
    std::vector<attempt_id> wanted;
    for (const auto& [attempt, value] : live_) {
        if (env_.control.is_cancelled(attempt)) {
            wanted.push_back(attempt);
        }
    }
    for (const attempt_id& attempt : wanted) {
        tried_.push_back(live_.at(attempt).upstream);
        drop(attempt);
    }
}

void stage_run::take(attempt_news& news) {
    const auto found = live_.find(news.attempt);
    if (found == live_.end() || ended_) {
        ++env_.upstreams.counters().late;
        return;
    }
    take_tokens(news.attempt, found->second, news.tokens);
    if (news.end && live_.contains(news.attempt)) {
        const live_attempt from = live_.at(news.attempt);
        live_.erase(news.attempt);
        take_end(news.attempt, from, *news.end);
    }
}

void stage_run::take_tokens(const attempt_id& attempt, live_attempt& from,
                            const std::vector<received_token>& tokens) {
    bool won = false;
    for (const received_token& token : tokens) {
        const auto index = static_cast<std::size_t>(token.index);
        from.next_index = token.index + 1;
        if (index < tokens_.size()) {
            continue;  // another attempt was first
        }
        tokens_.push_back(token.text);
        on_token_(token.text);
        won = true;
    }
    if (won) {
        from.used = true;
        drop_others(attempt);
    }
}

void stage_run::take_end(const attempt_id& attempt, live_attempt from, attempt_result& ended) {
    outcome_.sent = outcome_.sent || ended.sent;
    const bool whole =
        wanted_.kind != pool_kind::engine || from.next_index == static_cast<int>(tokens_.size());
    if (ended.outcome == attempt_outcome::ok && whole) {
        drop_others(attempt);
        succeed(from, ended);
        return;
    }
    if (from.used) {
        outcome_.cost.busy += std::max(ended.busy, ended.took);
    } else if (ended.sent && ended.outcome != attempt_outcome::refused) {
        outcome_.cost.wasted += std::max(ended.busy, ended.took);
    }
    if (live_.empty()) {
        after_failure(from, ended);
    } else {
        tried_.push_back(from.upstream);
    }
}

void stage_run::succeed(const live_attempt& from, attempt_result& ended) {
    outcome_.cost.busy += ended.busy;
    outcome_.cost.other_zone = from.zone != env_.zone;
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

void stage_run::after_failure(const live_attempt& from, const attempt_result& ended) {
    if (ended.outcome == attempt_outcome::not_started) {
        return;  // the next step asks anew
    }
    if (ended.fault == attempt_fault::deadline_passed) {
        return;  // the next step ends the stage
    }
    tried_.push_back(from.upstream);
    repeating_ = true;
    if (ended.outcome == attempt_outcome::refused && free_repeats_ < most_free_repeats) {
        free_repeats_ += 1;
        return;
    }
    if (!env_.budget.spend(boot_clock::now())) {
        give_up(refusal_reason::upstream_failed,
                "stage " + wanted_.stage.value + ": " + name_of(ended.fault));
    }
}

void stage_run::drop(const attempt_id& attempt) {
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

void stage_run::drop_others(const attempt_id& winner) {
    std::vector<attempt_id> others;
    for (const auto& [attempt, value] : live_) {
        if (attempt != winner) {
            others.push_back(attempt);
        }
    }
    for (const attempt_id& attempt : others) {
        drop(attempt);
    }
}

void stage_run::give_up(refusal_reason reason, std::string detail) {
    refusal refused;
    refused.reason = reason;
    refused.detail = std::move(detail);
    outcome_.refused = std::move(refused);
    ended_ = true;
}

}  // namespace cyclamenmount::detail
