//! Encoding of several messages in one body.
#include "peers/internal/batch.h"

#include <cstdint>

namespace cyclamenmount::detail {

namespace {

constexpr int bits_per_byte = 8;

std::uint32_t read_length(std::string_view prefix) {
    std::uint32_t length = 0;
    for (const char byte : prefix) {
        length = (length << bits_per_byte) | static_cast<unsigned char>(byte);
    }
    return length;
}

}  // namespace

void append_message(std::string& body, std::string_view message) {
    const auto length = static_cast<std::uint32_t>(message.size());
    for (int shift = 24; shift >= 0; shift -= bits_per_byte) {
        body.push_back(static_cast<char>(length >> shift));
    }
    body.append(message);
}

result<std::vector<std::string_view>> split_batch(std::string_view body) {
    std::vector<std::string_view> messages;
    while (!body.empty()) {
        if (body.size() < length_prefix_bytes) {
            return error{error_kind::protocol, "batch truncated within a length prefix"};
        }
        const auto length = read_length(body.substr(0, length_prefix_bytes));
        body.remove_prefix(length_prefix_bytes);
        if (body.size() < length) {
            return error{error_kind::protocol, "batch truncated within a message"};
        }
        messages.push_back(body.substr(0, length));
        body.remove_prefix(length);
    }
    return messages;
}

}  // namespace cyclamenmount::detail
