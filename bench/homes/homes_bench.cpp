//! Compares key owners chosen by rendezvous hashing over the membership roster, with owner leases,
//! to other placements and to leases kept in the store.
#include "outage.h"
#include "placement.h"

int main() {
    cyclamenmount::bench::print_placement();
    cyclamenmount::bench::print_outages();
    cyclamenmount::bench::print_costs();
    return 0;
}
