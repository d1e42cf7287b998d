//! A simulated fleet: instances that run the real reducers, with fake upstreams, store, network and
//! clock. It is deterministic. Links can be cut and instances paused or killed. Roster generations
//! change only by `change_generation`.
#pragma once

#include "coordination/dispatch/dispatch.h"

#include <functional>
#include <map>
#include <set>

namespace cyclamenmount::testing {

//! An upstream and the counts of what was started there.
struct fake_upstream {
    upstream_id id;
    zone_name zone;
    upstream_condition condition{upstream_condition::cold};
    int restarts{0};
    int capacity{8};
    int cold_capacity{2};
    std::set<attempt_id> running;
    instant cold_since;
    instant use_counted_until;  //!< time up to which `cold_use` and `cold_time` are counted
    double cold_use{0};         //!< sum of attempt durations while cold, in ms
    double cold_time{0};        //!< time while cold, in ms
    int starts_over_cold{0};    //!< starts above the cold capacity, except in the detection time
    int started{0};
    int ended{0};
    std::vector<instant> starts;  //!< start time of every attempt
};

//! An attempt that its runner requested or runs.
struct fake_attempt {
    attempt_wanted wanted;
    attempt_grant grant;
    bool started{false};
    instant deadline;  //!< time at which the runner ends the attempt as timed out
};

//! One instance: the state of its reducers and the decisions that they made.
struct fake_instance {
    environment env;
    roster_state roster;
    documents_state documents;
    slots_state slots;
    quarantine_state quarantine;
    dispatch_state dispatch;
    bool alive{true};
    bool paused{false};
    std::vector<std::function<void()>> held_back;  //!< actions deferred while it is paused
    std::map<attempt_id, fake_attempt> attempts;
    std::uint64_t next_attempt{1};
    std::vector<edit_decided> edits;
    std::map<refusal_reason, int> refusals;
    int granted{0};
};

//! An open watch of an instance at the store.
struct fake_watch {
    int number{0};
    std::size_t instance{0};
    object_version after{0};  //!< the watch ends at the first change after this revision
    bool done{false};
    std::uint64_t wanted{0};  //!< number of its `watch_prefix`
};

//! The key-value store and its faults.
struct fake_store {
    bool up{true};
    bool unanswered_watches{false};  //!< watches aren't answered
    int lost_replies{0};    //!< number of coming writes that are applied at once, replies lost
    int delayed_writes{0};  //!< number of coming writes applied after `write_delay`, replies lost
    milliseconds write_delay{0};
    object_version revision{0};
    std::map<std::string, stored_object> objects;
    std::vector<fake_watch> watches;
    int calls{0};  //!< reads, writes and watches since the start
};

struct fleet_settings {
    std::size_t instances{8};
    std::size_t upstreams{4};
    int cold_capacity{2};
    int concurrent{4};  //!< attempts that each instance keeps requested or running
    milliseconds attempt_time{200};
    milliseconds detection_time{1500};  //!< time allowed to detect that an upstream turned cold
    bool restartable{true};
    int zones{2};
};

//! The simulation. It runs the scheduled actions in the order of their time.
struct fleet {
    fleet_settings settings;
    std::vector<fake_instance> instances;
    std::map<upstream_id, fake_upstream> upstreams;
    fake_store store;
    instant now{milliseconds(1'000'000)};
    std::multimap<instant, std::function<void()>> scheduled;
    std::set<std::pair<std::size_t, std::size_t>> cut_links;  //!< cut links: sender and receiver
    std::set<std::size_t> cut_from_store;  //!< instances that can't reach the store
    std::uint64_t random{1};               //!< state of the pseudorandom generator
    bool traffic{true};                    //!< instances request attempts
    //! If set, chooses the upstream of each attempt in place of the reducers, for comparison with
    //! simpler policies. If it returns none, the attempt is requested again later.
    std::function<std::optional<upstream_id>(std::size_t instance)> chooser;
};

inline constexpr const char* fleet_pool = "runners";

//! Initializes the fleet in place, since its scheduled actions refer to it; it must not move
//! afterwards.
void start_fleet(fleet& simulation, fleet_settings settings);

//! Advances the clock by `time` and runs what is scheduled until then.
void run_for(fleet& simulation, milliseconds time);

//! Schedules an action `after` from now.
void schedule(fleet& simulation, milliseconds after, std::function<void()> action);

//! Delivers an event to an instance: at once, or when it is resumed; never if it was killed.
void post(fleet& simulation, std::size_t instance, const event& happened);

//! Defers all events and actions of an instance until it is resumed.
void pause_instance(fleet& simulation, std::size_t instance);
void resume_instance(fleet& simulation, std::size_t instance);
void kill_instance(fleet& simulation, std::size_t instance);
//! Cuts an instance off from all peers, and from the store if `from_store`.
void cut_off(fleet& simulation, std::size_t instance, bool from_store);
//! Restores all links between instances and to the store.
void restore_links(fleet& simulation);

//! Activates a new settled generation with all instances except `without` as members; all live
//! members get it at once.
void change_generation(fleet& simulation, std::optional<std::size_t> without);

//! Index of the instance that owns the upstream under the newest generation.
std::size_t owner_index(const fleet& simulation, const upstream_id& upstream);

//! Makes an upstream cold. With `restart` its running attempts fail and its incarnation changes.
void turn_cold(fleet& simulation, const upstream_id& upstream, bool restart);
void turn_warm(fleet& simulation, const upstream_id& upstream);

//! Number of starts above the cold capacity, at all upstreams, except in the detection time.
int starts_over_cold_capacity(const fleet& simulation);

//! Highest number of attempts running now at a cold upstream.
int most_running_while_cold(const fleet& simulation);

//! Fraction of the cold capacity that was in use while upstreams were cold, since the last reset of
//! the counters.
double cold_capacity_use(fleet& simulation);
void reset_capacity_use(fleet& simulation);

}  // namespace cyclamenmount::testing
