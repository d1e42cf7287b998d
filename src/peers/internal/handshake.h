//! Mutual authentication with the shared secret at the start of a connection; the secret isn't
//! sent.
//!
//! The client sends its id and a nonce. The server replies with its id, a nonce and a proof over
//! both ids and nonces. The client checks the proof and sends its own. Each proof is an HMAC-SHA256
//! that covers the sender's role, so that a server's proof can't be replayed as a client's.
#pragma once

#include "types/errors.h"
#include "types/ids.h"

#include <string>
#include <string_view>

namespace cyclamenmount::detail {

//! Ids and nonces of both sides, covered by both proofs.
struct handshake_transcript {
    instance_id client;
    instance_id server;
    std::string client_nonce;
    std::string server_nonce;
};

struct hello_request {
    instance_id client;
    std::string nonce;
};

struct hello_reply {
    instance_id server;
    std::string nonce;
    std::string proof;
};

inline constexpr std::size_t nonce_bytes = 32;

std::string make_nonce();

std::string client_proof(const std::string& secret, const handshake_transcript& transcript);
std::string server_proof(const std::string& secret, const handshake_transcript& transcript);

std::string encode_hello(const hello_request& request);
std::string encode_hello(const hello_reply& reply);
result<hello_request> decode_hello_request(std::string_view bytes);
result<hello_reply> decode_hello_reply(std::string_view bytes);

}  // namespace cyclamenmount::detail
