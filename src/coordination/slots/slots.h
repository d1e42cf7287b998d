//! Condition of each upstream in this instance's view, and the slots of cold upstreams.
//!
//! The owner of an upstream is the instance responsible for its key. An upstream is treated as cold
//! until its owner has polled it and read that it is warm. While it is cold, an attempt needs a
//! slot from the owner. A slot is bound to one attempt and its deadline, and the owner counts the
//! slots of all instances.
//!
//! An owner grants slots once its ownership tenure is older than the owner lease, the lease margin
//! and the start window, and it has every member's holdings: the attempts that the member runs at
//! the upstream. The holdings of an unresponsive member are bounded instead. While an attempt that
//! it admitted may still start, it is assumed to fill the upstream, so that no slot is granted.
//! Then the upstream's own count of running attempts is the bound. After the longest attempt time
//! the member holds nothing.
#pragma once

#include "coordination/documents/documents.h"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace cyclamenmount {

//! One upstream in this instance's view.
struct upstream_state {
    upstream_id id;
    pool_name pool;
    std::string address;
    zone_name zone;
    //! Rendezvous weight that selects this instance's subset of a large pool; the highest win.
    std::uint64_t subset_weight{0};
    bool listed_leaving{false};  //!< the instance list shows it as leaving
    upstream_report report;      //!< newest report, from its owner, a response or a poll
    //! Replaced incarnations, newest last. Only the newest few are kept.
    std::vector<std::string> past_incarnations;
    bool warm{false};           //!< the owner declared the present incarnation warm
    instant warm_since;         //!< when `warm` last became true
    instant warm_declared_at;   //!< when the owner last declared it warm
    instant warm_response_at;   //!< when a response last reported it warm
    instant ignore_warm_until;  //!< until then, declarations of warm are ignored as outdated
    //! Highest roster generation in a message from its owner.
    generation_number owner_message_generation{0};
    std::optional<member> owner;  //!< owner under `owner_generation`; none before a roster is known
    generation_number owner_generation{0};  //!< roster generation that `owner` follows from
    int running{0};            //!< attempts that this instance granted and that haven't ended
    int running_at_report{0};  //!< value of `running` when `report` was received
};

//! A slot in the owner's ledger, either granted by it or reported in a member's holdings.
struct slot {
    attempt_id attempt;
    instance_id holder;                 //!< instance that may run the attempt
    instant ends_at;                    //!< time at which the slot expires
    std::optional<instant> granted_at;  //!< none if it was reported in a member's holdings
    bool restartable{false};            //!< the attempt may be cancelled and run elsewhere
    bool cancelling{false};  //!< a cancel notice was sent since the last holdings request
};

//! A slot request in the owner's queue.
struct waiting_slot_request {
    instance_id from;
    slot_request request;
    instant received_at;
};

//! Condition that the owner declares for its upstream.
enum class declared_condition {
    unknown,  //!< no poll answered since the last indication of cold; no slot is granted
    cold,
    warm,
};

//! The owner's record of one upstream and the slots granted for it.
struct slot_ledger {
    tenure ownership;  //!< this instance's tenure as the owner
    declared_condition declared{declared_condition::unknown};
    instant cold_since;  //!< when it was last declared cold
    //! Last indication that the upstream is cold. Polls sent before it don't prove it warm.
    instant cold_indicated_at;
    std::set<instance_id> not_yet_reported;  //!< members whose holdings haven't been received
    //! Send time of the oldest unanswered holdings request to each member.
    std::map<instance_id, instant> holdings_requested_at;
    std::map<attempt_id, slot> slots;
    //! Times of recent releases, whose attempts the upstream's own count may still include.
    std::deque<instant> recent_releases;
    std::deque<waiting_slot_request> waiting;
    instant next_holdings_request;
    instant next_poll;
    bool poll_in_flight{false};
    instant poll_sent_at;
    std::optional<instant> answered_poll_sent_at;  //!< send time of the newest answered poll
    int polls_unanswered{0};                       //!< consecutive polls without an answer
    int unaccounted{0};  //!< attempts in the upstream's own count beyond the known slots
};

//! An attempt that this instance granted and that hasn't ended, at a cold or a warm upstream.
struct running_attempt {
    upstream_id upstream;
    instant ends_at;
    bool restartable{false};
    attempt_id slot;          //!< id of its slot; empty if it started without one
    std::string incarnation;  //!< the upstream's incarnation at the grant, set when it is recorded
};

//! Modified only by the slots reducer and the functions below; other code reads it.
struct slots_state {
    std::map<upstream_id, upstream_state> upstreams;
    std::map<upstream_id, slot_ledger> ledgers;  //!< one for each upstream that this instance owns
    std::map<attempt_id, running_attempt> running;
    instant next_notice;  //!< when the declared conditions are next sent to all members
};

slots_state make_slots();

void reduce_slots(slots_state& state, const environment& env, const roster_state& roster,
                  const documents_state& documents, const event& happened, instant now,
                  effects& out);

//! True if an attempt at the upstream needs a slot from the upstream's owner now.
bool needs_slot(const upstream_state& upstream, const environment& env, instant now);

//! Requests a slot from the upstream's owner, which sends a `slot_reply`. False if the upstream is
//! unknown or has no owner.
bool request_slot(const slots_state& state, const environment& env, const roster_state& roster,
                  slot_request request, effects& out);

//! Releases a slot, or withdraws a request for one from the owner's queue.
void release_slot(const slots_state& state, const roster_state& roster, const upstream_id& upstream,
                  const attempt_id& slot, effects& out);

//! True if the upstream is shutting down; no attempt may start there.
bool is_leaving(const upstream_state& upstream);

//! Records an attempt that this instance granted, with or without a slot.
void record_attempt(slots_state& state, attempt_id attempt, running_attempt value);

//! Key of an upstream that determines its owner.
std::string ownership_key(const upstream_id& upstream);

}  // namespace cyclamenmount
