#include "packing/internal/job_shares.h"

#include "packing/internal/selection.h"

#include <algorithm>
#include <cmath>

namespace cyclamenmount::detail {

namespace {

//! Age at which marks are renewed for a submission. Jobs come at up to some hundreds a second, and
//! marking sorts all that wait.
constexpr milliseconds max_mark_age{10};

//! Work that the next calls can take: a full call for each usable upstream, or as much of one as
//! its free memory holds.
double room_of(const packer& state, instant now) {
    const auto capacity = static_cast<double>(result_capacity(state));
    double room = 0;
    for (const auto& [id, upstream] : state.upstreams) {
        if (is_usable(upstream, now)) {
            const auto held = static_cast<double>(held_bytes(state, upstream));
            room += capacity > 0 ? std::clamp(1 - held / capacity, 0.0, 1.0) : 1;
        }
    }
    return room;
}

}  // namespace

double work_of(const stage_limits& limits, const stage_job& job, int pieces) {
    const double call_part = 1.0 / std::max(limits.batch, 1);
    const auto capacity = static_cast<double>(result_capacity(limits));
    const double memory_part =
        capacity > 0 ? std::min(1.0, static_cast<double>(job.result_bytes) / capacity) : 0;
    return pieces * std::max(call_part, memory_part);
}

void mark_jobs_beyond_share(packer& state, instant now) {
    state.shares_marked_at = now;
    std::map<workspace_name, double> waiting;
    for (auto& [id, open] : state.jobs) {
        open.is_beyond_share = false;
        const int pieces = open.job.workspace.empty() ? 0 : count_waiting_pieces(open);
        if (pieces > 0) {
            waiting[open.job.workspace] += work_of(state.limits, open.job, pieces);
        }
    }
    if (waiting.empty() && state.shares.accounts.empty()) {
        return;
    }
    update_shares(state.shares, waiting, room_of(state, now), now);
    if (!std::isfinite(state.shares.level)) {
        return;
    }
    std::map<workspace_name, double> before;
    for (const open_job* const open : rank_jobs(state, now).jobs) {
        const stage_job& job = open->job;
        if (job.workspace.empty()) {
            continue;
        }
        double& own_before = before[job.workspace];
        const bool is_beyond =
            !is_started(*open) && is_beyond_share(state.shares, job.workspace, own_before, now);
        own_before += work_of(state.limits, job, count_waiting_pieces(*open));
        state.jobs.at(job.id).is_beyond_share = is_beyond;
    }
}

bool would_be_beyond_share(packer& state, const stage_job& job, instant now) {
    if (job.workspace.empty()) {
        return false;
    }
    if (now - state.shares_marked_at >= max_mark_age) {
        mark_jobs_beyond_share(state, now);
    }
    return std::isfinite(state.shares.level) &&
           is_beyond_share(state.shares, job.workspace, work_before_in_workspace(state, job, now),
                           now);
}

}  // namespace cyclamenmount::detail
