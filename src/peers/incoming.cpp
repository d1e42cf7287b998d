//! The server's side of a connection.
#include "peers/internal/incoming.h"

#include "codec/codec.h"
#include "peers/internal/batch.h"
#include "secrets/secrets.h"

#include <glog/logging.h>
#include <poll.h>

namespace cyclamenmount::detail {

namespace {

constexpr int silences_before_stale = 20;  // of `settings.silence`; clients send heartbeats

bool on_hello(incoming_peer& peer, const http2_exchange& request, network_context context) {
    const auto hello = decode_hello_request(request.body);
    if (!hello || peer.greeted) {
        return false;
    }
    peer.greeted = true;
    peer.agreed.client = hello.value().client;
    peer.agreed.client_nonce = hello.value().nonce;
    peer.agreed.server = context.settings.self.id;
    peer.agreed.server_nonce = make_nonce();
    const hello_reply reply{peer.agreed.server, peer.agreed.server_nonce,
                            server_proof(context.settings.secret, peer.agreed)};
    return peer.link->respond(request.stream, encode_hello(reply));
}

bool on_proof(incoming_peer& peer, const http2_exchange& request, network_context context) {
    const auto expected = client_proof(context.settings.secret, peer.agreed);
    if (!peer.greeted || !same_secret(expected, request.body)) {
        return false;
    }
    peer.authenticated = true;
    return peer.link->respond(request.stream, {});
}

bool on_messages(incoming_peer& peer, const http2_exchange& request,
                 const peer_handlers& handlers) {
    const auto batch = split_batch(request.body);
    if (!batch) {
        return false;
    }
    for (const auto bytes : batch.value()) {
        auto message = decode_message(bytes);
        if (!message) {
            LOG(WARNING) << "Peers: malformed message from " << peer.agreed.client.value << ": "
                         << message.error().message << ".";
            return false;
        }
        handlers.on_message(peer.agreed.client, std::move(message.value()));
    }
    return peer.link->respond(request.stream, {});
}

bool on_request(incoming_peer& peer, const http2_exchange& request, network_context context,
                const peer_handlers& handlers) {
    if (request.path == "/hello") {
        return on_hello(peer, request, context);
    }
    if (request.path == "/auth") {
        return on_proof(peer, request, context);
    }
    if (!peer.authenticated) {
        return false;
    }
    if (request.path == "/m") {
        return on_messages(peer, request, handlers);
    }
    if (request.path == "/r") {
        return peer.link->respond(request.stream, handlers.on_read(request.body));
    }
    return false;
}

bool serve(incoming_peer& peer, network_context context, const peer_handlers& handlers,
           instant now) {
    std::vector<http2_exchange> arrived;
    const bool whole = peer.link->receive(now, arrived);
    for (const auto& request : arrived) {
        if (!on_request(peer, request, context, handlers)) {
            return false;
        }
    }
    return whole;
}

}  // namespace

bool handle_events(incoming_peer& peer, short events, network_context context,
                   const peer_handlers& handlers, instant now) {
    const bool readable = (events & (POLLIN | POLLERR | POLLHUP)) != 0;
    const bool whole = (!readable || serve(peer, context, handlers, now)) && peer.link->flush(now);
    context.counters.bytes_sent += peer.link->take_sent_bytes();
    context.counters.bytes_received += peer.link->take_received_bytes();
    if (!whole && !peer.authenticated) {
        ++context.counters.strangers_refused;
        LOG(WARNING) << "Peers: closed the connection of a stranger.";
    }
    return whole;
}

bool is_stale(const incoming_peer& peer, network_context context, instant now) {
    if (!peer.authenticated) {
        return now - peer.since > 2 * context.settings.silence;
    }
    return now - peer.link->last_progress() > silences_before_stale * context.settings.silence;
}

}  // namespace cyclamenmount::detail
