//! Homes by rendezvous hashing over a fenced roster, against other ways.
#include "outage.h"
#include "placement.h"

int main() {
    cyclamenmount::bench::print_placement();
    cyclamenmount::bench::print_outages();
    cyclamenmount::bench::print_costs();
    return 0;
}
