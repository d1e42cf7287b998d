//! Bounds the work that repeats and hedges add.
#pragma once

#include "types/time.h"

#include <mutex>

namespace cyclamenmount {

struct retry_budget_settings {
    double per_request{0.1};     //!< repeats earned by one request
    double floor_per_second{2};  //!< earned by time alone
    double most{50};             //!< saved up at most
};

//! A token bucket. Safe to call from any thread.
class retry_budget {
public:
    explicit retry_budget(retry_budget_settings settings);

    //! One request begins.
    void earn(instant now);

    //! Pays for one repeat or hedge, if it can.
    bool spend(instant now);

    //! Takes back a payment that wasn't used.
    void refund();

private:
    void refill(instant now);

    retry_budget_settings settings_;
    std::mutex mutex_;
    double saved_;
    instant filled_at_;
};

}  // namespace cyclamenmount
