//! Client side: one connection to each peer address, with a bounded send queue.
#pragma once

#include "peers/internal/counters.h"
#include "peers/internal/handshake.h"
#include "peers/internal/http2_session.h"

#include <deque>
#include <future>

namespace cyclamenmount::detail {

struct queued_message {
    instance_id to;  //!< intended receiver; empty: any instance at the address
    std::string bytes;
    instant queued_at;
};

//! A read whose caller blocks on the future of `reply`.
struct read_call {
    std::string query;
    instant deadline;
    std::promise<result<std::string>> reply;
};

enum class connection_phase {
    idle,        //!< no connection
    connecting,  //!< TCP connection in progress
    hello_sent,  //!< waiting for the server's hello
    proof_sent,  //!< server authenticated; waiting until it accepts the client's proof
    ready,       //!< both sides authenticated; messages can be sent
};

//! A sent request whose response is outstanding.
struct pending_request {
    instant sent_at;
    std::shared_ptr<read_call> read;  //!< call to complete; null for messages and the handshake
};

struct outgoing_peer {
    std::string address;
    std::deque<queued_message> queue;
    std::size_t queued_bytes{0};
    std::vector<std::shared_ptr<read_call>> reads;  //!< reads that aren't sent yet
    std::unique_ptr<http2_session> session;
    connection_phase phase{connection_phase::idle};
    handshake_transcript transcript;
    std::map<std::int32_t, pending_request> in_flight;  //!< by stream id
    milliseconds backoff{0};
    instant retry_at;   //!< earliest time of the next connection attempt
    instant last_used;  //!< time of the last queued message or deadline of the last queued read
};

//! Settings and counters shared by all connections.
struct network_context {
    const peer_network_settings& settings;
    shared_counters& counters;
};

//! Queues a message; drops the oldest ones when the queue is full.
void enqueue(outgoing_peer& peer, queued_message message);

//! Queues a read.
void enqueue(outgoing_peer& peer, std::shared_ptr<read_call> call);

//! Expires reads, then connects, sends queued requests or closes a stalled connection, as is due at
//! `now`.
void advance(outgoing_peer& peer, network_context context, instant now);

//! Handles poll events of the connection.
void handle_events(outgoing_peer& peer, short events, network_context context, instant now);

//! Closes the connection; its reads fail, and a later message opens another one.
void drop_connection(outgoing_peer& peer, instant now);

//! Completes all reads, sent or queued, with an error and discards all outstanding requests.
void fail_reads(outgoing_peer& peer, error_kind kind);

//! True if nothing is queued or outstanding and the peer hasn't been used for 30 s.
bool is_unused(const outgoing_peer& peer, instant now);

}  // namespace cyclamenmount::detail
