//! Steps of the documents reducer, one file each.
#pragma once

#include "coordination/documents/documents.h"

#include <string>

namespace cyclamenmount::detail {

//! What one event is handled with.
struct documents_context {
    documents_state& state;
    const environment& env;
    const roster_state& roster;
    instant now;
    effects& out;
};

// --- documents.cpp ------------------------------------------------------------------------------

//! Puts a newer document in force; false if the one held is as new.
bool accept_document(documents_context& context, const document& value);

void log_documents(documents_context& context, severity level, std::string text);

// --- spread.cpp ---------------------------------------------------------------------------------

void send_to_members(documents_context& context, const peer_message& message);

//! Asks for and answers what peers' versions show to be newer.
void handle_peer(documents_context& context, const peer_message_received& received);

//! Keeps a watch where one is due.
void keep_watch(documents_context& context);

void handle_watch_end(documents_context& context, const watch_ended& ended);

// --- edits.cpp ----------------------------------------------------------------------------------

void start_list_edit(documents_context& context, const list_edit_wanted& wanted);

void start_availability_edit(documents_context& context, const availability_wanted& wanted);

void handle_store_reply(documents_context& context, const store_replied& reply);

//! Time limits, repeats after a pause, and recording of emergency orders.
void advance_edits(documents_context& context);

//! The emergency orders held, in order of their operation.
std::vector<emergency_order> held_orders(const documents_state& state);

}  // namespace cyclamenmount::detail
