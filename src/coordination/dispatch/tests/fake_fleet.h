//! A few instances on the real reducers, with fake upstreams, store and network in fake time.
//! Deterministic; messages can be cut and instances paused or killed. Generations are set by hand.
#pragma once

#include "coordination/dispatch/dispatch.h"

#include <functional>
#include <map>
#include <set>

namespace cyclamenmount::testing {

struct fake_upstream {
    upstream_id id;
    zone_name zone;
    upstream_condition condition{upstream_condition::cold};
    int restarts{0};
    int capacity{8};
    int cold_capacity{2};
    std::set<attempt_id> running;
    instant cold_since;
    instant used_at;      //!< up to where `cold_use` is counted
    double cold_use{0};   //!< attempt milliseconds while cold
    double cold_time{0};  //!< milliseconds while cold
    int over_cold{0};     //!< starts above the cold capacity, `detection` after turning cold
    int started{0};
    int ended{0};
    std::vector<instant> starts;
};

struct fake_attempt {
    attempt_wanted wanted;
    attempt_grant grant;
    bool started{false};
    instant deadline;  //!< its runner ends it then
};

struct fake_instance {
    environment env;
    roster_state roster;
    documents_state documents;
    slots_state slots;
    quarantine_state quarantine;
    dispatch_state dispatch;
    bool alive{true};
    bool paused{false};
    std::vector<std::function<void()>> backlog;  //!< what came while it was paused
    std::map<attempt_id, fake_attempt> attempts;
    std::uint64_t next_attempt{1};
    std::vector<edit_decided> edits;
    std::map<refusal_reason, int> refusals;
    int granted{0};
};

struct fake_watch {
    int number{0};
    std::size_t instance{0};
    object_version after{0};
    bool done{false};
};

struct fake_store {
    bool up{true};
    bool silent_watches{false};
    int lose_answers{0};
    int late_answers{0};  //!< the next writes take effect only after `late_by`
    milliseconds late_by{0};
    object_version revision{0};
    std::map<std::string, stored_object> objects;
    std::vector<fake_watch> watches;
    int calls{0};
};

struct fleet_settings {
    std::size_t instances{8};
    std::size_t upstreams{4};
    int cold_capacity{2};
    int concurrent{4};  //!< attempts that each instance wants running at once
    milliseconds attempt_time{200};
    milliseconds detection{1500};  //!< allowed from turning cold to no excess
    bool restartable{true};
    int zones{2};
};

struct fleet {
    fleet_settings settings;
    std::vector<fake_instance> instances;
    std::map<upstream_id, fake_upstream> upstreams;
    fake_store store;
    instant now{milliseconds(1'000'000)};
    std::multimap<instant, std::function<void()>> agenda;
    std::set<std::pair<std::size_t, std::size_t>> cut;  //!< sender, receiver
    std::set<std::size_t> store_cut;
    std::uint64_t random{1};
    bool traffic{true};
    //! Baselines put their own choice here, in place of the reducers'; none means try again later.
    std::function<std::optional<upstream_id>(std::size_t instance)> chooser;
};

inline constexpr const char* fleet_pool = "runners";

//! Pointers into the fleet are kept by its agenda, so it is made in place.
void start_fleet(fleet& all, fleet_settings settings);

void run_for(fleet& all, milliseconds time);

//! Does something `after` from now.
void later(fleet& all, milliseconds after, std::function<void()> action);

void post(fleet& all, std::size_t instance, const event& happened);

void pause_instance(fleet& all, std::size_t instance);
void wake_instance(fleet& all, std::size_t instance);
void kill_instance(fleet& all, std::size_t instance);
void cut_off(fleet& all, std::size_t instance, bool from_store);
void mend(fleet& all);

//! A new settled generation of all that aren't `without`, seen by its members at once.
void change_generation(fleet& all, std::optional<std::size_t> without);

std::size_t home_index(const fleet& all, const upstream_id& upstream);

void turn_cold(fleet& all, const upstream_id& upstream, bool restart);
void turn_warm(fleet& all, const upstream_id& upstream);

//! Sum over upstreams of starts above their cold capacity.
int over_cold(const fleet& all);

//! Running now, over the upstreams that are cold.
int most_running_while_cold(const fleet& all);

//! Share of the cold capacity in use while cold, over all upstreams since `reset_use`.
double cold_capacity_used(fleet& all);
void reset_use(fleet& all);

}  // namespace cyclamenmount::testing
