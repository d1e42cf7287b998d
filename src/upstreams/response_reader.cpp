#include "upstreams/internal/response_reader.h"

#include "codec/json_split.h"
#include "types/numeric.h"
#include "upstream_control/upstream_control.h"

#include <algorithm>
#include <cctype>

#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

namespace {

using nlohmann::json;

constexpr std::size_t max_response_bytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t max_line_bytes = std::size_t{64} * 1024;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

bool equal_ignoring_case(std::string_view left, std::string_view right) {
    const auto same = [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    };
    return std::ranges::equal(left, right, same);
}

std::string_view trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

bool has_string(const json& object, const char* name, const std::string& expected) {
    const auto found = object.find(name);
    return found != object.end() && found->is_string() &&
           found->get_ref<const std::string&>() == expected;
}

const std::string* find_string(const json& object, const char* name) {
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? &found->get_ref<const std::string&>()
                                                       : nullptr;
}

std::optional<int> find_count(const json& object, const char* name) {
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_integer()) {
        return std::nullopt;
    }
    const auto value = found->get<std::int64_t>();
    if (value < 0 || value > INT32_MAX) {
        return std::nullopt;
    }
    return static_cast<int>(value);
}

milliseconds busy_time_of(const json& object) {
    const auto found = object.find("busy_ms");
    if (found == object.end() || !found->is_number()) {
        return 0ms;
    }
    const double value = found->get<double>();
    constexpr double max_busy_ms = 3'600'000;
    return to_milliseconds(std::clamp(std::trunc(value), 0.0, max_busy_ms));
}

json parse_json(std::string_view text) {
    return parse_bounded_json(text).value_or(json(json::value_t::discarded));
}

bool echo_matches(const echoed_headers& echo, const attempt_call& call) {
    return echo.request == call.request.value && echo.stage == call.stage.value &&
           echo.attempt == call.attempt.value;
}

bool body_matches(const json& body, const attempt_call& call) {
    const bool stage_matches =
        call.kind != pool_kind::stage || has_string(body, "stage", call.stage.value);
    return has_string(body, "request", call.request.value) &&
           has_string(body, "attempt", call.attempt.value) && stage_matches;
}

attempt_fault read_done(response_reader& reader, const attempt_call& call, const json& line) {
    const auto count = find_count(line, "count");
    if (!count) {
        return attempt_fault::malformed;
    }
    if (*count != reader.next_index && *count != reader.next_index - call.resume_from) {
        return attempt_fault::truncated;
    }
    reader.done = true;
    reader.busy = busy_time_of(line);
    return attempt_fault::none;
}

attempt_fault read_token(response_reader& reader, const attempt_call& call, const json& line) {
    const auto index = find_count(line, "index");
    const std::string* text = find_string(line, "token");
    if (!index || text == nullptr) {
        return attempt_fault::malformed;
    }
    if (*index < reader.next_index) {
        return attempt_fault::duplicate_token;
    }
    if (*index > reader.next_index) {
        return attempt_fault::out_of_order;
    }
    if (*index >= call.max_tokens) {
        return attempt_fault::too_large;
    }
    reader.next_index += 1;
    reader.accepted += 1;
    reader.tokens.push_back({*index, *text});
    return attempt_fault::none;
}

attempt_fault read_line(response_reader& reader, const attempt_call& call, std::string_view text) {
    const json line = parse_json(text);
    if (!line.is_object()) {
        return attempt_fault::malformed;
    }
    if (!body_matches(line, call)) {
        return attempt_fault::misdirected;
    }
    if (reader.done) {
        return attempt_fault::malformed;
    }
    const auto done = line.find("done");
    if (done != line.end() && *done == true) {
        return read_done(reader, call, line);
    }
    return read_token(reader, call, line);
}

attempt_fault read_lines(response_reader& reader, const attempt_call& call) {
    std::size_t start = 0;
    for (auto end = reader.buffer.find('\n'); end != std::string::npos;
         end = reader.buffer.find('\n', start)) {
        const std::string_view line(reader.buffer.data() + start, end - start);
        start = end + 1;
        if (trimmed(line).empty()) {
            continue;
        }
        const attempt_fault fault = read_line(reader, call, line);
        if (fault != attempt_fault::none) {
            return fault;
        }
    }
    reader.buffer.erase(0, start);
    return reader.buffer.size() > max_line_bytes ? attempt_fault::too_large : attempt_fault::none;
}

attempt_fault finish_error_status(const response_reader& reader, const attempt_call& call) {
    if (!echo_matches(reader.echo, call)) {
        return attempt_fault::misdirected;
    }
    const json body = parse_json(reader.buffer);
    const bool not_run = body.is_object() && has_string(body, "execution", "not_run");
    if (reader.status == status_unavailable && not_run) {
        return attempt_fault::refused_not_run;
    }
    return attempt_fault::error_status;
}

attempt_fault finish_output(response_reader& reader, const attempt_call& call) {
    const json body = parse_json(reader.buffer);
    if (!body.is_object()) {
        return attempt_fault::malformed;
    }
    if (!body_matches(body, call)) {
        return attempt_fault::misdirected;
    }
    const std::string* output = find_string(body, "output");
    if (output == nullptr) {
        return attempt_fault::malformed;
    }
    reader.output = *output;
    reader.busy = busy_time_of(body);
    return attempt_fault::none;
}

bool is_stream(const response_reader& reader, const attempt_call& call) {
    return call.kind == pool_kind::engine && reader.status == status_ok;
}

}  // namespace

void read_header(response_reader& reader, std::string_view line) {
    if (line.starts_with("HTTP/")) {
        reader.echo = {};
        return;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return;
    }
    const std::string_view name = line.substr(0, colon);
    const std::string value(trimmed(line.substr(colon + 1)));
    if (equal_ignoring_case(name, "x-request-id")) {
        reader.echo.request = value;
    } else if (equal_ignoring_case(name, "x-stage")) {
        reader.echo.stage = value;
    } else if (equal_ignoring_case(name, "x-attempt")) {
        reader.echo.attempt = value;
    } else if (equal_ignoring_case(name, "x-load")) {
        reader.load = parse_load(value);
    }
}

bool read_body(response_reader& reader, const attempt_call& call, std::string_view chunk) {
    reader.received_bytes += chunk.size();
    if (reader.received_bytes > max_response_bytes) {
        reader.fault = attempt_fault::too_large;
        return false;
    }
    reader.buffer.append(chunk);
    if (!is_stream(reader, call)) {
        return true;
    }
    reader.fault =
        echo_matches(reader.echo, call) ? read_lines(reader, call) : attempt_fault::misdirected;
    return reader.fault == attempt_fault::none;
}

attempt_fault finish_response(response_reader& reader, const attempt_call& call) {
    if (reader.status != status_ok) {
        return finish_error_status(reader, call);
    }
    if (!echo_matches(reader.echo, call)) {
        return attempt_fault::misdirected;
    }
    if (call.kind == pool_kind::engine) {
        return reader.done ? attempt_fault::none : attempt_fault::truncated;
    }
    return finish_output(reader, call);
}

}  // namespace cyclamenmount::detail
