#include "standins/upstream/work_text.h"

#include <array>
#include <charconv>

namespace cyclamenmount::standins {

namespace {

constexpr std::size_t echoed_input_bytes = 512;
constexpr std::size_t prefix_bytes = 64;
constexpr std::uint64_t vocabulary_size = 50000;

std::uint64_t fnv1a(std::string_view text) {
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 1099511628211ULL;
    }
    return hash;
}

std::uint64_t mix(std::uint64_t value) {
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::string to_base(std::uint64_t value, int base) {
    std::array<char, 65> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, base).ptr;
    return {buffer.data(), end};
}

}  // namespace

std::string token_of(std::string_view input, int index) {
    const std::uint64_t hash = mix(fnv1a(input) + static_cast<std::uint64_t>(index));
    return to_base(hash % vocabulary_size, 36) + " ";
}

std::string output_of(std::string_view pool, std::string_view input) {
    std::string output(input.substr(0, echoed_input_bytes));
    output += " |";
    output += pool;
    output += ":";
    output += to_base(fnv1a(input), 16);
    return output;
}

std::string mark_of(std::string_view input) {
    const std::size_t begin = input.find("mark=");
    if (begin == std::string_view::npos) {
        return {};
    }
    const std::string_view rest = input.substr(begin);
    return std::string(rest.substr(0, rest.find_first_of(" \"")));
}

std::uint64_t prefix_of(std::string_view input) {
    return fnv1a(input.substr(0, prefix_bytes));
}

}  // namespace cyclamenmount::standins
