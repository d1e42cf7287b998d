//! Runs one admitted request.
#pragma once

#include "control/client.h"
#include "pipeline/answer.h"
#include "retry_budget/retry_budget.h"
#include "upstreams/upstream_client.h"

namespace cyclamenmount {

//! What every run uses. All members outlive the run.
struct run_environment {
    const control_client& control;
    upstream_client& upstreams;
    retry_budget& budget;
    const topology& known;
    zone_name zone;
};

//! One admitted request.
struct admitted_request {
    request_id request;
    workspace_name workspace;
    int priority{1};
    fingerprint body;
    idempotency_key key;  //!< empty if the caller gave none
    instant deadline;
};

struct pipeline_input {
    std::string text;
    int max_tokens{256};
    std::vector<finished_stage> finished;  //!< stages that needn't run again
};

struct run_result {
    std::optional<refusal> refused;
    std::vector<stage_cost> costs;
    int tokens{0};
};

//! Runs all stages under one deadline and writes the answer to `sink`, its end included.
run_result run_pipeline(const run_environment& env, const pipeline_settings& pipeline,
                        const admitted_request& request, const pipeline_input& input, answer& sink);

}  // namespace cyclamenmount
