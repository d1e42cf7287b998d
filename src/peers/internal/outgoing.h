//! The client's side: one connection to each peer address, with a bounded queue in front.
#pragma once

#include "peers/internal/counters.h"
#include "peers/internal/handshake.h"
#include "peers/internal/http2_session.h"

#include <deque>
#include <future>

namespace cyclamenmount::detail {

struct queued_message {
    instance_id to;  //!< empty: whoever listens
    std::string bytes;
    instant at;
};

//! A traffic thread waits for `answer`.
struct read_call {
    std::string query;
    instant deadline;
    std::promise<result<std::string>> answer;
};

enum class link_phase {
    idle,        //!< no connection
    connecting,  //!< TCP
    greeting,    //!< hello sent
    proving,     //!< the server has proved itself; own proof sent
    ready,
};

//! A request on the connection that waits for its response.
struct pending_request {
    instant sent_at;
    std::shared_ptr<read_call> read;  //!< empty unless a read
};

struct outgoing_peer {
    std::string address;
    std::deque<queued_message> queue;
    std::size_t queued_bytes{0};
    std::vector<std::shared_ptr<read_call>> reads;  //!< not sent yet
    std::unique_ptr<http2_session> link;
    link_phase phase{link_phase::idle};
    handshake agreed;
    std::map<std::int32_t, pending_request> in_flight;
    milliseconds backoff{0};
    instant retry_at;
    instant last_used;
};

//! What the peers' connections have in common.
struct network_context {
    const peer_network_settings& settings;
    shared_counters& counters;
};

//! Drops the oldest messages when the queue is full.
void enqueue(outgoing_peer& peer, queued_message message);
void enqueue(outgoing_peer& peer, std::shared_ptr<read_call> call);

//! Connects, sends what is queued and replaces a silent connection, whatever is due.
void advance(outgoing_peer& peer, network_context context, instant now);

//! Handles the events that poll reported for the connection.
void handle_events(outgoing_peer& peer, short events, network_context context, instant now);

//! Ends every read, sent or not.
void fail_reads(outgoing_peer& peer, error_kind kind);

//! Nothing to do and not used for long.
bool is_unused(const outgoing_peer& peer, instant now);

}  // namespace cyclamenmount::detail
