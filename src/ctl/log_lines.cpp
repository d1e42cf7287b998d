#include "ctl/internal/log_lines.h"

#include <charconv>
#include <ctime>
#include <vector>

namespace cyclamenmount::detail {

namespace {

struct token {
    std::string_view text;
    std::size_t position{0};
};

//! Splits a line at spaces outside of quotes.
std::vector<token> split(std::string_view line) {
    std::vector<token> tokens;
    std::size_t begin = 0;
    bool is_quoted = false;
    for (std::size_t i = 0; i <= line.size(); ++i) {
        const bool is_end = i == line.size() || (line[i] == ' ' && !is_quoted);
        if (is_end) {
            if (i > begin) {
                tokens.push_back({line.substr(begin, i - begin), begin});
            }
            begin = i + 1;
        } else if (line[i] == '"' && (i == 0 || line[i - 1] != '\\')) {
            is_quoted = !is_quoted;
        }
    }
    return tokens;
}

std::optional<double> parse_number(std::string_view text) {
    double value = 0;
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failed != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

//! Parses a number of seconds, or a UTC time such as 2026-12-04T09:11:09.123Z.
std::optional<double> parse_time(std::string_view text) {
    tm calendar{};
    const std::string copy(text);
    const char* const rest = strptime(copy.c_str(), "%Y-%m-%dT%H:%M:%S", &calendar);
    if (rest == nullptr) {
        return parse_number(text);
    }
    std::string_view fraction(rest);
    if (fraction.ends_with('Z')) {
        fraction.remove_suffix(1);
    }
    const double fraction_seconds =
        fraction.empty() ? 0 : parse_number("0" + std::string(fraction)).value_or(0);
    return static_cast<double>(timegm(&calendar)) + fraction_seconds;
}

//! The value without its quotes and backslashes.
std::string unquoted(std::string_view value) {
    if (value.size() < 2 || value.front() != '"') {
        return std::string(value);
    }
    std::string plain;
    for (std::size_t i = 1; i + 1 < value.size(); ++i) {
        if (value[i] == '\\' && i + 2 < value.size()) {
            ++i;
        }
        plain += value[i];
    }
    return plain;
}

}  // namespace

std::optional<log_line> parse_log_line(std::string_view line, std::string_view log_name) {
    const std::vector<token> tokens = split(line);
    std::size_t first_field = 0;
    while (first_field < tokens.size() &&
           tokens[first_field].text.find('=') == std::string_view::npos) {
        ++first_field;
    }
    if (first_field < 2) {
        return std::nullopt;
    }
    std::optional<double> seconds;
    log_line parsed;
    parsed.instance = log_name;
    for (std::size_t i = 0; i + 1 < first_field; ++i) {
        if (const auto time = parse_time(tokens[i].text)) {
            seconds = time;
        } else {
            parsed.instance = tokens[i].text;
        }
    }
    if (!seconds) {
        return std::nullopt;
    }
    parsed.seconds = *seconds;
    parsed.event = tokens[first_field - 1].text;
    parsed.text = line.substr(tokens[first_field - 1].position);
    for (std::size_t i = first_field; i < tokens.size(); ++i) {
        const auto equals = tokens[i].text.find('=');
        if (equals != std::string_view::npos) {
            parsed.fields[std::string(tokens[i].text.substr(0, equals))] =
                unquoted(tokens[i].text.substr(equals + 1));
        }
    }
    return parsed;
}

double number_of(const log_line& line, const std::string& field) {
    const auto found = line.fields.find(field);
    return found == line.fields.end() ? 0 : parse_number(found->second).value_or(0);
}

}  // namespace cyclamenmount::detail
