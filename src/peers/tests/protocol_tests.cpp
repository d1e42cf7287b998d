//! Encoding of the handshake and of message batches.
#include "peers/internal/batch.h"
#include "peers/internal/handshake.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;
using namespace cyclamenmount::detail;

TEST_GROUP(peer_protocol){};

TEST(peer_protocol, proofs_depend_on_secret_role_ids_and_server_nonce) {
    const handshake_transcript transcript{{"a"}, {"b"}, std::string(32, 'c'), std::string(32, 's')};
    const auto proof = client_proof("secret", transcript);
    CHECK_FALSE(proof == server_proof("secret", transcript));
    CHECK_FALSE(proof == client_proof("other", transcript));
    auto changed = transcript;
    changed.client.value = "x";
    CHECK_FALSE(proof == client_proof("secret", changed));
    changed = transcript;
    changed.server.value = "x";
    CHECK_FALSE(proof == client_proof("secret", changed));
    changed = transcript;
    changed.server_nonce = make_nonce();
    CHECK_FALSE(proof == client_proof("secret", changed));
    changed = transcript;
    std::swap(changed.client.value, changed.server.value);
    CHECK_FALSE(proof == client_proof("secret", changed));
}

TEST(peer_protocol, malformed_hellos_are_errors) {
    const auto good = encode_hello(hello_request{{"a"}, make_nonce()});
    CHECK_TRUE(decode_hello_request(good).has_value());
    const std::string cases[] = {
        "",
        good.substr(1),
        good.substr(0, good.size() - 1),
        good + "x",
        encode_hello(hello_request{{""}, make_nonce()}),
        encode_hello(hello_request{{"a"}, "short"}),
        std::string(64, '\xff'),
    };
    for (const auto& bytes : cases) {
        CHECK_FALSE(decode_hello_request(bytes).has_value());
    }
    CHECK_FALSE(decode_hello_reply(good).has_value());
}

TEST(peer_protocol, batches_survive_a_round_trip_and_truncated_ones_are_rejected) {
    std::string body;
    append_message(body, "one");
    append_message(body, "");
    append_message(body, std::string(70000, 'x'));
    const auto split = split_batch(body);
    CHECK_TRUE(split.has_value());
    LONGS_EQUAL(3, split.value().size());
    LONGS_EQUAL(70000, split.value()[2].size());
    for (const std::size_t kept : {1U, 3U, 5U, 9U, 20U}) {
        CHECK_FALSE(split_batch(body.substr(0, kept)).has_value());
    }
}
