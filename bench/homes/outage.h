//! Measures time without a key owner and store calls on the real reducers with a simulated clock.
#pragma once

namespace cyclamenmount::bench {

//! Prints the longest time without a key owner for each fault, next to a model of leases kept in
//! the store.
void print_outages();

//! Prints store calls, heartbeat traffic and reducer time of idle fleets.
void print_costs();

}  // namespace cyclamenmount::bench
