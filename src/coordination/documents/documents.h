//! Replicated, versioned documents: the plan list, the allowance list, and the availability
//! document, which names the zones and upstreams that are out of service.
//!
//! The highest version is in force on every instance, and versions never decrease. Emergency orders
//! can only take something out of service; peers apply them until the store has recorded them.
//!
//! An instance that is paused or partitioned can't see what is taken out of service. If it served
//! on with its last state, a zone or upstream could be used after it was taken out, for as long as
//! the partition lasts. If it stopped as soon as the store doesn't reply, a store outage would end
//! all service. Therefore an instance starts new work only while its state is fresh: within the
//! maximum staleness it had a reply from the store or a quorum of its peers, dated by the time of
//! the request, and no peer has reported a newer availability state.
#pragma once

#include "coordination/roster/roster.h"
#include "types/configuration.h"

#include <map>
#include <set>
#include <vector>

namespace cyclamenmount {

//! What an edit changes.
enum class edit_kind {
    list,          //!< replaces the text of the plan list or the allowance list
    availability,  //!< takes one zone or upstream out of service, or returns it
    recording,     //!< records emergency orders in the store; started without a request
};

//! What an edit waits for: the reply to a read, the reply to a write, or the end of a pause before
//! the next read.
enum class edit_step { reading, writing, pausing };

//! An edit whose outcome isn't known yet.
struct pending_edit {
    edit_kind kind{edit_kind::list};
    edit_step step{edit_step::reading};
    ticket number{0};      //!< correlation number of the request and its outcome
    std::string name;      //!< document to edit
    std::string text;      //!< new text of a list
    zone_name zone;        //!< availability: affected zone; empty for an upstream
    upstream_id upstream;  //!< availability: affected upstream; empty for a zone
    bool out{false};       //!< availability: true takes out of service, false returns
    change_record change;
    document written;    //!< content of the last store write
    instant since;       //!< start of the edit
    instant step_since;  //!< start of the current step
    int write_attempts{0};
};

//! A watch of the store that hasn't ended yet.
struct pending_watch {
    std::uint64_t number{0};
    instant started;
};

//! Zones and upstreams out of service according to the availability document.
struct availability {
    std::set<zone_name> zones;
    std::set<upstream_id> upstreams;
};

//! Modified only by the documents reducer; other components use the functions below.
struct documents_state {
    std::map<std::string, document> documents_in_force;  //!< by document name
    plan_list plans;
    allowance_list allowances;
    availability out_of_service;                       //!< parsed availability document
    std::map<std::string, emergency_order> emergency;  //!< orders not yet recorded, by operation id

    //! Digests of the sets of emergency orders that were received and merged; bounded.
    std::set<std::uint64_t> merged_digests;

    //! Operation ids recorded in the availability document, with the document's version; bounded.
    std::map<std::string, object_version> recorded;

    std::map<std::uint64_t, pending_edit> edits;  //!< edits by number of the store call
    std::optional<instant> store_state_as_of;  //!< all store updates before this time were received
    std::vector<pending_watch> watches;        //!< in flight, oldest first
    std::uint64_t last_watch{0};               //!< number of the watch that was started last
    instant next_watch;                        //!< earliest start of the next watch
    instant next_recording;      //!< earliest start of the next recording of emergency orders
    object_version revision{0};  //!< store revision up to which updates were received
    std::uint64_t next_ticket{1};

    //! Versions that each peer last reported; shown to operators.
    std::map<instance_id, known_versions> peer_versions;

    //! Time of the last request to a peer, by document name.
    std::map<std::string, instant> last_requested;

    //! Senders of pings, so that instances outside the roster get replies.
    std::map<instance_id, member> ping_senders;
};

//! State without any documents. A watch of the store starts with the first tick.
documents_state make_documents(const environment& env, instant now);

//! State with these two lists in force at version 1. Used by tests and by programs
//! that embed single components.
documents_state make_documents_in_force(const environment& env, plan_list plans,
                                        allowance_list allowances, instant now);

//! Applies one event to the state and appends the resulting effects to `out`.
void reduce_documents(documents_state& state, const environment& env, const roster_state& roster,
                      const event& happened, instant now, effects& out);

//! True once both the plan list and the allowance list are in force.
bool has_lists(const documents_state& state);

//! Version of the document in force; 0 if there is none.
object_version version_of(const documents_state& state, std::string_view name);

//! True if the zone or the upstream is out of service, by the availability document or an emergency
//! order.
bool is_out_of_service(const documents_state& state, const zone_name& zone,
                       const upstream_id& upstream);

//! True if the availability state is fresh enough to start new work: within the maximum staleness
//! the store or a quorum replied, and no peer has reported a newer state.
bool is_availability_fresh(const documents_state& state, const environment& env,
                           const roster_state& roster, instant now);

//! The workspace whose caller key has this SHA-256 digest; null if there is none.
const workspace_entry* find_workspace(const documents_state& state, std::string_view key_sha256);

//! The allowance of a plan; null if there is none.
const allowance* find_allowance(const documents_state& state, const plan_name& plan);

//! Order-independent digest of a set of emergency orders; 0 if it is empty.
std::uint64_t digest_of_orders(const std::vector<emergency_order>& orders);

//! Digest of the unrecorded emergency orders; 0 if there are none.
std::uint64_t emergency_digest(const documents_state& state);

}  // namespace cyclamenmount
