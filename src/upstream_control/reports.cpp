#include "upstream_control/internal/reports.h"

#include "codec/json_split.h"
#include "upstream_control/upstream_control.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace cyclamenmount {

namespace detail {

namespace {

using nlohmann::json;

std::optional<upstream_report> parse_status(const std::string& text) {
    const json body = parse_bounded_json(text).value_or(json());
    if (!body.is_object()) {
        return std::nullopt;
    }
    try {
        const auto condition = parse_condition(body.at("state").get<std::string>());
        upstream_report report;
        report.upstream = {body.at("id").get<std::string>()};
        report.incarnation = body.at("incarnation").get<std::string>();
        report.in_flight = body.at("in_flight").get<int>();
        report.capacity = body.at("capacity").get<int>();
        if (!condition.has_value() || report.incarnation.empty()) {
            return std::nullopt;
        }
        report.condition = *condition;
        return report;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}  // namespace

std::optional<upstream_condition> parse_condition(std::string_view name) {
    if (name == "cold") {
        return upstream_condition::cold;
    }
    if (name == "warm") {
        return upstream_condition::warm;
    }
    if (name == "leaving") {
        return upstream_condition::leaving;
    }
    return std::nullopt;
}

upstream_polled interpret_status(const upstream_id& upstream,
                                 const result<http_response>& response) {
    upstream_polled polled{upstream, false, {}};
    if (!response || response.value().status != 200) {
        return polled;
    }
    const std::optional<upstream_report> report = parse_status(response.value().body);
    if (report.has_value() && report->upstream == upstream) {
        polled.answered = true;
        polled.report = *report;
    }
    return polled;
}

store_status interpret_command(const result<http_response>& response) {
    if (!response) {
        const bool nothing_sent = response.error().kind == error_kind::unreachable;
        return nothing_sent ? store_status::refused : store_status::unknown;
    }
    switch (response.value().status) {
    case 200:
        return store_status::ok;
    case 409:
        return store_status::conflict;
    case 413:
    case 429:
        return store_status::refused;
    default:
        return store_status::unknown;
    }
}

}  // namespace detail

namespace {

//! Bit mask of the fields that an `X-Load` header must contain.
enum load_field : unsigned {
    no_field = 0,
    in_flight = 1,
    capacity = 2,
    state = 4,
    incarnation = 8
};

constexpr unsigned all_fields = in_flight | capacity | state | incarnation;

bool parse_count(std::string_view text, int& value) {
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && value >= 0;
}

//! Stores one `name=value` pair; returns its field, or `no_field` if it is invalid.
load_field parse_field(upstream_report& report, std::string_view name, std::string_view value) {
    if (name == "in_flight" && parse_count(value, report.in_flight)) {
        return in_flight;
    }
    if (name == "capacity" && parse_count(value, report.capacity)) {
        return capacity;
    }
    if (name == "incarnation" && !value.empty()) {
        report.incarnation = value;
        return incarnation;
    }
    const auto condition = detail::parse_condition(value);
    if (name == "state" && condition.has_value()) {
        report.condition = *condition;
        return state;
    }
    return no_field;
}

}  // namespace

std::optional<upstream_report> parse_load(std::string_view header) {
    upstream_report report;
    unsigned seen = 0;
    while (!header.empty()) {
        const std::string_view field = header.substr(0, header.find(';'));
        header.remove_prefix(std::min(header.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        if (equals == std::string_view::npos) {
            return std::nullopt;
        }
        const load_field parsed_field =
            parse_field(report, field.substr(0, equals), field.substr(equals + 1));
        if (parsed_field == no_field || (seen & parsed_field) != 0) {
            return std::nullopt;
        }
        seen |= parsed_field;
    }
    return seen == all_fields ? std::optional(report) : std::nullopt;
}

}  // namespace cyclamenmount
