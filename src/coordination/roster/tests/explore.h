//! Model checker for key ownership: searches all states that three roster reducers can reach under
//! a bounded number of faults for one in which two instances act for the same key at the same time.
#pragma once

#include "coordination/roster/roster.h"

#include <string>

namespace cyclamenmount::testing {

//! Faults and bounds of a search. It starts with a settled generation; time advances in steps of
//! one heartbeat.
struct exploration_config {
    roster_rules rules;
    int members{3};  //!< first generation's members; other instances are only in the list
    bool last_is_leaving{false};     //!< the third instance is draining from the start
    bool packet_faults{false};       //!< single packets are lost or delayed
    bool link_faults{false};         //!< links between two instances are cut
    bool notice_faults{false};       //!< all roster notices that one instance sends are lost
    bool pauses{false};              //!< processes are paused
    bool store_faults{false};        //!< the store becomes unreachable
    int faults{0};                   //!< maximum number of faults started on one path
    int time_steps{0};               //!< maximum number of time steps on one path
    std::size_t max_states{400000};  //!< the search stops at this number of states
};

struct exploration_result {
    bool violated{false};
    bool complete{false};                 //!< all states within the bounds were visited
    std::size_t states{0};                //!< number of states visited
    int steps{0};                         //!< time steps before the violation
    std::size_t states_settled_later{0};  //!< states with a settled later generation
};

//! Breadth-first search over all states; stops at the first violation.
exploration_result explore(const exploration_config& config);

//! Seeded random walks over the same actions, without a bound on the number of faults.
exploration_result walk_randomly(const exploration_config& config, std::uint64_t seed, int walks);

}  // namespace cyclamenmount::testing
