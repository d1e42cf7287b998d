#include "news/store_pacing.h"

namespace cyclamenmount {

bool is_lost(const store_pacing& state) {
    return state.failures >= failures_until_lost;
}

void note_call(store_pacing& state, bool answered) {
    state.failures = answered ? 0 : state.failures + 1;
}

bool take_turn(store_pacing& state, milliseconds period, instant now) {
    if (!is_lost(state)) {
        return true;
    }
    if (now < state.next_probe) {
        return false;
    }
    state.next_probe = now + period;
    return true;
}

}  // namespace cyclamenmount
