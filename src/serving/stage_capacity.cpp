#include "serving/stage_capacity.h"

#include <algorithm>
#include <cmath>

namespace cyclamenmount {

namespace {

//! Speed of the fastest upstreams, as a multiple of the nominal one.
constexpr double max_speed = 2;
constexpr double min_call_ms = 1;
//! Upstreams that a pool is assumed to have at least: it may have lost some for a while.
constexpr std::size_t min_pool_size = 8;

}  // namespace

int max_pieces(const stage_limits& limits, std::size_t upstreams, milliseconds time) {
    if (time <= 0ms) {
        return 0;
    }
    const double call_ms =
        std::max(limits.call_ms + limits.piece_ms * limits.batch, min_call_ms) / max_speed;
    // The last call may have fewer pieces, and so end in time where a full one wouldn't.
    const double calls = std::floor(static_cast<double>(time.count()) / call_ms) + 1;
    const double pieces = calls * limits.batch * static_cast<double>(upstreams);
    return static_cast<int>(std::min(pieces, static_cast<double>(max_stage_pieces)));
}

std::optional<std::size_t> find_oversized_stage(const stage_graph& graph, const fleet_view& view,
                                                milliseconds time) {
    for (std::size_t i = 0; i < graph.stages.size(); ++i) {
        const graph_stage& stage = graph.stages[i];
        const auto limits = view.config->pools.find(stage.pool);
        if (limits == view.config->pools.end() || !limits->second.stage) {
            continue;
        }
        const auto pool = view.pools.find(stage.pool);
        const std::size_t known = pool == view.pools.end() ? 0 : pool->second.size();
        if (stage.pieces >
            max_pieces(*limits->second.stage, std::max(known, min_pool_size), time)) {
            return i;
        }
    }
    return std::nullopt;
}

}  // namespace cyclamenmount
