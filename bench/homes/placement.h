//! Compares placements of keys on members: rendezvous hashing, modulo and a hash ring.
#pragma once

namespace cyclamenmount::bench {

//! Prints the fraction of keys moved when a member joins or leaves, the balance and the lookup
//! time.
void print_placement();

}  // namespace cyclamenmount::bench
