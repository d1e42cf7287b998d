//! The client's side: one connection to each peer address, with a bounded queue in front.
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
constexpr std::size_t max_batch_bytes = max_message_bytes + message_prefix_bytes;
constexpr std::size_t max_in_flight = 64;  // requests
constexpr milliseconds first_backoff{50};
constexpr milliseconds longest_backoff{1000};
constexpr milliseconds unused_after{30000};

void drop_oldest(outgoing_peer& peer) {
    peer.queued_bytes -= peer.queue.front().bytes.size();
    peer.queue.pop_front();
}

void fail(const std::shared_ptr<read_call>& call, error_kind kind) {
    call->answer.set_value(error{kind, "no answer from the peer"});
}

//! Drops the connection; a new one follows after the backoff if there is work.
void close_link(outgoing_peer& peer, instant now) {
    peer.link.reset();
    peer.phase = link_phase::idle;
    fail_reads(peer, error_kind::unreachable);
    peer.backoff = std::clamp(2 * peer.backoff, first_backoff, longest_backoff);
    peer.retry_at = now + peer.backoff;
}

void refuse_stranger(outgoing_peer& peer, network_context context, instant now) {
    ++context.counters.strangers_refused;
    LOG(WARNING) << "Peers: " << peer.address << " doesn't prove the secret.";
    close_link(peer, now);
}

bool send_request(outgoing_peer& peer, std::string_view path, std::string body, instant now,
                  std::shared_ptr<read_call> read = {}) {
    const auto stream = peer.link->request(path, std::move(body));
    if (!stream) {
        return false;
    }
    peer.in_flight[stream.value()] = {now, std::move(read)};
    return true;
}

void start_link(outgoing_peer& peer, network_context context, instant now) {
    auto socket = connect_to(peer.address);
    if (!socket) {
        close_link(peer, now);
        return;
    }
    auto link = http2_session::create(std::move(socket.value()), http2_role::client, now);
    if (!link) {
        close_link(peer, now);
        return;
    }
    peer.link = std::move(link.value());
    peer.phase = link_phase::connecting;
    peer.in_flight.clear();
    peer.agreed = {};
    peer.agreed.client = context.settings.self.id;
}

void greet(outgoing_peer& peer, instant now) {
    peer.phase = link_phase::greeting;
    peer.agreed.client_nonce = make_nonce();
    const hello_request hello{peer.agreed.client, peer.agreed.client_nonce};
    if (!send_request(peer, "/hello", encode_hello(hello), now)) {
        close_link(peer, now);
    }
}

void on_greeted(outgoing_peer& peer, const http2_exchange& response, network_context context,
                instant now) {
    const auto reply = decode_hello_reply(response.body);
    if (!reply) {
        refuse_stranger(peer, context, now);
        return;
    }
    peer.agreed.server = reply.value().server;
    peer.agreed.server_nonce = reply.value().nonce;
    const auto expected = server_proof(context.settings.secret, peer.agreed);
    if (!same_secret(expected, reply.value().proof)) {
        refuse_stranger(peer, context, now);
        return;
    }
    peer.phase = link_phase::proving;
    if (!send_request(peer, "/auth", client_proof(context.settings.secret, peer.agreed), now)) {
        close_link(peer, now);
    }
}

void on_proved(outgoing_peer& peer) {
    peer.phase = link_phase::ready;
    peer.backoff = 0ms;
    LOG(INFO) << "Peers: connected to " << peer.agreed.server.value << " at " << peer.address
              << ".";
}

//! Next messages that are for this process and not too old, as one body.
std::string take_batch(outgoing_peer& peer, network_context context, instant now) {
    std::string body;
    while (!peer.queue.empty()) {
        const auto& next = peer.queue.front();
        const bool other = !next.to.empty() && next.to != peer.agreed.server;
        const bool stale = now - next.at > 2 * context.settings.silence;
        if (other || stale) {
            drop_oldest(peer);
            continue;
        }
        if (body.size() + message_prefix_bytes + next.bytes.size() > max_batch_bytes) {
            break;
        }
        append_message(body, next.bytes);
        ++context.counters.messages_sent;
        drop_oldest(peer);
    }
    return body;
}

void send_queued(outgoing_peer& peer, network_context context, instant now) {
    while (!peer.queue.empty() && peer.in_flight.size() < max_in_flight) {
        std::string body = take_batch(peer, context, now);
        if (!body.empty() && !send_request(peer, "/m", std::move(body), now)) {
            close_link(peer, now);
            return;
        }
    }
    while (!peer.reads.empty() && peer.in_flight.size() < max_in_flight) {
        const auto call = peer.reads.front();
        peer.reads.erase(peer.reads.begin());
        if (!send_request(peer, "/r", call->query, now, call)) {
            fail(call, error_kind::unreachable);
            close_link(peer, now);
            return;
        }
    }
}

//! True if the other end owes something and nothing has moved for too long.
bool is_link_silent(const outgoing_peer& peer, milliseconds silence, instant now) {
    instant since = peer.link->last_progress();
    if (peer.phase != link_phase::connecting) {
        if (peer.in_flight.empty()) {
            return false;
        }
        since = std::max(since, peer.in_flight.begin()->second.sent_at);
    }
    return now - since >= silence;
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
        close_link(peer, now);
    } else if (read) {
        read->answer.set_value(response.body);
    } else if (peer.phase == link_phase::greeting) {
        on_greeted(peer, response, context, now);
    } else if (peer.phase == link_phase::proving) {
        on_proved(peer);
    }
}

void add_counts(http2_session& link, shared_counters& counters) {
    counters.bytes_sent += link.take_sent_bytes();
    counters.bytes_received += link.take_received_bytes();
}

bool flush_link(outgoing_peer& peer, network_context context, instant now) {
    const bool whole = peer.link->flush(now);
    add_counts(*peer.link, context.counters);
    if (!whole) {
        close_link(peer, now);
    }
    return whole;
}

}  // namespace

void enqueue(outgoing_peer& peer, queued_message message) {
    peer.last_used = message.at;
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
    if (!peer.link && has_work && now >= peer.retry_at) {
        start_link(peer, context, now);
    }
    if (!peer.link) {
        return;
    }
    if (is_link_silent(peer, context.settings.silence, now)) {
        ++context.counters.connections_replaced;
        LOG(WARNING) << "Peers: connection to " << peer.address << " is silent, replacing it.";
        close_link(peer, now);
        return;
    }
    if (peer.phase == link_phase::ready) {
        send_queued(peer, context, now);
    }
    if (peer.link && peer.phase != link_phase::connecting) {
        flush_link(peer, context, now);
    }
}

void handle_events(outgoing_peer& peer, short events, network_context context, instant now) {
    if (peer.phase == link_phase::connecting) {
        if ((events & (POLLOUT | POLLERR | POLLHUP)) == 0) {
            return;
        }
        if (!peer.link->is_connected()) {
            close_link(peer, now);
            return;
        }
        greet(peer, now);
    } else if ((events & (POLLIN | POLLERR | POLLHUP)) != 0) {
        std::vector<http2_exchange> arrived;
        const bool whole = peer.link->receive(now, arrived);
        add_counts(*peer.link, context.counters);
        for (const auto& response : arrived) {
            if (peer.link) {
                on_response(peer, response, context, now);
            }
        }
        if (!whole && peer.link) {
            close_link(peer, now);
        }
    }
    if (peer.link) {
        flush_link(peer, context, now);
    }
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
           now - peer.last_used > unused_after;
}

}  // namespace cyclamenmount::detail
