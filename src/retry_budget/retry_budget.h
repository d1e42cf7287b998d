//! Limits the additional load caused by repeated and hedged requests.
#pragma once

#include "types/time.h"

#include <mutex>

namespace cyclamenmount {

struct retry_budget_settings {
    double per_request{0.1};      //!< tokens added per request
    double refill_per_second{2};  //!< tokens added per second, independent of requests
    double capacity{50};          //!< maximum number of tokens; also the initial number
};

//! Token bucket; each repeat or hedge takes one token. Safe to call from any thread.
class retry_budget {
public:
    explicit retry_budget(retry_budget_settings settings);

    //! Adds the tokens of one started request.
    void earn(instant now);

    //! Takes the token for one repeat or hedge; false if there is less than one token.
    bool spend(instant now);

    //! Changes the maximum number of tokens; adds none, as the spent ones still count elsewhere.
    void set_capacity(double capacity);

    //! Returns a token that was taken for a repeat or hedge that didn't happen.
    void refund();

private:
    //! Adds the tokens for the time since the last refill.
    void refill(instant now);

    retry_budget_settings settings_;
    std::mutex mutex_;
    double tokens_;
    instant refilled_at_;
};

}  // namespace cyclamenmount
