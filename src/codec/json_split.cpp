#include "codec/json_split.h"

#include <algorithm>
#include <cstddef>

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
