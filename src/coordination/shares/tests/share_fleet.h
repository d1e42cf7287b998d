//! A few instances with real shares reducers over a fake clock.
#pragma once

#include "coordination/shares/shares.h"

#include <deque>

namespace cyclamenmount::testing {

struct share_instance {
    environment env;
    roster_state roster;
    documents_state documents;
    shares_state shares;
    bool dead{false};
    bool cut_off{false};  //!< sends and receives nothing
};

//! One workspace over a few instances; messages arrive with the next step.
struct share_fleet {
    std::vector<share_instance> instances;
    allowance limits;
    std::vector<std::size_t> listed;  //!< members of the roster
    generation_number generation{1};
    std::deque<std::pair<instance_id, send_to_peer>> messages;
    instant now{std::chrono::hours(1)};

    void set_roster(std::vector<std::size_t> seen, generation_number value);
    //! Lets one tick pass: delivers what was sent before, and ticks.
    void step();
    void pass(milliseconds time);
    //! Admission lets nothing in at an instance that isn't a member.
    [[nodiscard]] bool is_admitting(std::size_t index) const;
    bool take(std::size_t index);
    void end(std::size_t index, int tokens);
    //! What all instances may use at this moment.
    [[nodiscard]] workspace_share in_force() const;
    [[nodiscard]] std::size_t home() const;

private:
    void post(std::size_t index, const event& happened);
    void refresh();
};

share_fleet make_share_fleet(std::size_t size, const allowance& limits);

inline const workspace_name shared_workspace{"gwledd"};

}  // namespace cyclamenmount::testing
