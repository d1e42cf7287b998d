//! Simulated instances that run the shares reducer on a fake clock.
#pragma once

#include "coordination/shares/shares.h"

#include <deque>

namespace cyclamenmount::testing {

//! One simulated instance.
struct share_instance {
    environment env;
    roster_state roster;
    documents_state documents;
    shares_state shares;
    bool dead{false};     //!< the process has ended
    bool cut_off{false};  //!< network partition: sends and receives no messages
};

//! Instances that share the limits of one workspace. Messages are delivered in the next step.
struct share_fleet {
    std::vector<share_instance> instances;
    allowance limits;
    std::vector<std::size_t> roster_members;  //!< indexes of the members of the roster
    generation_number generation{1};
    std::deque<std::pair<instance_id, send_to_peer>> messages;
    instant now{std::chrono::hours(1)};

    //! Activates a roster generation with these instances as members.
    void set_roster(std::vector<std::size_t> member_indexes, generation_number value);
    //! Advances the clock by 50 ms, delivers the messages of the previous step, and sends ticks.
    void step();
    //! Runs steps for this much time.
    void pass(milliseconds time);
    //! Returns true if the instance is a member; in a daemon, only members admit requests.
    [[nodiscard]] bool is_admitting(std::size_t index) const;
    //! Sends a request to an instance; returns true if it is admitted.
    bool take(std::size_t index);
    //! Ends a request at an instance that has generated this many tokens.
    void end(std::size_t index, int tokens);
    //! Returns the sum of the shares that all instances may use now.
    [[nodiscard]] workspace_share in_force() const;
    //! Returns the index of the owner of the workspace.
    [[nodiscard]] std::size_t owner() const;

private:
    //! Delivers an event to an instance and queues the messages that it sends.
    void post(std::size_t index, const event& happened);
    void refresh();
};

//! Creates a fleet and runs it for 4 s, after which the owner is ready to grant shares.
share_fleet make_share_fleet(std::size_t size, const allowance& limits);

inline const workspace_name shared_workspace{"gwledd"};

}  // namespace cyclamenmount::testing
