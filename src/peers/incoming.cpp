//! Server side of a peer connection.
#include "peers/internal/incoming.h"

#include "codec/codec.h"
#include "peers/internal/batch.h"
#include "secrets/secrets.h"

#include <glog/logging.h>
#include <poll.h>

namespace cyclamenmount::detail {

namespace {

//! Timeout of an authenticated connection, as a multiple of the setting for missing progress.
//! Clients send heartbeats, so that a live connection doesn't reach it.
constexpr int idle_timeout_factor = 20;

bool on_hello(incoming_peer& peer, const http2_exchange& request, network_context context) {
    const auto hello = decode_hello_request(request.body);
    if (!hello || peer.hello_received) {
        return false;
    }
    peer.hello_received = true;
    peer.transcript.client = hello.value().client;
    peer.transcript.client_nonce = hello.value().nonce;
    peer.transcript.server = context.settings.self.id;
    peer.transcript.server_nonce = make_nonce();
    const hello_reply reply{peer.transcript.server, peer.transcript.server_nonce,
                            server_proof(context.settings.secret, peer.transcript)};
    return peer.session->respond(request.stream, encode_hello(reply));
}

bool on_proof(incoming_peer& peer, const http2_exchange& request, network_context context) {
    const auto expected = client_proof(context.settings.secret, peer.transcript);
    if (!peer.hello_received || !secrets_equal(expected, request.body)) {
        return false;
    }
    peer.authenticated = true;
    peer.session->accept_messages();
    return peer.session->respond(request.stream, {});
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
            LOG(WARNING) << "Peers: received a malformed message from "
                         << peer.transcript.client.value
                         << "; closing the connection: " << message.error().message << ".";
            return false;
        }
        handlers.on_message(peer.transcript.client, std::move(message.value()));
    }
    return peer.session->respond(request.stream, {});
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
        return peer.session->respond(request.stream, handlers.on_read(request.body));
    }
    return false;
}

bool serve(incoming_peer& peer, network_context context, const peer_handlers& handlers,
           instant now) {
    std::vector<http2_exchange> arrived;
    const bool healthy = peer.session->receive(now, arrived);
    for (const auto& request : arrived) {
        if (!on_request(peer, request, context, handlers)) {
            return false;
        }
    }
    return healthy;
}

}  // namespace

bool handle_events(incoming_peer& peer, short events, network_context context,
                   const peer_handlers& handlers, instant now) {
    const bool readable = (events & (POLLIN | POLLERR | POLLHUP)) != 0;
    const bool healthy =
        (!readable || serve(peer, context, handlers, now)) && peer.session->flush(now);
    context.counters.bytes_sent += peer.session->take_sent_bytes();
    context.counters.bytes_received += peer.session->take_received_bytes();
    if (!healthy && !peer.authenticated) {
        ++context.counters.authentication_failures;
        LOG(WARNING) << "Peers: rejected a connection: peer authentication failed.";
    }
    return healthy;
}

bool is_timed_out(const incoming_peer& peer, network_context context, instant now) {
    if (!peer.authenticated) {
        return now - peer.accepted_at > 2 * context.settings.progress_timeout;
    }
    return now - peer.session->last_progress() >
           idle_timeout_factor * context.settings.progress_timeout;
}

}  // namespace cyclamenmount::detail
