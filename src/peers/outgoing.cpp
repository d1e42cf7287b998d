//! Client side: one connection to each peer address, with a bounded send queue.
#include "peers/internal/outgoing.h"

#include "codec/codec.h"
#include "peers/internal/batch.h"
#include "secrets/secrets.h"

#include <algorithm>

#include <glog/logging.h>
#include <poll.h>

namespace cyclamenmount::detail {

namespace {

constexpr std::size_t max_queued_messages = 512;
constexpr std::size_t max_queued_bytes = std::size_t{8} << 20U;
constexpr std::size_t max_batch_bytes = max_message_bytes + length_prefix_bytes;
constexpr std::size_t max_in_flight_requests = 64;
constexpr milliseconds min_backoff{50};
constexpr milliseconds max_backoff{1000};
constexpr milliseconds unused_peer_timeout{30000};

void drop_oldest(outgoing_peer& peer) {
    peer.queued_bytes -= peer.queue.front().bytes.size();
    peer.queue.pop_front();
}

void fail(const std::shared_ptr<read_call>& call, error_kind kind) {
    call->reply.set_value(error{kind, "no valid reply from the peer"});
}

//! Closes the connection and fails its reads. `advance` reconnects after the backoff if there is
//! anything to send.
void close_connection(outgoing_peer& peer, instant now) {
    peer.session.reset();
    peer.phase = connection_phase::idle;
    fail_reads(peer, error_kind::unreachable);
    peer.backoff = std::clamp(2 * peer.backoff, min_backoff, max_backoff);
    peer.retry_at = now + peer.backoff;
}

void fail_authentication(outgoing_peer& peer, network_context context, instant now) {
    ++context.counters.authentication_failures;
    LOG(WARNING) << "Peers: closed the connection to " << peer.address
                 << ": authentication failed, no valid proof of the secret.";
    close_connection(peer, now);
}

bool send_request(outgoing_peer& peer, std::string_view path, std::string body, instant now,
                  std::shared_ptr<read_call> read = {}) {
    const auto stream = peer.session->request(path, std::move(body));
    if (!stream) {
        return false;
    }
    peer.in_flight[stream.value()] = {now, std::move(read)};
    return true;
}

void start_connection(outgoing_peer& peer, network_context context, instant now) {
    auto socket = connect_to(peer.address);
    if (!socket) {
        close_connection(peer, now);
        return;
    }
    auto session = http2_session::create(std::move(socket.value()), http2_role::client, now);
    if (!session) {
        close_connection(peer, now);
        return;
    }
    peer.session = std::move(session.value());
    peer.phase = connection_phase::connecting;
    peer.in_flight.clear();
    peer.transcript = {};
    peer.transcript.client = context.settings.self.id;
}

void send_hello(outgoing_peer& peer, instant now) {
    peer.phase = connection_phase::hello_sent;
    peer.transcript.client_nonce = make_nonce();
    const hello_request hello{peer.transcript.client, peer.transcript.client_nonce};
    if (!send_request(peer, "/hello", encode_hello(hello), now)) {
        close_connection(peer, now);
    }
}

void on_hello_reply(outgoing_peer& peer, const http2_exchange& response, network_context context,
                    instant now) {
    const auto reply = decode_hello_reply(response.body);
    if (!reply) {
        fail_authentication(peer, context, now);
        return;
    }
    peer.transcript.server = reply.value().server;
    peer.transcript.server_nonce = reply.value().nonce;
    const auto expected = server_proof(context.settings.secret, peer.transcript);
    if (!secrets_equal(expected, reply.value().proof)) {
        fail_authentication(peer, context, now);
        return;
    }
    peer.phase = connection_phase::proof_sent;
    if (!send_request(peer, "/auth", client_proof(context.settings.secret, peer.transcript), now)) {
        close_connection(peer, now);
    }
}

void on_authenticated(outgoing_peer& peer) {
    peer.phase = connection_phase::ready;
    peer.session->accept_messages();
    peer.backoff = 0ms;
    LOG(INFO) << "Peers: connected to " << peer.transcript.server.value << " at " << peer.address
              << ".";
}

//! Removes messages from the queue and returns them as one body. Drops messages that are too old or
//! addressed to another instance than the connected one.
std::string take_batch(outgoing_peer& peer, network_context context, instant now) {
    std::string body;
    while (!peer.queue.empty()) {
        const auto& next = peer.queue.front();
        const bool other_instance = !next.to.empty() && next.to != peer.transcript.server;
        const bool expired = now - next.queued_at > 2 * context.settings.progress_timeout;
        if (other_instance || expired) {
            drop_oldest(peer);
            continue;
        }
        if (body.size() + length_prefix_bytes + next.bytes.size() > max_batch_bytes) {
            break;
        }
        append_message(body, next.bytes);
        ++context.counters.messages_sent;
        drop_oldest(peer);
    }
    return body;
}

void send_queued(outgoing_peer& peer, network_context context, instant now) {
    while (!peer.queue.empty() && peer.in_flight.size() < max_in_flight_requests) {
        std::string body = take_batch(peer, context, now);
        if (!body.empty() && !send_request(peer, "/m", std::move(body), now)) {
            close_connection(peer, now);
            return;
        }
    }
    while (!peer.reads.empty() && peer.in_flight.size() < max_in_flight_requests) {
        const auto call = peer.reads.front();
        peer.reads.erase(peer.reads.begin());
        if (!send_request(peer, "/r", call->query, now, call)) {
            fail(call, error_kind::unreachable);
            close_connection(peer, now);
            return;
        }
    }
}

//! True if the connection attempt or the oldest outstanding request has made no progress within the
//! timeout.
bool is_stalled(const outgoing_peer& peer, milliseconds progress_timeout, instant now) {
    instant last_activity = peer.session->last_progress();
    if (peer.phase != connection_phase::connecting) {
        if (peer.in_flight.empty()) {
            return false;
        }
        last_activity = std::max(last_activity, peer.in_flight.begin()->second.sent_at);
    }
    return now - last_activity >= progress_timeout;
}

void drop_expired_reads(outgoing_peer& peer, instant now) {
    std::erase_if(peer.reads, [&](const std::shared_ptr<read_call>& call) {
        if (now < call->deadline) {
            return false;
        }
        fail(call, error_kind::timeout);
        return true;
    });
}

void on_response(outgoing_peer& peer, const http2_exchange& response, network_context context,
                 instant now) {
    const auto found = peer.in_flight.find(response.stream);
    if (found == peer.in_flight.end()) {
        return;
    }
    const auto read = found->second.read;
    peer.in_flight.erase(found);
    if (response.status / 100 != 2) {
        if (read) {
            fail(read, error_kind::protocol);
        }
        close_connection(peer, now);
    } else if (read) {
        read->reply.set_value(response.body);
    } else if (peer.phase == connection_phase::hello_sent) {
        on_hello_reply(peer, response, context, now);
    } else if (peer.phase == connection_phase::proof_sent) {
        on_authenticated(peer);
    }
}

void add_counts(http2_session& session, shared_counters& counters) {
    counters.bytes_sent += session.take_sent_bytes();
    counters.bytes_received += session.take_received_bytes();
}

bool flush_session(outgoing_peer& peer, network_context context, instant now) {
    const bool healthy = peer.session->flush(now);
    add_counts(*peer.session, context.counters);
    if (!healthy) {
        close_connection(peer, now);
    }
    return healthy;
}

}  // namespace

void enqueue(outgoing_peer& peer, queued_message message) {
    peer.last_used = message.queued_at;
    peer.queued_bytes += message.bytes.size();
    peer.queue.push_back(std::move(message));
    while (peer.queue.size() > max_queued_messages || peer.queued_bytes > max_queued_bytes) {
        drop_oldest(peer);
    }
}

void enqueue(outgoing_peer& peer, std::shared_ptr<read_call> call) {
    peer.last_used = call->deadline;
    peer.reads.push_back(std::move(call));
}

void advance(outgoing_peer& peer, network_context context, instant now) {
    drop_expired_reads(peer, now);
    const bool has_work = !peer.queue.empty() || !peer.reads.empty();
    if (!peer.session && has_work && now >= peer.retry_at) {
        start_connection(peer, context, now);
    }
    if (!peer.session) {
        return;
    }
    if (is_stalled(peer, context.settings.progress_timeout, now)) {
        ++context.counters.connections_replaced;
        LOG(WARNING) << "Peers: connection to " << peer.address
                     << " is silent: no progress within the timeout; reconnecting.";
        close_connection(peer, now);
        return;
    }
    if (peer.phase == connection_phase::ready) {
        send_queued(peer, context, now);
    }
    if (peer.session && peer.phase != connection_phase::connecting) {
        flush_session(peer, context, now);
    }
}

void handle_events(outgoing_peer& peer, short events, network_context context, instant now) {
    if (peer.phase == connection_phase::connecting) {
        if ((events & (POLLOUT | POLLERR | POLLHUP)) == 0) {
            return;
        }
        if (!peer.session->is_connected()) {
            close_connection(peer, now);
            return;
        }
        send_hello(peer, now);
    } else if ((events & (POLLIN | POLLERR | POLLHUP)) != 0) {
        std::vector<http2_exchange> arrived;
        const bool healthy = peer.session->receive(now, arrived);
        add_counts(*peer.session, context.counters);
        for (const auto& response : arrived) {
            if (peer.session) {
                on_response(peer, response, context, now);
            }
        }
        if (!healthy && peer.session) {
            close_connection(peer, now);
        }
    }
    if (peer.session) {
        flush_session(peer, context, now);
    }
}

void drop_connection(outgoing_peer& peer, instant now) {
    close_connection(peer, now);
}

void fail_reads(outgoing_peer& peer, error_kind kind) {
    for (auto& [stream, pending] : peer.in_flight) {
        if (pending.read) {
            fail(pending.read, kind);
        }
    }
    peer.in_flight.clear();
    for (const auto& call : peer.reads) {
        fail(call, kind);
    }
    peer.reads.clear();
}

bool is_unused(const outgoing_peer& peer, instant now) {
    return peer.queue.empty() && peer.reads.empty() && peer.in_flight.empty() &&
           now - peer.last_used > unused_peer_timeout;
}

}  // namespace cyclamenmount::detail
