//! Steps of the slots reducer. Each section below is implemented in one source file.
#pragma once

#include "coordination/slots/slots.h"

#include <string>

namespace cyclamenmount::detail {

//! Maximum delay until an upstream's own count of running attempts includes a start or an end.
inline constexpr milliseconds report_lag{1000};

//! While the owner of an upstream sends no declaration, responses that report the upstream warm
//! keep it in use for this multiple of the maximum staleness. Without them, a crash of the owner
//! would leave the upstream idle.
inline constexpr int warm_staleness_factor = 4;

//! State and inputs for handling one event.
struct slots_context {
    slots_state& state;
    const environment& env;
    const roster_state& roster;
    const documents_state& documents;
    instant now;
    effects& out;
};

upstream_state* find_upstream(slots_state& state, const upstream_id& id);

//! The owner under the newest generation, cached until the generation changes.
const std::optional<member>& owner_of_upstream(const roster_state& roster,
                                               upstream_state& upstream);

//! Renews the ownership tenure of the upstream's ledger and returns the ledger; a new tenure starts
//! with an empty one. If this instance doesn't own the upstream, drops the ledger and returns null.
slot_ledger* refresh_ledger(slots_context& context, upstream_state& upstream);

//! True if this instance owns the upstream and holds a valid owner lease.
bool may_act_as_owner_of(const slots_context& context, const upstream_id& upstream);

// --- the condition of an upstream in this instance's view ----------------------------------------

//! Marks the upstream cold, so that new attempts need a slot. If it was warm and `announce` is set,
//! all other members are notified.
void mark_cold(slots_context& context, upstream_state& upstream, const std::string& sign,
               bool announce);

//! Records the upstream's incarnation; false if `incarnation` was replaced by a newer one before.
bool update_incarnation(upstream_state& upstream, const std::string& incarnation);

//! Marks the upstream warm, as declared by its owner at `declared_at`.
void mark_warm(upstream_state& upstream, instant declared_at, instant now);

void handle_cold_notice(slots_context& context, const cold_notice& notice);

void handle_report_notice(slots_context& context, const instance_id& from,
                          const report_notice& notice);

void handle_attempt_end(slots_context& context, const attempt_ended& ended);

// --- the owner's polls, declared conditions and slots --------------------------------------------

int cold_capacity_of(const slots_context& context, const upstream_state& upstream);

void handle_poll(slots_context& context, const upstream_polled& polled);

//! Sets the declared condition to unknown after an indication that the upstream is cold. Only a
//! poll sent from now on can declare it warm.
void invalidate_warm(slots_context& context, slot_ledger& ledger);

//! If this instance owns the upstream: polls it if due, drops expired slots and requests, and
//! grants free slots.
void maintain_upstream(slots_context& context, upstream_state& upstream);

//! Sends the declared conditions to all other members, once each poll period.
void publish_declared_conditions(slots_context& context);

void handle_slot_request(slots_context& context, const instance_id& from,
                         const slot_request& request);

void handle_slot_release(slots_context& context, const slot_release& release);

//! Grants free slots to queued requests in their order.
void serve_waiting(slots_context& context, upstream_state& upstream, slot_ledger& ledger);

// --- attempts that each member holds at a cold upstream ------------------------------------------

//! Declares the upstream cold and starts to collect the holdings of all members.
void collect_holdings(slots_context& context, upstream_state& upstream, slot_ledger& ledger);

//! Requests holdings from the members that haven't replied, and periodically from those that hold
//! slots.
void request_holdings(slots_context& context, upstream_state& upstream, slot_ledger& ledger);

void handle_holdings_request(slots_context& context, const instance_id& from,
                             const holdings_request& request);

void handle_holdings_reply(slots_context& context, const instance_id& from,
                           const holdings_reply& reply);

void handle_cancel(slots_context& context, const cancel_notice& notice);

//! Updates the number of unaccounted attempts from `in_flight`, the upstream's own count.
void update_unaccounted(slot_ledger& ledger, int in_flight);

//! True if the holdings of every member are known or bounded.
bool are_holdings_known(const slots_context& context, const slot_ledger& ledger);

}  // namespace cyclamenmount::detail
