#include "packing/tests/pool_replay.h"

#include "types/numeric.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <string>

namespace cyclamenmount::testing {

namespace {

constexpr milliseconds step{10};
constexpr milliseconds tick_period{50};
constexpr milliseconds longest_replay{120'000};
constexpr double bytes_per_mb = 1e6;

//! A result in the memory of an upstream.
struct held_result {
    std::uint64_t bytes{0};
    instant released_at{};
    std::string handle;
};

struct model_upstream {
    double speed{1};
    std::optional<make_call> call;
    instant call_ends_at{};
    std::vector<held_result> held;
};

std::uint64_t held_bytes(const model_upstream& upstream) {
    std::uint64_t bytes = 0;
    for (const held_result& result : upstream.held) {
        bytes += result.bytes;
    }
    return bytes;
}

milliseconds duration_of(const pool_model& pool, const model_upstream& upstream, int pieces) {
    return to_milliseconds(upstream.speed * (pool.limits.call_ms + pool.limits.piece_ms * pieces));
}

std::uint64_t memory_of(const pool_model& pool) {
    return static_cast<std::uint64_t>(pool.limits.result_mb * bytes_per_mb);
}

//! The packer and its simulated upstreams.
class packer_replay {
public:
    packer_replay(const pool_model& pool, std::span<const submitted_job> load)
        : pool_(pool), load_(load), now_(load.front().submitted_at) {
        for (const submitted_job& one : load) {
            by_number_[one.job.id.number] = &one;
        }
        pool_changed known{pool.limits, {}};
        for (const double speed : pool.speeds) {
            const std::string id = "u" + std::to_string(upstreams_.size());
            known.upstreams.push_back({{id}, id + ":80", {"z1"}});
            upstreams_[id].speed = speed;
        }
        apply(reduce(state_, known, now_));
    }

    replay_outcome run() {
        const instant end = now_ + longest_replay;
        while (now_ < end && ended_ < load_.size()) {
            release_results();
            end_calls();
            submit_jobs();
            if ((now_ - load_.front().submitted_at) % tick_period == 0ms) {
                apply(reduce(state_, packer_tick{}, now_));
            }
            now_ += step;
        }
        return outcome_;
    }

private:
    void release_results() {
        for (auto& [id, upstream] : upstreams_) {
            std::vector<std::string> due;
            std::erase_if(upstream.held, [&](const held_result& result) {
                const bool is_due = now_ >= result.released_at;
                if (is_due) {
                    due.push_back(result.handle);
                }
                return is_due;
            });
            if (!due.empty()) {
                apply(reduce(state_, results_released{due}, now_));
            }
        }
    }

    void end_calls() {
        for (auto& [id, upstream] : upstreams_) {
            if (!upstream.call || now_ < upstream.call_ends_at) {
                continue;
            }
            const make_call call = *upstream.call;
            upstream.call.reset();
            call_answered answered{call.number, {}};
            for (const call_item& item : call.items) {
                const std::uint64_t bytes = jobs_.at(item.request).job.result_bytes;
                if (held_bytes(upstream) + bytes > memory_of(pool_)) {
                    answered.outcomes.push_back({piece_status::no_memory, ""});
                    continue;
                }
                const std::string handle = call.address + "/" + std::to_string(++last_handle_);
                upstream.held.push_back({bytes, now_ + pool_.residence, handle});
                answered.outcomes.push_back({piece_status::made, handle});
            }
            apply(reduce(state_, answered, now_));
        }
    }

    void submit_jobs() {
        while (next_ < load_.size() && load_[next_].submitted_at <= now_) {
            const submitted_job& submitted = load_[next_++];
            jobs_[submitted.job.request] = submitted;
            apply(reduce(state_, job_submitted{submitted.job}, now_));
        }
        while (!due_retries_.empty() && due_retries_.begin()->first <= now_) {
            const stage_job job = due_retries_.begin()->second->job;
            due_retries_.erase(due_retries_.begin());
            apply(reduce(state_, job_submitted{job}, now_));
        }
    }

    void apply(const std::vector<packer_effect>& effects) {
        for (const packer_effect& effect : effects) {
            if (const auto* const call = std::get_if<make_call>(&effect)) {
                model_upstream& upstream = upstreams_.at(call->upstream.value);
                upstream.call = *call;
                upstream.call_ends_at =
                    now_ + duration_of(pool_, upstream, static_cast<int>(call->items.size()));
            } else if (const auto* const done = std::get_if<job_completed>(&effect)) {
                ++ended_;
                ++outcome_.completed;
                const stage_job& job = submitted(done->id).job;
                if (now_ <= job.soft_deadline) {
                    ++outcome_.on_time;
                    ++outcome_.on_time_by_priority[job.priority];
                    ++outcome_.on_time_by_label[submitted(done->id).label];
                }
            } else if (const auto* const rejected = std::get_if<job_rejected>(&effect)) {
                if (will_retry(*rejected)) {
                    continue;
                }
                ++ended_;
                ++outcome_.rejected;
                outcome_.longest_rejected_wait = std::max(
                    outcome_.longest_rejected_wait, now_ - submitted(rejected->id).submitted_at);
                outcome_.retry_after.push_back(rejected->retry_after);
            }
        }
    }

    //! Schedules another attempt of a refused job, if its caller makes one.
    bool will_retry(const job_rejected& rejected) {
        const stage_job& job = submitted(rejected.id).job;
        const instant at = now_ + (pool_.retries_at_once ? step : rejected.retry_after);
        if (retries_[job.id.number] >= pool_.retries || at > job.hard_deadline) {
            return false;
        }
        ++retries_[job.id.number];
        due_retries_.emplace(at, &submitted(rejected.id));
        return true;
    }

    const submitted_job& submitted(const job_id& id) const {
        return *by_number_.at(id.number);
    }

    const pool_model& pool_;
    std::span<const submitted_job> load_;
    instant now_;
    packer state_;
    std::map<std::string, model_upstream> upstreams_;
    std::map<std::string, submitted_job> jobs_;  // by request
    std::map<std::uint64_t, const submitted_job*> by_number_;
    std::map<std::uint64_t, int> retries_;  // by job number
    std::multimap<instant, const submitted_job*> due_retries_;
    std::size_t next_{0};
    std::size_t ended_{0};
    std::uint64_t last_handle_{0};
    replay_outcome outcome_;
};

//! A job in the queue of the naive policy.
struct queued_job {
    const submitted_job* submitted;
    int waiting{0};  //!< pieces not yet called
    int open{0};     //!< pieces not yet completed
};

}  // namespace

replay_outcome replay_packer(const pool_model& pool, std::span<const submitted_job> load) {
    return packer_replay(pool, load).run();
}

replay_outcome replay_first_in_first_out(const pool_model& pool,
                                         std::span<const submitted_job> load) {
    struct call_in_progress {
        instant ends_at{};
        std::vector<queued_job*> pieces;
    };

    replay_outcome outcome;
    std::deque<queued_job> jobs;
    std::vector<model_upstream> upstreams(pool.speeds.size());
    std::vector<call_in_progress> calls(pool.speeds.size());
    std::size_t next = 0;
    const instant start = load.front().submitted_at;
    for (instant now = start; now < start + longest_replay; now += step) {
        for (; next < load.size() && load[next].submitted_at <= now; ++next) {
            jobs.push_back({&load[next], load[next].job.pieces, load[next].job.pieces});
        }
        for (std::size_t u = 0; u < upstreams.size(); ++u) {
            model_upstream& upstream = upstreams[u];
            upstream.speed = pool.speeds[u];
            std::erase_if(upstream.held,
                          [&](const held_result& result) { return now >= result.released_at; });
            if (!calls[u].pieces.empty() && now < calls[u].ends_at) {
                continue;
            }
            for (queued_job* const job : calls[u].pieces) {
                upstream.held.push_back(
                    {job->submitted->job.result_bytes, now + pool.residence, ""});
                if (--job->open == 0) {
                    ++outcome.completed;
                    if (now <= job->submitted->job.soft_deadline) {
                        ++outcome.on_time;
                        ++outcome.on_time_by_label[job->submitted->label];
                    }
                }
            }
            calls[u].pieces.clear();
            std::uint64_t held = held_bytes(upstream);
            for (queued_job& job : jobs) {
                const bool is_expired = now > job.submitted->job.hard_deadline;
                while (!is_expired && job.waiting > 0 &&
                       static_cast<int>(calls[u].pieces.size()) < pool.limits.batch &&
                       held + job.submitted->job.result_bytes <= memory_of(pool)) {
                    held += job.submitted->job.result_bytes;
                    --job.waiting;
                    calls[u].pieces.push_back(&job);
                }
            }
            const int count = static_cast<int>(calls[u].pieces.size());
            calls[u].ends_at = now + duration_of(pool, upstream, count);
        }
    }
    outcome.rejected = static_cast<int>(load.size()) - outcome.completed;
    return outcome;
}

}  // namespace cyclamenmount::testing
