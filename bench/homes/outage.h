//! Time without a home and store calls, on the reducers with a fake clock.
#pragma once

namespace cyclamenmount::bench {

//! Prints time without a home after faults, against leases kept in the store and no homes.
void print_outages();

//! Prints store calls and heartbeat bytes of idle fleets.
void print_costs();

}  // namespace cyclamenmount::bench
