#include "secrets/secrets.h"

#include <array>
#include <cstdint>
#include <random>
#include <span>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace cyclamenmount {

namespace {

constexpr std::size_t id_bytes = 8;

std::string to_hex(std::span<const unsigned char> bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 0x0FU];
    }
    return text;
}

}  // namespace

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), hash.data(), &length, EVP_sha256(), nullptr);
    return to_hex(std::span(hash).first(length));
}

std::string generate_id() {
    std::array<unsigned char, id_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        std::random_device source;
        for (auto& byte : bytes) {
            byte = static_cast<unsigned char>(source());
        }
    }
    return to_hex(bytes);
}

bool secrets_equal(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace cyclamenmount
