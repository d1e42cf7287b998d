#include "codec/json_split.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <iterator>

namespace cyclamenmount {

namespace {

constexpr std::string_view white_space = " \t\r\n";

std::string_view trim(std::string_view text) {
    const auto first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

//! Calls `visit(position, depth)` for each character outside of strings. An opening bracket has the
//! depth outside of it, and so has its closing one.
template <typename Visitor>
void scan(std::string_view text, Visitor visit) {
    bool is_in_string = false;
    int depth = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (is_in_string) {
            if (c == '\\') {
                ++i;
            } else if (c == '"') {
                is_in_string = false;
            }
            continue;
        }
        is_in_string = c == '"';
        const bool is_closing = c == ']' || c == '}';
        depth -= is_closing ? 1 : 0;
        visit(i, depth);
        depth += c == '[' || c == '{' ? 1 : 0;
    }
}

//! Parts of a bracketed text between its commas; empty unless it has these brackets.
std::vector<std::string_view> split_bracketed(std::string_view text, char open, char close) {
    text = trim(text);
    if (text.size() < 2 || text.front() != open || text.back() != close) {
        return {};
    }
    const std::string_view inner = trim(text.substr(1, text.size() - 2));
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    scan(inner, [&](std::size_t position, int depth) {
        if (depth == 0 && inner[position] == ',') {
            parts.push_back(trim(inner.substr(begin, position - begin)));
            begin = position + 1;
        }
    });
    if (!inner.empty()) {
        parts.push_back(trim(inner.substr(begin)));
    }
    return parts;
}

//! Characters that may follow a backslash, and what they stand for.
constexpr std::string_view escapes = "\"\\/bfnrt";
constexpr std::string_view escaped = "\"\\/\b\f\n\r\t";

constexpr std::uint32_t first_high_surrogate = 0xD800;
constexpr std::uint32_t first_low_surrogate = 0xDC00;
constexpr std::uint32_t end_of_surrogates = 0xE000;

//! Takes `uXXXX` from the front of the text; none, and the text is unchanged, if it isn't there.
std::optional<std::uint32_t> take_code_unit(std::string_view& text) {
    constexpr std::size_t size = 5;
    if (text.size() < size || text.front() != 'u') {
        return std::nullopt;
    }
    std::uint32_t unit = 0;
    const char* const end = text.data() + size;
    const auto parsed = std::from_chars(text.data() + 1, end, unit, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    text.remove_prefix(size);
    return unit;
}

//! Takes `uXXXX`, or the pair `uXXXX\uXXXX` of two surrogates, from the front of the text.
std::optional<std::uint32_t> take_code_point(std::string_view& text) {
    constexpr std::uint32_t first_beyond_16_bits = 0x10000;
    constexpr unsigned surrogate_bits = 10;
    const auto first = take_code_unit(text);
    const bool is_high = first && *first >= first_high_surrogate && *first < first_low_surrogate;
    if (!is_high || !text.starts_with('\\')) {
        return first;
    }
    std::string_view rest = text.substr(1);
    const auto second = take_code_unit(rest);
    if (!second || *second < first_low_surrogate || *second >= end_of_surrogates) {
        return first;
    }
    text = rest;
    return first_beyond_16_bits + ((*first - first_high_surrogate) << surrogate_bits) +
           (*second - first_low_surrogate);
}

//! Appends the bytes of a code point, also those of a surrogate.
void append_utf8(std::string& bytes, std::uint32_t code_point) {
    constexpr std::uint32_t ends[] = {0x80, 0x800, 0x10000};
    constexpr std::uint32_t leads[] = {0x00, 0xC0, 0xE0, 0xF0};
    constexpr unsigned bits = 6;
    unsigned following = 0;
    while (following < std::size(ends) && code_point >= ends[following]) {
        ++following;
    }
    bytes += static_cast<char>(leads[following] | (code_point >> (bits * following)));
    while (following > 0) {
        --following;
        bytes += static_cast<char>(0x80U | ((code_point >> (bits * following)) & 0x3FU));
    }
}

}  // namespace

int json_depth(std::string_view text) {
    int deepest = 0;
    scan(text, [&](std::size_t position, int depth) {
        const bool is_opening = text[position] == '[' || text[position] == '{';
        deepest = std::max(deepest, depth + (is_opening ? 1 : 0));
    });
    return deepest;
}

std::vector<json_member> split_json_object(std::string_view text) {
    std::vector<json_member> members;
    for (const std::string_view part : split_bracketed(text, '{', '}')) {
        std::size_t colon = std::string_view::npos;
        scan(part, [&](std::size_t position, int /*depth*/) {
            if (part[position] == ':' && colon == std::string_view::npos) {
                colon = position;
            }
        });
        const std::string_view key = trim(part.substr(0, colon));
        if (colon == std::string_view::npos || key.size() < 2 || key.front() != '"') {
            continue;
        }
        members.push_back({key.substr(1, key.size() - 2), trim(part.substr(colon + 1))});
    }
    return members;
}

std::vector<std::string_view> split_json_array(std::string_view text) {
    return split_bracketed(text, '[', ']');
}

std::optional<std::string> decode_string_bytes(std::string_view text) {
    text = trim(text);
    if (text.size() < 2 || text.front() != '"' || text.back() != '"') {
        return std::nullopt;
    }
    text = text.substr(1, text.size() - 2);
    std::string bytes;
    while (!text.empty()) {
        if (text.front() != '\\') {
            bytes += text.front();
            text.remove_prefix(1);
            continue;
        }
        text.remove_prefix(1);
        if (text.starts_with('u')) {
            const auto code_point = take_code_point(text);
            if (!code_point) {
                return std::nullopt;
            }
            append_utf8(bytes, *code_point);
            continue;
        }
        const auto escape = text.empty() ? std::string_view::npos : escapes.find(text.front());
        if (escape == std::string_view::npos) {
            return std::nullopt;
        }
        bytes += escaped[escape];
        text.remove_prefix(1);
    }
    return bytes;
}

std::optional<nlohmann::json> parse_bounded_json(std::string_view text) {
    if (json_depth(text) > max_json_depth) {
        return std::nullopt;
    }
    nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return std::nullopt;
    }
    return value;
}

}  // namespace cyclamenmount
