#include "store_sync/store_circuit_breaker.h"

namespace cyclamenmount {

bool is_open(const store_circuit_breaker& state) {
    return state.failures >= failures_until_open;
}

void record_call(store_circuit_breaker& state, bool answered) {
    state.failures = answered ? 0 : state.failures + 1;
}

bool allow_call(store_circuit_breaker& state, milliseconds period, instant now) {
    if (!is_open(state)) {
        return true;
    }
    if (now < state.next_probe) {
        return false;
    }
    state.next_probe = now + period;
    return true;
}

}  // namespace cyclamenmount
