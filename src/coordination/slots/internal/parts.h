//! Steps of the slots reducer, one file each.
#pragma once

#include "coordination/slots/slots.h"

#include <string>

namespace cyclamenmount::detail {

//! An upstream's own load may be this old.
inline constexpr milliseconds report_lag{1000};

//! Without a new verdict, responses that say warm keep an upstream in use for this many vouch
//! times, so that a home's death doesn't idle it.
inline constexpr int longest_warm_vouches = 4;

//! What one event is handled with.
struct slots_context {
    slots_state& state;
    const environment& env;
    const roster_state& roster;
    const documents_state& documents;
    instant now;
    effects& out;
};

known_upstream* find_known(slots_state& state, const upstream_id& id);

//! The home under the newest generation, remembered until the generation changes.
const std::optional<member>& home_of_upstream(const roster_state& roster, known_upstream& upstream);

//! The book if this instance is the upstream's home, with its tenure renewed; else null.
slot_book* own_book(slots_context& context, known_upstream& upstream);

bool may_act_for(const slots_context& context, const upstream_id& upstream);

// --- verdicts.cpp: what this instance believes of an upstream ------------------------------------

//! Stops new work without a slot at once. Tells home and members if `tell` and it is news.
void mark_cold(slots_context& context, known_upstream& upstream, const std::string& sign,
               bool tell);

//! Takes the newer incarnation in; false if the report is about a replaced one.
bool take_incarnation(known_upstream& upstream, const std::string& incarnation);

//! The home's word, or this home's own poll, as of `heard_at`.
void mark_warm(known_upstream& upstream, instant heard_at, instant now);

void handle_cold_notice(slots_context& context, const cold_notice& notice);

void handle_report_notice(slots_context& context, const instance_id& from,
                          const report_notice& notice);

void handle_attempt_end(slots_context& context, const attempt_ended& ended);

// --- home.cpp: polls, verdicts and slots of the home ---------------------------------------------

int cold_capacity_of(const slots_context& context, const known_upstream& upstream);

void handle_poll(slots_context& context, const upstream_polled& polled);

//! A sign of cold has come to the home; only a poll asked from now on counts.
void doubt_warmth(slots_context& context, slot_book& book);

void tend_upstream(slots_context& context, known_upstream& upstream);

void publish_verdicts(slots_context& context);

void handle_slot_request(slots_context& context, const instance_id& from,
                         const slot_request& request);

void handle_slot_release(slots_context& context, const slot_release& release);

//! Gives free slots to those who wait.
void serve_waiting(slots_context& context, known_upstream& upstream, slot_book& book);

// --- holdings.cpp: who holds what at a cold upstream ---------------------------------------------

//! Starts to collect what all members have running.
void collect_holdings(slots_context& context, known_upstream& upstream, slot_book& book);

//! Asks members that haven't answered, and now and then those that hold slots.
void ask_holdings(slots_context& context, known_upstream& upstream, slot_book& book);

void handle_holdings_request(slots_context& context, const instance_id& from,
                             const holdings_request& request);

void handle_holdings_reply(slots_context& context, const instance_id& from,
                           const holdings_reply& reply);

void handle_cancel(slots_context& context, const cancel_notice& notice);

//! Compares the upstream's own count with the slots known.
void take_own_count(slot_book& book, int in_flight);

//! True if what every member may hold is known or bounded.
bool holdings_known(const slots_context& context, const slot_book& book);

}  // namespace cyclamenmount::detail
