//! Selects the pieces for the next call of an upstream and forecasts when jobs are completed.
#pragma once

#include "packing/packer.h"

namespace cyclamenmount::detail {

//! Longest backoff of an upstream after failed calls; also the wait that is reported while no
//! upstream is usable.
inline constexpr milliseconds max_backoff{2000};

//! Nominal duration of a call with this many pieces, from the limits of the pool.
milliseconds call_duration(const stage_limits& limits, int pieces);

//! Expected duration of a call at one upstream: the nominal duration times its slowdown factor.
milliseconds call_duration_at(const packer& state, const packer_upstream& upstream, int pieces);

//! Expected ratio of the time between two full calls of one upstream to the nominal duration of a
//! call: its slowdown factor, or more if its request rate is limited.
double effective_slowdown(const packer& state, const packer_upstream& upstream);

//! False while the upstream is backed off after a failure, wants no requests or leaves.
bool is_usable(const packer_upstream& upstream, instant now);

//! Bytes of results allocated at one upstream; below its memory, since result sizes are
//! approximate.
std::uint64_t result_capacity(const stage_limits& limits);
std::uint64_t result_capacity(const packer& state);

//! Bytes held at an upstream by results of this packer, including those of its call in progress.
std::uint64_t held_bytes(const packer& state, const packer_upstream& upstream);

//! Part of the pool's capacity that on-time jobs take, by the recent rate of their arrival.
double utilization(const packer& state, instant now);

//! Adds a job to the rate of arrival of on-time jobs.
void record_arrival(packer& state, const stage_job& job, instant now);

//! Jobs with waiting pieces, sorted by decreasing urgency.
struct job_queue {
    std::vector<const open_job*> jobs;
    int waiting_pieces{0};  //!< total of all jobs in the queue
};

job_queue rank_jobs(const packer& state, instant now);

//! Pieces for a call to `upstream` that starts now; empty if the upstream should stay idle.
std::vector<called_piece> select_pieces(const packer& state, const packer_upstream& upstream,
                                        const job_queue& queue, instant now);

//! Expected completion time of a job submitted now, after all more urgent jobs.
instant expected_end(const packer& state, const stage_job& job, bool is_beyond_share, instant now);

//! Work of the waiting jobs of the same workspace that rank before the job, in full calls.
double work_before_in_workspace(const packer& state, const stage_job& job, instant now);

//! Expected completion time of a job that has missed its soft deadline, from the time at which all
//! work ahead of it now would be completed. On-time jobs that arrive later go before it.
instant late_end(const packer& state, const stage_job& job, instant end, instant now);

//! Expected completion time of one job.
struct job_forecast {
    const open_job* open;
    instant end;
};

//! Forecast for each job with waiting pieces, most urgent first.
std::vector<job_forecast> expected_ends(const packer& state, instant now);

//! True if a call has taken any piece of the job.
bool is_started(const open_job& open);

int count_waiting_pieces(const open_job& open);

}  // namespace cyclamenmount::detail
