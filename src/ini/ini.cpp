#include "ini/ini.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstring>

#include <ini.h>

namespace cyclamenmount {

namespace {

constexpr std::size_t max_name_length = 64;

std::string_view trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    const auto last = text.find_last_not_of(" \t\r\n");
    return text.substr(first, last - first + 1);
}

//! Input of inih, one line at a time, and the entries read. Lines that inih would skip or cut
//! without an error are reported before they reach it.
struct line_source {
    std::string_view rest;
    int line{0};  //!< number of the current line, from 1
    ini_check check;
    std::vector<ini_entry> entries;
};

//! True for a blank line, comment, section or entry.
bool is_valid_line(std::string_view raw) {
    const auto line = trimmed(raw);
    if (line.empty() || line.front() == ';' || line.front() == '#') {
        return true;
    }
    if (line.front() == '[') {
        return line.find(']') != std::string_view::npos;
    }
    const auto separator = line.find_first_of("=:");
    return separator != std::string_view::npos && separator > 0;
}

//! Reader callback of inih: copies the next line to `buffer`, or an empty one if it is invalid.
char* next_line(char* buffer, int size, void* context) {
    auto& source = *static_cast<line_source*>(context);
    if (source.rest.empty()) {
        return nullptr;
    }
    const auto end = source.rest.find('\n');
    const auto length = end == std::string_view::npos ? source.rest.size() : end + 1;
    const auto line = source.rest.substr(0, length);
    source.rest.remove_prefix(length);
    ++source.line;
    const auto place = ini_entry{"", "", "", source.line};
    std::string_view accepted = line;
    if (line.size() + 1 > static_cast<std::size_t>(size)) {
        source.check.report(place, "the line is too long");
        accepted = "\n";
    } else if (line.find('\0') != std::string_view::npos || !is_valid_line(line)) {
        source.check.report(place, "expected [section], name = value or a comment");
        accepted = "\n";
    }
    std::memcpy(buffer, accepted.data(), accepted.size());
    buffer[accepted.size()] = '\0';
    return buffer;
}

//! Entry callback of inih.
int add_entry(void* context, const char* section, const char* name, const char* value) {
    auto& source = *static_cast<line_source*>(context);
    source.entries.push_back({section, name, value, source.line});
    return 1;
}

}  // namespace

void ini_check::report(const ini_entry& at, std::string message) {
    found.push_back({file, at.line, std::move(message)});
}

checked<std::vector<ini_entry>> read_ini(std::string_view text, std::string_view file) {
    line_source source;
    source.rest = text;
    source.check.file = std::string(file);
    const int failed_line = ini_parse_stream(&next_line, &source, &add_entry, &source);
    if (failed_line != 0 && source.check.found.empty()) {
        source.check.report({"", "", "", std::max(failed_line, 0)}, "the line can't be read");
    }
    if (!source.check.found.empty()) {
        return source.check.found;
    }
    return std::move(source.entries);
}

std::optional<std::string> section_name(const ini_entry& entry, std::string_view kind) {
    const std::string_view section = entry.section;
    if (!section.starts_with(kind) || section.size() <= kind.size() + 1 ||
        section[kind.size()] != ' ') {
        return std::nullopt;
    }
    return std::string(trimmed(section.substr(kind.size() + 1)));
}

int parse_integer(ini_check& check, const ini_entry& entry, int low, int high, int fallback) {
    int value = 0;
    const char* const end = entry.value.data() + entry.value.size();
    const auto [stopped, failure] = std::from_chars(entry.value.data(), end, value);
    if (failure != std::errc{} || stopped != end || value < low || value > high) {
        check.report(entry, entry.name + " must be a whole number from " + std::to_string(low) +
                                " to " + std::to_string(high));
        return fallback;
    }
    return value;
}

double parse_decimal(ini_check& check, const ini_entry& entry, double low, double high,
                     double fallback) {
    double value = 0;
    const char* const end = entry.value.data() + entry.value.size();
    const auto [stopped, failure] = std::from_chars(entry.value.data(), end, value);
    const bool parsed = failure == std::errc{} && stopped == end && std::isfinite(value);
    if (!parsed || value < low || value > high) {
        check.report(entry, entry.name + " must be a number from " +
                                std::to_string(static_cast<long long>(low)) + " to " +
                                std::to_string(static_cast<long long>(high)));
        return fallback;
    }
    return value;
}

bool parse_yes_no(ini_check& check, const ini_entry& entry) {
    if (entry.value != "yes" && entry.value != "no") {
        check.report(entry, entry.name + " must be yes or no");
    }
    return entry.value == "yes";
}

std::vector<std::string> split_commas(std::string_view value) {
    std::vector<std::string> parts;
    while (!value.empty()) {
        const auto comma = value.find(',');
        const auto part = trimmed(value.substr(0, comma));
        if (!part.empty()) {
            parts.emplace_back(part);
        }
        if (comma == std::string_view::npos) {
            break;
        }
        value.remove_prefix(comma + 1);
    }
    return parts;
}

bool check_name(ini_check& check, const ini_entry& entry, std::string_view value) {
    const auto is_allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    };
    if (value.empty() || value.size() > max_name_length ||
        !std::ranges::all_of(value, is_allowed)) {
        check.report(entry, "'" + std::string(value) +
                                "' is not a name of 1 to 64 letters, digits, '-', '_' or '.'");
        return false;
    }
    return true;
}

}  // namespace cyclamenmount
