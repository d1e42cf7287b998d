#include "serving/stage_schedule.h"

#include "types/numeric.h"

#include <algorithm>
#include <cmath>

namespace cyclamenmount {

namespace {

//! Part of the slack that is kept for queueing times above the reported ones; about half a call.
constexpr milliseconds slack_reserve{100};

}  // namespace

milliseconds start_slack(const stage_graph& graph, std::size_t stage, const serving_config& config,
                         const stage_wait_function& wait, instant now) {
    const stage_cost_function time_left = [&](const graph_stage& other) {
        if (is_done(other)) {
            return 0.0;
        }
        const double elapsed = other.state == stage_state::submitted
                                   ? static_cast<double>((now - other.submitted_at).count())
                                   : 0.0;
        const double total =
            static_cast<double>(wait(other).count()) + estimated_call_ms(other, config);
        return std::max(0.0, total - elapsed);
    };
    const double own_path =
        time_left(graph.stages[stage]) + longest_path_after(graph, stage, time_left);
    const double slack = longest_path(graph, time_left) - own_path;
    return to_milliseconds(std::max(0.0, slack));
}

instant latest_start(const stage_graph& graph, std::size_t stage, const serving_config& config,
                     const stage_wait_function& wait, instant now) {
    const milliseconds slack = start_slack(graph, stage, config, wait, now);
    return now + std::max(0ms, slack - slack_reserve);
}

}  // namespace cyclamenmount
