//! Shares of workspaces in the work of a pool.
#pragma once

#include "packing/packer.h"

namespace cyclamenmount::detail {

//! Work of some pieces of a job in full calls: their part of a call or of an upstream's memory for
//! results, whichever is larger.
double work_of(const stage_limits& limits, const stage_job& job, int pieces);

//! Marks the waiting jobs that are beyond the shares of their workspaces. Jobs without a workspace
//! aren't marked.
void mark_jobs_beyond_share(packer& state, instant now);

//! True if a job submitted now is beyond the share of its workspace. Renews old marks first.
bool would_be_beyond_share(packer& state, const stage_job& job, instant now);

}  // namespace cyclamenmount::detail
