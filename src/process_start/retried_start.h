//! Steps of a daemon's start that are tried again, as what prevents them may pass by itself: a file
//! that is being written, a port that a predecessor still holds.
#pragma once

#include "process_start/signals.h"

#include <functional>
#include <string>

namespace cyclamenmount {

struct start_retry {
    milliseconds pause{250};    //!< between two attempts; SIGHUP ends it early
    milliseconds limit{10000};  //!< time after which a step has failed for good
};

//! Outcome of one attempt.
struct start_attempt {
    bool is_done{false};
    bool may_pass{false};  //!< a later attempt may succeed
    std::string failure;   //!< why it failed
};

enum class start_outcome {
    done,
    failed,   //!< the last attempt can't pass, or the limit is over
    stopped,  //!< SIGTERM or SIGINT arrived
};

//! Makes attempts until one is done. `signals` are blocked and contain SIGTERM, SIGINT and SIGHUP.
//! `report` gets each failure that differs from the one before.
start_outcome retry_start(const sigset_t& signals, const start_retry& timing,
                          const std::function<start_attempt()>& attempt,
                          const std::function<void(const std::string& failure)>& report);

}  // namespace cyclamenmount
