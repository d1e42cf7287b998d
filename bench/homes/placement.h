//! Ways to place keys on members: rendezvous hashing, modulo, and a hash ring.
#pragma once

namespace cyclamenmount::bench {

//! Prints keys moved on a join and a leaving, balance and look-up time.
void print_placement();

}  // namespace cyclamenmount::bench
