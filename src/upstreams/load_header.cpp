#include "upstreams/internal/load_header.h"

#include <charconv>
#include <map>

namespace cyclamenmount::detail {

namespace {

constexpr int largest_count = 1'000'000;

std::optional<int> parse_count(std::string_view text) {
    int value = 0;
    const auto end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value < 0 || value > largest_count) {
        return std::nullopt;
    }
    return value;
}

std::optional<upstream_condition> parse_condition(std::string_view text) {
    if (text == "cold") {
        return upstream_condition::cold;
    }
    if (text == "warm") {
        return upstream_condition::warm;
    }
    if (text == "leaving") {
        return upstream_condition::leaving;
    }
    return std::nullopt;
}

std::map<std::string_view, std::string_view> split_fields(std::string_view text) {
    std::map<std::string_view, std::string_view> fields;
    while (!text.empty()) {
        const auto end = std::min(text.find(';'), text.size());
        const std::string_view field = text.substr(0, end);
        const auto sign = field.find('=');
        if (sign != std::string_view::npos) {
            fields[field.substr(0, sign)] = field.substr(sign + 1);
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return fields;
}

}  // namespace

std::optional<upstream_report> parse_load_header(std::string_view text) {
    auto fields = split_fields(text);
    const auto in_flight = parse_count(fields["in_flight"]);
    const auto capacity = parse_count(fields["capacity"]);
    const auto condition = parse_condition(fields["state"]);
    const std::string_view incarnation = fields["incarnation"];
    if (!in_flight || !capacity || !condition || incarnation.empty()) {
        return std::nullopt;
    }
    upstream_report report;
    report.in_flight = *in_flight;
    report.capacity = *capacity;
    report.condition = *condition;
    report.incarnation = std::string(incarnation);
    return report;
}

}  // namespace cyclamenmount::detail
