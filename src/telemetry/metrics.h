//! Counters, gauges and histograms (Boost.Histogram) of one instance, and their text exposition.
#pragma once

#include "types/errors.h"
#include "types/ids.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenmount {

//! Cost of one stage of one request.
struct stage_cost {
    stage_name stage;
    pool_name pool;
    int attempts{0};
    milliseconds busy{0};  //!< time that upstreams spent on the stage
    int tokens{0};
    milliseconds wasted{0};  //!< time spent on attempts whose result was not used
    int hedges{0};
    int repeats{0};
    bool other_zone{false};  //!< the attempt whose result was used ran in another zone
};

//! Outcome, times and costs of a request that has ended.
struct request_record {
    workspace_name workspace;
    std::string target;  //!< name of the pipeline, or of service and operation
    std::optional<refusal> refused;
    milliseconds took{0};
    milliseconds first_frame{0};  //!< time to the first frame; 0 if there was none
    milliseconds deadline{0};
    //! True if the first event, or the end if there was none, came within the latency objective;
    //! none if the request has no objective.
    std::optional<bool> in_objective;
    std::vector<stage_cost> costs;
};

//! Metrics of all requests of the instance. Safe to call from any thread.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    void record(const request_record& ended);

    //! Sets the value of a gauge, e.g. `roster_generation`. The name may end with labels in braces.
    void set_gauge(const std::string& name, double value);

    //! All metrics in the Prometheus text exposition format.
    [[nodiscard]] std::string page() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
