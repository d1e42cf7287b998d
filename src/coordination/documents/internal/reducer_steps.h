//! Functions that the files of the documents reducer share.
#pragma once

#include "coordination/documents/documents.h"

#include <string>

namespace cyclamenmount::detail {

//! State and inputs for the handling of one event.
struct documents_context {
    documents_state& state;
    const environment& env;
    const roster_state& roster;
    instant now;
    effects& out;
};

// --- documents.cpp ------------------------------------------------------------------------------

//! Puts a document in force if it is newer than the current one; returns whether it was.
bool accept_document(documents_context& context, const document& value);

void log_documents(documents_context& context, severity level, std::string text);

// --- replication.cpp -----------------------------------------------------------------------------

//! Sends a message to all members except the local one.
void send_to_members(documents_context& context, const peer_message& message);

//! Handles a peer's message: compares versions, exchanges documents and emergency orders.
void handle_peer(documents_context& context, const peer_message_received& received);

//! Starts a watch of the store if this instance is a watcher and none is in flight.
void maintain_watch(documents_context& context);

//! Puts the documents that a watch returned in force, then starts the next watch if it is due.
void handle_watch_end(documents_context& context, const watch_ended& ended);

// --- edits.cpp ----------------------------------------------------------------------------------

//! Starts an edit of the plan list or the allowance list.
void start_list_edit(documents_context& context, const list_edit_wanted& wanted);

//! Starts an edit that takes a zone or upstream out of service or returns it to service.
void start_availability_edit(documents_context& context, const availability_wanted& wanted);

//! Advances the edit to which the store reply belongs; ignores replies to unknown calls.
void handle_store_reply(documents_context& context, const store_replied& reply);

//! Applies the time limits of the pending edits, retries edits whose pause is over, and starts the
//! recording of emergency orders.
void advance_edits(documents_context& context);

//! The unrecorded emergency orders, sorted by operation id.
std::vector<emergency_order> emergency_orders(const documents_state& state);

}  // namespace cyclamenmount::detail
