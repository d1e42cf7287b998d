//! Runs one idempotent stage: attempts, repeats, hedges, resumed streams.
#pragma once

#include "pipeline/pipeline.h"

#include <map>

namespace cyclamenmount::detail {

struct stage_wanted {
    stage_name stage;  //!< of a service the operation
    pool_name pool;
    pool_kind kind{pool_kind::stage};
    std::string_view input;
    int max_tokens{0};
};

struct stage_outcome {
    std::optional<refusal> refused;
    std::string output;
    stage_cost cost;
    bool sent{false};  //!< something may have reached an upstream
};

//! Called with each new token of a stream, once and in order.
using token_sink = std::function<void(std::string_view text)>;

//! Runs on the calling thread until the stage has ended one way or the other.
class stage_run {
public:
    stage_run(const run_environment& env, const admitted_request& request, stage_wanted wanted,
              token_sink on_token, std::function<bool()> abandoned);

    stage_outcome run();

private:
    struct live_attempt {
        upstream_id upstream;
        zone_name zone;
        instant started;
        instant last_token_at;        //!< `instant{}` before the first
        milliseconds hedge_after{0};  //!< 0: no hedge
        bool is_hedge{false};
        int next_index{0};
        bool used{false};  //!< some of its output is part of the answer
    };

    void step();
    void start_first();
    void start_hedge_if_due();
    static bool hedge_is_due(const live_attempt& first, instant now);
    bool start(bool is_hedge, milliseconds limit);
    std::optional<refusal> acquire_refused(refusal told);
    attempt_wanted question(bool is_hedge) const;
    attempt_call call_for(const attempt_wanted& asked, const attempt_grant& grant) const;

    void move_cancelled();
    void take(attempt_news& news);
    void take_tokens(const attempt_id& attempt, live_attempt& from,
                     const std::vector<received_token>& tokens);
    void take_end(const attempt_id& attempt, live_attempt from, attempt_result& ended);
    void succeed(const live_attempt& from, attempt_result& ended);
    void after_failure(const live_attempt& from, const attempt_result& ended);
    void drop(const attempt_id& attempt);
    void drop_others(const attempt_id& winner);
    void give_up(refusal_reason reason, std::string detail);

    [[nodiscard]] milliseconds time_left() const;

    const run_environment& env_;
    const admitted_request& request_;
    stage_wanted wanted_;
    token_sink on_token_;
    std::function<bool()> abandoned_;
    attempt_group group_;
    std::map<attempt_id, live_attempt> live_;
    std::vector<upstream_id> tried_;
    std::vector<std::string> tokens_;
    stage_outcome outcome_;
    bool ended_{false};
    bool repeating_{false};  //!< the next attempt repeats one that failed
    int attempts_asked_{0};
    int free_repeats_{0};
};

}  // namespace cyclamenmount::detail
