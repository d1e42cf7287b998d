//! Runs one idempotent stage with retries, hedging and resumption of token streams.
#pragma once

#include "pipeline/pipeline.h"

#include <map>

namespace cyclamenmount::detail {

struct stage_spec {
    stage_name stage;  //!< the operation if the pool is a service
    pool_name pool;
    pool_kind kind{pool_kind::stage};
    std::string_view input;
    int max_tokens{0};
};

struct stage_outcome {
    std::optional<refusal> refused;
    std::string output;
    stage_cost cost;
    bool sent{false};  //!< at least one attempt may have reached an upstream
};

//! Called exactly once for each token of the stream, in order.
using token_sink = std::function<void(std::string_view text)>;

//! Runs on the calling thread until the stage has completed or failed.
class stage_run {
public:
    stage_run(const run_environment& env, const admitted_request& request, stage_spec wanted,
              token_sink on_token, std::function<bool()> abandoned);

    stage_outcome run();

private:
    //! An attempt that is running at an upstream.
    struct live_attempt {
        upstream_id upstream;
        zone_name zone;
        instant started;
        instant last_token_at;  //!< `instant{}` before the first token
        //! Time without a first token after which a hedge starts; 0: never hedged, also not if
        //! stalled.
        milliseconds hedge_after{0};
        bool is_hedge{false};
        int next_index{0};  //!< index of the next token expected
        bool used{false};   //!< some of its tokens are part of the response
    };

    //! Starts an attempt if none is running, else handles the attempts' updates.
    void step();
    void start_primary();
    void start_hedge_if_due();
    static bool hedge_is_due(const live_attempt& first, instant now);
    //! Waits up to `limit` for a grant. Returns false without one; a refused hedge isn't an error.
    bool start_attempt(bool is_hedge, milliseconds limit);
    //! Ends the stage with `refused`, unless the upstreams tried before can be tried again.
    std::optional<refusal> handle_refusal(refusal refused);
    attempt_wanted make_attempt_request(bool is_hedge) const;
    attempt_call make_call(const attempt_wanted& wanted, const attempt_grant& grant) const;

    //! Cancels the attempts that the control loop wants to run at another upstream.
    void stop_cancelled_attempts();
    void handle_update(attempt_update& update);
    void handle_tokens(const attempt_id& attempt, live_attempt& source,
                       const std::vector<received_token>& tokens);
    void handle_end(const attempt_id& attempt, live_attempt source, attempt_result& ended);
    void complete(const live_attempt& source, attempt_result& ended);
    void handle_failure(const live_attempt& source, const attempt_result& ended);
    void cancel_attempt(const attempt_id& attempt);
    void cancel_others(const attempt_id& winner);
    void fail(refusal_reason reason, std::string detail);

    [[nodiscard]] milliseconds time_left() const;

    const run_environment& env_;
    const admitted_request& request_;
    stage_spec wanted_;
    token_sink on_token_;
    std::function<bool()> abandoned_;
    attempt_group group_;
    std::map<attempt_id, live_attempt> live_;
    std::vector<upstream_id> tried_;   //!< excluded from further attempts
    std::vector<std::string> tokens_;  //!< tokens accepted so far, by index
    stage_outcome outcome_;
    bool ended_{false};
    bool repeating_{false};  //!< the next attempt is a retry of a failed one
    int attempts_requested_{0};
    int free_repeats_{0};  //!< retries that took no token from the retry budget
};

}  // namespace cyclamenmount::detail
