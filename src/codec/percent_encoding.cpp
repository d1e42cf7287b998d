#include "codec/percent_encoding.h"

namespace cyclamenmount {

std::string percent_encode(std::string_view text, std::string_view kept) {
    static constexpr std::string_view hex = "0123456789ABCDEF";
    static constexpr std::string_view unreserved =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string encoded;
    for (const char c : text) {
        if (unreserved.find(c) != std::string_view::npos ||
            kept.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += hex[byte >> 4U];
        encoded += hex[byte & 15U];
    }
    return encoded;
}

}  // namespace cyclamenmount
