//! Framing of HTTP/1.1 messages: how the length of a body is told (RFC 9112, sections 6.1 to 6.3).
#pragma once

#include <string_view>

namespace cyclamenmount {

//! What the head of a message says of the length of its body.
struct message_framing {
    int version_minor{1};       //!< of HTTP/1
    int transfer_encodings{0};  //!< number of Transfer-Encoding fields
    bool is_chunked{false};     //!< the value of the last of them is the coding `chunked` alone
    bool has_length{false};     //!< there is a Content-Length field
};

namespace detail {

constexpr bool is_field_space(char character) {
    return character == ' ' || character == '\t';
}

//! `lowercase` is compared without regard to case.
constexpr bool equals_token(std::string_view text, std::string_view lowercase) {
    if (text.size() != lowercase.size()) {
        return false;
    }
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char character = text[at];
        const bool is_upper = character >= 'A' && character <= 'Z';
        if ((is_upper ? static_cast<char>(character - 'A' + 'a') : character) != lowercase[at]) {
            return false;
        }
    }
    return true;
}

}  // namespace detail

//! Adds a Transfer-Encoding field.
constexpr void add_transfer_encoding(message_framing& framing, std::string_view value) {
    while (!value.empty() && detail::is_field_space(value.front())) {
        value.remove_prefix(1);
    }
    while (!value.empty() && detail::is_field_space(value.back())) {
        value.remove_suffix(1);
    }
    ++framing.transfer_encodings;
    framing.is_chunked = detail::equals_token(value, "chunked");
}

//! True if all recipients agree on where the message ends. Without a Transfer-Encoding that is left
//! to the parser of the Content-Length. A Transfer-Encoding must be `chunked` alone: no other
//! coding is implemented, and a message that is passed on without decoding it would have another
//! body. One beside a Content-Length, or in HTTP/1.0, is an attempt to hide a request in the body
//! of another one (section 11.2) or the work of a faulty intermediary.
constexpr bool is_well_framed(const message_framing& framing) {
    if (framing.transfer_encodings == 0) {
        return true;
    }
    return framing.transfer_encodings == 1 && framing.is_chunked && !framing.has_length &&
           framing.version_minor >= 1;
}

}  // namespace cyclamenmount
