//! A few roster states on a fake clock, with messages, store and list passed by hand.
#pragma once

#include "coordination/roster/roster.h"

#include <deque>
#include <set>

namespace cyclamenmount::testing {

struct node {
    environment env;
    roster_state state;
    bool killed{false};
    bool paused{false};
    std::deque<event> waiting;                             //!< arrived while paused
    std::optional<std::vector<listed_instance>> own_list;  //!< instead of the common one
};

struct fleet_counters {
    int store_calls{0};
    int list_reads{0};
    int messages{0};
    int violations{0};  //!< ticks and keys at which two acted
};

//! Faults are set by its members; `run_for` lets time pass.
struct fleet {
    instant now{1000s};
    timing_settings timing;
    std::deque<node> nodes;
    std::string object;
    object_version version{0};
    bool store_down{false};
    int lose_answers{0};  //!< the next writes take effect unanswered
    std::vector<listed_instance> list;
    std::set<std::pair<std::size_t, std::size_t>> cut;  //!< (from, to) that lose all messages
    std::vector<std::string> keys;
    fleet_counters counters;
};

fleet make_fleet();

//! Starts one more instance, listed at once. `address` empty: one of its own.
node& start_node(fleet& of, const std::string& id, const std::string& address = {});

//! Starts these as members of a settled first generation that the store holds.
void start_settled(fleet& of, const std::vector<std::string>& ids);

node& find_node(fleet& of, const std::string& id);
std::size_t index_of(const fleet& of, const std::string& id);

void cut_link(fleet& of, const std::string& one, const std::string& other);
void kill_node(fleet& of, const std::string& id);
void drop_from_list(fleet& of, const std::string& id);
void pause_node(fleet& of, const std::string& id);
void wake_node(fleet& of, const std::string& id);

//! Hands one event to a node and everything that follows from it to the others.
void give(fleet& of, node& to, const event& happened);

void run_for(fleet& of, milliseconds duration);

//! Runs until `done` or for at most `limit`; true if done.
template <typename Condition>
bool run_until(fleet& of, milliseconds limit, Condition done) {
    for (const instant end = of.now + limit; of.now < end;) {
        if (done()) {
            return true;
        }
        run_for(of, of.timing.tick);
    }
    return done();
}

//! Ids of the members as the node knows them, joined by a space; `?` in front if unsettled.
std::string roster_text(const node& of);

//! True if all running nodes know this settled roster.
bool all_settled(const fleet& of, const std::string& ids);

//! Ids of the nodes that may act for a key.
std::vector<std::string> actors(const fleet& of, const std::string& key);

}  // namespace cyclamenmount::testing
