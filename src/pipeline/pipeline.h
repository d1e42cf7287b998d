//! Runs the stages of one admitted pipeline request.
#pragma once

#include "control/client.h"
#include "pipeline/response_stream.h"
#include "retry_budget/retry_budget.h"
#include "upstreams/upstream_client.h"

namespace cyclamenmount {

//! Dependencies shared by all runs. The referenced objects must outlive the run.
struct run_environment {
    const control_client& control;
    upstream_client& upstreams;
    retry_budget& budget;
    const topology& known;  //!< configured pools and pipelines
    zone_name zone;         //!< availability zone of this instance
};

//! A request that has passed admission.
struct admitted_request {
    request_id request;
    workspace_name workspace;
    int priority{1};
    fingerprint body;
    idempotency_key key;  //!< empty if the caller sent none
    instant deadline;
};

struct pipeline_input {
    std::string text;
    int max_tokens{256};
    std::vector<finished_stage> finished;  //!< outputs of stages that need not run again
};

struct run_result {
    std::optional<refusal> refused;
    std::vector<stage_cost> costs;
    int tokens{0};
};

//! Runs all stages in order under one deadline and writes the whole response to `sink`, including
//! its final or error frame.
run_result run_pipeline(const run_environment& env, const pipeline_settings& pipeline,
                        const admitted_request& request, const pipeline_input& input,
                        response_stream& sink);

}  // namespace cyclamenmount
