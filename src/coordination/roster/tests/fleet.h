//! Simulated instances for roster tests: a fake clock, and messages, store and instance list in
//! memory.
#pragma once

#include "coordination/roster/roster.h"

#include <deque>
#include <set>

namespace cyclamenmount::testing {

//! One simulated instance.
struct node {
    environment env;
    roster_state state;
    bool killed{false};
    bool paused{false};
    std::deque<event> queued_events;  //!< events that arrived while it was paused

    //! Instance list that only this instance reads.
    std::optional<std::vector<listed_instance>> list_override;
};

//! Totals over all instances.
struct fleet_counters {
    int store_calls{0};
    int list_reads{0};
    int messages{0};
    int violations{0};  //!< cases of two instances acting for a key at one tick
};

//! Tests inject faults by setting members and advance the clock with `run_for`.
struct fleet {
    instant now{1000s};
    timing_settings timing;
    std::deque<node> nodes;
    std::string object;         //!< JSON of the roster object in the store
    object_version version{0};  //!< store version of the roster object; 0: none
    bool store_down{false};
    int replies_to_lose{0};             //!< number of next writes that succeed without a reply
    std::vector<listed_instance> list;  //!< the platform's instance list

    //! Directed links (from, to) that drop all messages.
    std::set<std::pair<std::size_t, std::size_t>> cut;

    std::vector<std::string> keys;  //!< keys whose ownership is checked each tick
    fleet_counters counters;
};

fleet make_fleet();

//! Starts another instance and adds it to the list. With an empty `address` it gets `ID:1`.
node& start_node(fleet& all, const std::string& id, const std::string& address = {});

//! Starts these instances as the members of a settled first generation that is in the store.
void start_settled(fleet& all, const std::vector<std::string>& ids);

node& find_node(fleet& all, const std::string& id);
std::size_t index_of(const fleet& all, const std::string& id);

//! Drops all messages between two instances, in both directions.
void cut_link(fleet& all, const std::string& left, const std::string& right);
void kill_node(fleet& all, const std::string& id);
void drop_from_list(fleet& all, const std::string& id);
void pause_node(fleet& all, const std::string& id);
//! Resumes a paused instance, which handles its queued events first.
void resume_node(fleet& all, const std::string& id);

//! Lets a node handle an event and delivers all messages that result.
void post_event(fleet& all, node& to, const event& happened);

//! Advances the clock tick by tick and counts violations.
void run_for(fleet& all, milliseconds duration);

//! Advances the clock until `done` returns true, for at most `limit`; returns whether it did.
template <typename Condition>
bool run_until(fleet& all, milliseconds limit, Condition done) {
    for (const instant end = all.now + limit; all.now < end;) {
        if (done()) {
            return true;
        }
        run_for(all, all.timing.tick);
    }
    return done();
}

//! Ids of the members in the node's newest roster, separated by spaces; starts with `?` if that
//! isn't settled.
std::string roster_text(const node& instance);

//! True if all running nodes have the settled roster with these members.
bool all_settled(const fleet& all, const std::string& ids);

//! Ids of the nodes that may act for a key.
std::vector<std::string> actors(const fleet& all, const std::string& key);

}  // namespace cyclamenmount::testing
