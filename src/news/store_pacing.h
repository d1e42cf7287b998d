//! When the store may be called while it doesn't answer.
//!
//! Several loops of an instance read the store. While it is lost they take turns at one probe, so
//! an outage costs an instance one call a period instead of one a loop and retry.
#pragma once

#include "types/time.h"

namespace cyclamenmount {

struct store_pacing {
    int failures{0};  //!< in a row, over all calls
    instant next_probe{};
};

//! Calls in a row without an answer after which the store counts as lost; one cut watch isn't an
//! outage.
inline constexpr int failures_until_lost = 3;

bool is_lost(const store_pacing& state);

void note_call(store_pacing& state, bool answered);

//! True if a call may start now; while the store is lost this takes the probe of this `period`.
bool take_turn(store_pacing& state, milliseconds period, instant now);

}  // namespace cyclamenmount
