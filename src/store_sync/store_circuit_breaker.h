//! Circuit breaker for calls to the store.
//!
//! Several loops of an instance read the store. While the circuit breaker is open they share one
//! probe, so that an outage costs one call per period, instead of one per loop and retry.
#pragma once

#include "types/time.h"

namespace cyclamenmount {

//! State of the circuit breaker of one instance, shared by all its loops.
struct store_circuit_breaker {
    int failures{0};       //!< consecutive failed calls of all loops together
    instant next_probe{};  //!< earliest time of the next probe while the breaker is open
};

//! Consecutive calls without a response after which the circuit breaker opens. A single interrupted
//! watch isn't an outage.
inline constexpr int failures_until_open = 3;

//! Returns true if the circuit breaker is open.
bool is_open(const store_circuit_breaker& state);

//! Records the result of a call; a response closes the circuit breaker.
void record_call(store_circuit_breaker& state, bool answered);

//! Returns true if a call may start now. While the circuit breaker is open, at most one call per
//! `period` is allowed as a probe.
bool allow_call(store_circuit_breaker& state, milliseconds period, instant now);

}  // namespace cyclamenmount
