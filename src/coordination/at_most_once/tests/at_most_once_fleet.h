//! Test fleet: instances with real at-most-once reducers, a simulated network that the test steps,
//! and a store with injected faults.
#pragma once

#include "coordination/at_most_once/at_most_once.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cyclamenmount::testing {

//! Fault injected into one store write.
enum class store_fault {
    none,
    lost_before,  //!< no effect; the result is unknown
    lost_after,   //!< takes effect; the result is unknown
    //! The result is unknown; takes effect in `apply_late_writes` if its version still matches.
    late,
    refused,  //!< no effect; the result is known
};

//! Store call in flight.
struct store_call {
    std::size_t caller{0};  //!< index of the calling instance
    effect call;
};

struct fake_store {
    std::map<std::string, stored_object> objects;
    object_version revision{0};
    bool down{false};  //!< no call takes effect, and all results are unknown
    std::size_t written_bytes{0};
    std::deque<store_fault> next_write_faults;  //!< one fault per write, in order
    std::vector<store_write> late_writes;

    store_replied apply(const store_write& write);
    store_replied execute(const effect& call);
    void apply_late_writes();
};

struct fake_instance {
    environment env;
    std::vector<member> view;  //!< roster members in this instance's view
    generation_number generation{1};
    roster_state roster;
    at_most_once_state at_most_once;
    bool paused{false};   //!< receives no messages, replies or ticks for now
    bool crashed{false};  //!< ignores all events from now on
};

struct message_in_flight {
    instance_id from;
    send_to_peer value;
};

struct decision {
    std::size_t requester{0};  //!< index of the requesting instance
    permit_reply reply;
};

struct test_fleet {
    std::vector<fake_instance> instances;
    fake_store store;
    std::deque<message_in_flight> messages;
    std::deque<store_call> calls;
    std::map<ticket, decision> decisions;   //!< latest decision by request number
    std::map<ticket, int> decision_counts;  //!< number of decisions of each request; must be 1
    ticket next_number{1};
    instant now{std::chrono::hours(1)};

    //! Handles an event at an instance and queues the resulting effects.
    void post(std::size_t index, const event& happened);
    void deliver(const message_in_flight& message);
    void execute_call(const store_call& call);
    [[nodiscard]] std::optional<std::size_t> index_of(const instance_id& id) const;
    //! Delivers the queued messages and executes the queued store calls; false if there were none.
    bool pump_once();
    //! Repeats `pump_once` until only messages and calls of paused instances are left.
    void pump();
    //! Advances time in 50 ms ticks. After each tick, renews the owner leases of running instances
    //! and calls `pump`.
    void advance_time(milliseconds time);
    //! Sets an instance's roster to a settled generation with these members.
    void set_view(std::size_t index, const std::vector<std::size_t>& member_indexes,
                  generation_number generation);
    //! Requests a permit at an instance; returns the request number.
    ticket request_permit(std::size_t index, const std::string& key,
                          const std::string& body = "body",
                          milliseconds timeout = milliseconds(1000));
    void end_call(std::size_t index, const std::string& key, ticket number, call_outcome outcome);
    void return_permit(std::size_t index, const std::string& key, ticket number);
    [[nodiscard]] bool is_granted(ticket number) const;
    [[nodiscard]] permit_verdict verdict(ticket number) const;
    //! Returns a key that `owner` owns in the view of instance `viewer`.
    [[nodiscard]] std::string key_owned_by(std::size_t viewer, std::size_t owner) const;
};

//! Makes a fleet whose instances are all members and have loaded their journals.
test_fleet make_fleet(std::size_t size);

//! Name of the journal object that holds a key.
std::string journal_object_of(const test_fleet& fleet, const std::string& key);

inline const workspace_name test_workspace{"gwledd"};

}  // namespace cyclamenmount::testing
