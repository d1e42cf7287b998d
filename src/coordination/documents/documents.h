//! Versioned documents in force everywhere: the two lists, and what is out of service.
//!
//! The highest version wins and none goes back. Emergency orders only restrict; they hold on peers
//! until the store has recorded them.
#pragma once

#include "coordination/roster/roster.h"
#include "types/configuration.h"

#include <map>
#include <set>

namespace cyclamenmount {

//! One edit between its first write and the decision.
struct pending_edit {
    ticket number{0};
    document wanted;
    change_record change;
    instant since;
    bool reading_back{false};
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
    std::map<store_ticket, pending_edit> edits;
    std::optional<instant> store_heard_at;  //!< when the last answered watch or read was asked
    bool watch_in_flight{false};
    instant watch_asked_at;
    object_version revision{0};
    std::uint64_t next_ticket{1};
    std::map<instance_id, known_versions> in_force;  //!< as peers told, for operators
    std::map<std::string, instant> requested;        //!< last document_request by name
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

//! Order-independent digest of the emergency orders held; 0 if none.
std::uint64_t emergency_digest(const documents_state& state);

}  // namespace cyclamenmount
