//! Searches over all states that three roster reducers can reach under bounded faults, looking for
//! two that act for one key at one time.
#pragma once

#include "coordination/roster/roster.h"

#include <string>

namespace cyclamenmount::testing {

//! What is explored. All start in a settled generation; time goes on in steps of a heartbeat.
struct exploration {
    roster_rules rules;
    int members{3};             //!< of the first generation; the rest of the three are listed
    bool last_leaves{false};    //!< the third instance is told to stop at the start
    bool packet_faults{false};  //!< single packets are lost or held back
    bool link_faults{false};    //!< links are cut
    bool notice_faults{false};  //!< all notices that one instance sends are lost
    bool pauses{false};
    bool store_faults{false};
    int faults{0};      //!< at most on one path; their ends don't count
    int time_steps{0};  //!< at most on one path
    std::size_t max_states{400000};
};

struct exploration_result {
    bool violated{false};
    bool complete{false};  //!< all states within the bounds were seen
    std::size_t states{0};
    int steps{0};                  //!< time steps until the violation
    std::size_t settled_later{0};  //!< states in which a later generation had settled
};

exploration_result explore(const exploration& wanted);

//! Seeded random walks over the same actions, without the bound on faults.
exploration_result walk(const exploration& wanted, std::uint64_t seed, int walks);

}  // namespace cyclamenmount::testing
