#include "pipeline/pipeline.h"

#include "pipeline/internal/stage_run.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

using detail::stage_outcome;
using detail::stage_run;
using detail::stage_spec;

constexpr std::size_t max_reported_output_bytes = std::size_t{64} * 1024;

//! State of a request between its stages.
struct progress {
    std::string text;       //!< input for the next stage
    bool sent{false};       //!< a stage may have reached an upstream
    bool completed{false};  //!< at least one stage has completed
    run_result result;
};

execution execution_of(const progress& so_far) {
    if (so_far.completed) {
        return execution::ran;
    }
    return so_far.sent ? execution::may_have_run : execution::not_run;
}

const finished_stage* find_finished(const pipeline_input& input, const stage_name& stage) {
    const auto found = std::ranges::find(input.finished, stage, &finished_stage::stage);
    return found == input.finished.end() ? nullptr : &*found;
}

void report_finished_stage(const run_environment& env, const admitted_request& request,
                           const stage_name& stage, const std::string& output) {
    if (request.key.empty() || output.size() > max_reported_output_bytes) {
        return;
    }
    env.control.post(
        stage_finished{{request.workspace, request.key, request.request, {stage, output}}});
}

void run_one_stage(const run_environment& env, const admitted_request& request,
                   const stage_settings& stage, int max_tokens, bool is_last, progress& so_far,
                   response_stream& sink) {
    const auto pool = env.known.pools.find(stage.pool);
    if (pool == env.known.pools.end()) {
        so_far.result.refused =
            refusal{refusal_reason::internal, {}, "the stage's pool is unknown", {}, {}};
        return;
    }
    const pool_kind kind = pool->second.kind;
    const bool streams = is_last && kind == pool_kind::engine;
    const auto on_token = [&sink, streams](std::string_view text) {
        if (streams) {
            sink.add_token(text);
        }
    };
    stage_spec wanted{stage.name, stage.pool, kind, so_far.text, max_tokens};
    stage_run run(env, request, std::move(wanted), on_token, [&sink] { return sink.abandoned(); });
    stage_outcome outcome = run.run();
    so_far.sent = so_far.sent || outcome.sent;
    so_far.result.refused = std::move(outcome.refused);
    so_far.result.tokens += outcome.cost.tokens;
    so_far.result.costs.push_back(std::move(outcome.cost));
    if (so_far.result.refused) {
        return;
    }
    so_far.completed = true;
    so_far.text = std::move(outcome.output);
    if (is_last && !streams) {
        sink.add_token(so_far.text);
    }
}

}  // namespace

run_result run_pipeline(const run_environment& env, const pipeline_settings& pipeline,
                        const admitted_request& request, const pipeline_input& input,
                        response_stream& sink) {
    env.budget.earn(boot_clock::now());
    progress so_far;
    so_far.text = input.text;
    for (const stage_settings& stage : pipeline.stages) {
        const bool is_last = &stage == &pipeline.stages.back();
        const finished_stage* finished = is_last ? nullptr : find_finished(input, stage.name);
        if (finished != nullptr) {
            so_far.text = finished->output;
            so_far.completed = true;
            continue;
        }
        run_one_stage(env, request, stage, input.max_tokens, is_last, so_far, sink);
        if (so_far.result.refused) {
            break;
        }
        if (!is_last) {
            report_finished_stage(env, request, stage.name, so_far.text);
        }
    }
    if (so_far.result.refused) {
        refusal& refused = *so_far.result.refused;
        refused.state = std::max(refused.state, execution_of(so_far));
        sink.fail(*so_far.result.refused);
    } else {
        sink.finish(so_far.result.costs);
    }
    return std::move(so_far.result);
}

}  // namespace cyclamenmount
