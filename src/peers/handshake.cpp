//! Mutual authentication with the shared secret at the start of a connection.
#include "peers/internal/handshake.h"

#include <array>
#include <vector>

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace cyclamenmount::detail {

namespace {

constexpr std::size_t max_field_bytes = 255;

//! Prefixes each field with its length, so that different lists never encode to the same bytes.
std::string join(const std::vector<std::string_view>& fields) {
    std::string out;
    for (const auto field : fields) {
        out.push_back(static_cast<char>(field.size()));
        out.append(field);
    }
    return out;
}

//! Decodes fields encoded by `join`; empty if the bytes don't hold exactly `count` fields.
std::vector<std::string> split(std::string_view bytes, std::size_t count) {
    std::vector<std::string> fields;
    while (!bytes.empty()) {
        const auto size = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        if (bytes.size() < size) {
            return {};
        }
        fields.emplace_back(bytes.substr(0, size));
        bytes.remove_prefix(size);
    }
    return fields.size() == count ? fields : std::vector<std::string>{};
}

std::string proof(const std::string& secret, std::string_view role,
                  const handshake_transcript& transcript) {
    const std::string text = join({role, transcript.client.value, transcript.server.value,
                                   transcript.client_nonce, transcript.server_nonce});
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &size);
    return {reinterpret_cast<const char*>(digest.data()), size};
}

error malformed() {
    return {error_kind::protocol, "malformed handshake message"};
}

bool is_valid(const std::string& id, const std::string& nonce) {
    return !id.empty() && id.size() <= max_field_bytes && nonce.size() == nonce_bytes;
}

}  // namespace

std::string make_nonce() {
    std::string nonce(nonce_bytes, '\0');
    RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), static_cast<int>(nonce.size()));
    return nonce;
}

std::string client_proof(const std::string& secret, const handshake_transcript& transcript) {
    return proof(secret, "client", transcript);
}

std::string server_proof(const std::string& secret, const handshake_transcript& transcript) {
    return proof(secret, "server", transcript);
}

std::string encode_hello(const hello_request& request) {
    return join({request.client.value, request.nonce});
}

std::string encode_hello(const hello_reply& reply) {
    return join({reply.server.value, reply.nonce, reply.proof});
}

result<hello_request> decode_hello_request(std::string_view bytes) {
    const auto fields = split(bytes, 2);
    if (fields.empty() || !is_valid(fields[0], fields[1])) {
        return malformed();
    }
    return hello_request{{fields[0]}, fields[1]};
}

result<hello_reply> decode_hello_reply(std::string_view bytes) {
    const auto fields = split(bytes, 3);
    if (fields.empty() || !is_valid(fields[0], fields[1])) {
        return malformed();
    }
    return hello_reply{{fields[0]}, fields[1], fields[2]};
}

}  // namespace cyclamenmount::detail
