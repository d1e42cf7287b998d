//! Counters and histograms of one instance (Boost.Histogram), and their text page.
#pragma once

#include "types/errors.h"
#include "types/ids.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenmount {

//! What one stage of one request cost.
struct stage_cost {
    stage_name stage;
    pool_name pool;
    int attempts{0};
    milliseconds busy{0};  //!< as the upstreams told
    int tokens{0};
    milliseconds wasted{0};  //!< busy time of attempts whose result wasn't used
    int hedges{0};
    int repeats{0};
    bool other_zone{false};  //!< the used attempt ran in another zone
};

//! One ended request.
struct request_record {
    workspace_name workspace;
    std::string target;  //!< pipeline, or service and operation
    std::optional<refusal> refused;
    milliseconds took{0};
    milliseconds first_frame{0};  //!< 0 if none came
    milliseconds deadline{0};
    //! Answered, or begun, within the route's objective; none where there is no such thing.
    std::optional<bool> in_objective;
    std::vector<stage_cost> costs;
};

//! Safe to call from any thread.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    void record(const request_record& ended);

    //! Sets a gauge that the next page shows, e.g. `roster_generation`.
    void set_gauge(const std::string& name, double value);

    //! The usual text exposition format.
    [[nodiscard]] std::string page() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
