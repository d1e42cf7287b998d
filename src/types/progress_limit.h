//! Time limit that depends on the progress of a message.
#pragma once

#include "types/time.h"

namespace cyclamenmount {

//! Limit on a message that has begun to arrive. It lasts for as long as bytes arrive, so that a
//! long message on a narrow link isn't given up.
struct progress_limit {
    milliseconds step{0};   //!< time in which at least one byte has to arrive; 0: no such limit
    milliseconds total{0};  //!< limit on the whole message
};

}  // namespace cyclamenmount
