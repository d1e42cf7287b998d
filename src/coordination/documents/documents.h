//! Versioned documents in force everywhere: the two lists, and what is out of service.
//!
//! The highest version wins and none goes back. Emergency orders only restrict; they hold on peers
//! until the store has recorded them.
//!
//! Ways weighed for an instance that is paused or cut off and so can't know what was taken out:
//! serving on with the last news breaks "out means out" for as long as the cut lasts; stopping as
//! soon as the store is silent ends all service in a store outage. The rule kept: an instance
//! starts new work only while it has heard, within `timing_settings::vouch`, the store or a
//! majority of its peers, dated by when it asked, and knows of no newer availability document.
#pragma once

#include "coordination/roster/roster.h"
#include "types/configuration.h"

#include <map>
#include <set>
#include <vector>

namespace cyclamenmount {

enum class edit_kind {
    list,          //!< of one of the two lists
    availability,  //!< adds or removes one name
    recording,     //!< of emergency orders; nobody waits for it
};

enum class edit_step { reading, writing, pausing };

//! One edit between its first call and the decision.
struct pending_edit {
    edit_kind kind{edit_kind::list};
    edit_step step{edit_step::reading};
    ticket number{0};
    std::string name;  //!< of the document
    std::string text;  //!< wanted text of a list
    zone_name zone;    //!< of an availability edit
    upstream_id upstream;
    bool out{false};
    change_record change;
    document written;  //!< as last sent to the store
    instant since;
    instant step_since;
    int tries{0};
};

//! Zones and upstreams out of service, as the availability document says.
struct availability {
    std::set<zone_name> zones;
    std::set<upstream_id> upstreams;
};

//! Owned by the documents reducer; others use the functions below.
struct documents_state {
    std::map<std::string, document> held;  //!< by name
    plan_list plans;
    allowance_list allowances;
    availability out;
    std::map<std::string, emergency_order> emergency;  //!< by operation
    std::set<std::uint64_t> merged_digests;  //!< of sets of orders that are held here, or recorded
    std::map<std::string, object_version> recorded;  //!< operations seen in availability, bounded
    std::map<std::uint64_t, pending_edit> edits;     //!< by number of the store call
    std::optional<instant> store_heard_at;  //!< the store's last news of a watch are from then on
    std::vector<instant> watches;  //!< when those that haven't ended were asked, oldest first
    instant next_watch;
    instant next_recording;
    object_version revision{0};
    std::uint64_t next_ticket{1};
    std::map<instance_id, known_versions> in_force;  //!< as peers told, for operators
    std::map<std::string, instant> requested;        //!< last document_request by name
    std::map<instance_id, member> pinged_by;         //!< for answers to instances not in a roster
};

documents_state make_documents(const environment& env, instant now);

//! State with these lists in force at version 1. For embedders and tests.
documents_state make_documents_with(const environment& env, plan_list plans,
                                    allowance_list allowances, instant now);

void reduce_documents(documents_state& state, const environment& env, const roster_state& roster,
                      const event& happened, instant now, effects& out);

//! True once both lists are held.
bool has_lists(const documents_state& state);

object_version version_of(const documents_state& state, std::string_view name);

//! True if the zone or the upstream is out of service, recorded or by emergency order.
bool is_out(const documents_state& state, const zone_name& zone, const upstream_id& upstream);

//! True if the news of what is out is fresh enough to start work on it: this instance has heard the
//! store or a majority of its peers within `timing_settings::vouch`.
bool is_vouched(const documents_state& state, const environment& env, const roster_state& roster,
                instant now);

const workspace_entry* find_workspace(const documents_state& state, std::string_view key_sha256);

const allowance* find_allowance(const documents_state& state, const plan_name& plan);

//! Order-independent digest of a set of emergency orders; 0 if it is empty.
std::uint64_t digest_of_orders(const std::vector<emergency_order>& orders);

//! Digest of the emergency orders held; 0 if none.
std::uint64_t emergency_digest(const documents_state& state);

}  // namespace cyclamenmount
