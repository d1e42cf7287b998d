//! A few instances with real once reducers, pumped by hand, and a store with faults.
#pragma once

#include "coordination/once/once.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cyclamenmount::testing {

//! What becomes of one store call.
enum class store_fault {
    none,
    lost_before,  //!< no effect, no answer
    lost_after,   //!< takes effect, no answer
    late,         //!< no answer; takes effect when released, if its version still fits
    refused,
};

struct store_call {
    std::size_t caller{0};
    effect call;
};

struct fake_store {
    std::map<std::string, stored_object> objects;
    object_version revision{0};
    bool down{false};
    std::size_t written_bytes{0};
    std::deque<store_fault> next_writes;  //!< faults of the next writes, then none
    std::vector<store_write> late;

    store_replied apply(const store_write& write);
    store_replied answer(const effect& call);
    void release_late();
};

struct fake_instance {
    environment env;
    std::vector<member> view;
    generation_number generation{1};
    roster_state roster;
    once_state once;
    bool paused{false};
    bool dead{false};
};

struct message_in_flight {
    instance_id from;
    send_to_peer value;
};

struct decision {
    std::size_t asker{0};
    permit_reply reply;
};

struct fleet {
    std::vector<fake_instance> instances;
    fake_store store;
    std::deque<message_in_flight> messages;
    std::deque<store_call> calls;
    std::map<ticket, decision> decisions;  //!< by the question's number
    std::map<ticket, int> decided_times;
    ticket next_number{1};
    instant now{std::chrono::hours(1)};

    void post(std::size_t index, const event& happened);
    void deliver(const message_in_flight& message);
    void carry_out(const store_call& call);
    [[nodiscard]] std::optional<std::size_t> index_of(const instance_id& id) const;
    bool pump_once();
    //! Delivers everything until nothing is left but what a paused instance holds up.
    void pump();
    //! Lets time pass with ticks; hears everybody anew and pumps after each.
    void pass(milliseconds time);
    void set_view(std::size_t index, const std::vector<std::size_t>& seen,
                  generation_number generation);
    ticket ask(std::size_t index, const std::string& key, const std::string& body = "body",
               milliseconds waits = milliseconds(1000));
    void end_call(std::size_t index, const std::string& key, ticket number, call_outcome outcome);
    void give_back(std::size_t index, const std::string& key, ticket number);
    [[nodiscard]] bool is_granted(ticket number) const;
    [[nodiscard]] permit_verdict verdict(ticket number) const;
    //! A key whose home is `home` as instance `viewer` sees it.
    [[nodiscard]] std::string key_of_home(std::size_t viewer, std::size_t home) const;
};

fleet make_fleet(std::size_t size);

//! The journal object of a key.
std::string object_of(const fleet& all, const std::string& key);

inline const workspace_name test_workspace{"gwledd"};

}  // namespace cyclamenmount::testing
