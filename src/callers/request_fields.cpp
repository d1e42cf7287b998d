#include "callers/internal/request_fields.h"

#include "codec/json_split.h"
#include "secrets/secrets.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace cyclamenmount::detail {

namespace {

using nlohmann::json;

constexpr std::size_t max_key_bytes = 128;
constexpr std::size_t max_secret_bytes = 512;
constexpr std::size_t max_operation_bytes = 64;
constexpr int min_deadline_ms = 100;
constexpr int max_deadline_ms = 600'000;
constexpr int max_tokens_limit = 100'000;

refusal refuse(refusal_reason reason, std::string detail, std::string place) {
    return {reason, execution::not_run, std::move(detail), std::move(place), {}};
}

bool is_visible(std::string_view text) {
    return std::ranges::all_of(text, [](char c) { return c > ' ' && c < '\x7f'; });
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
    Number value{};
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

decided<std::string> parse_secret(const std::optional<std::string>& header) {
    constexpr std::string_view scheme = "Bearer ";
    if (!header || !header->starts_with(scheme)) {
        return refuse(refusal_reason::unauthenticated, "a key in the form 'Bearer KEY' is required",
                      "Authorization");
    }
    std::string secret = header->substr(scheme.size());
    if (secret.empty() || secret.size() > max_secret_bytes || !is_visible(secret)) {
        return refuse(refusal_reason::unauthenticated,
                      "the key is malformed: it must be 1 to 512 visible ASCII characters",
                      "Authorization");
    }
    return secret;
}

decided<milliseconds> parse_deadline(std::string_view text) {
    const auto value = parse_number<int>(text);
    if (!value || *value < min_deadline_ms || *value > max_deadline_ms) {
        return refuse(refusal_reason::malformed, "the deadline must be 100 to 600000 ms",
                      "X-Deadline-Ms");
    }
    return milliseconds(*value);
}

}  // namespace

decided<idempotency_key> parse_key(std::string_view text) {
    if (text.empty() || text.size() > max_key_bytes || !is_visible(text)) {
        return refuse(refusal_reason::malformed,
                      "the key must be 1 to 128 visible ASCII characters", "Idempotency-Key");
    }
    return idempotency_key{std::string(text)};
}

decided<request_fields> parse_fields(const request_headers& headers) {
    request_fields fields;
    BOOST_OUTCOME_TRY(secret, parse_secret(headers.authorization));
    fields.key_sha256 = sha256_hex(secret);
    if (headers.deadline) {
        BOOST_OUTCOME_TRY(parsed_deadline, parse_deadline(*headers.deadline));
        fields.deadline = std::move(parsed_deadline);
    }
    if (headers.idempotency_key) {
        BOOST_OUTCOME_TRY(parsed_key, parse_key(*headers.idempotency_key));
        fields.key = std::move(parsed_key);
    }
    return fields;
}

decided<pipeline_body> parse_pipeline_body(std::string_view text) {
    const json value = parse_bounded_json(text).value_or(json());
    if (!value.is_object()) {
        return refuse(refusal_reason::malformed, "the body must be a JSON object", "body");
    }
    for (const auto& [name, field] : value.items()) {
        if (name != "input" && name != "max_tokens") {
            return refuse(refusal_reason::malformed, "unknown field", "body." + name.substr(0, 64));
        }
    }
    const auto input = value.find("input");
    if (input == value.end() || !input->is_string()) {
        return refuse(refusal_reason::malformed, "must be a text string", "body.input");
    }
    pipeline_body body;
    body.input = input->get<std::string>();
    const auto tokens = value.find("max_tokens");
    if (tokens == value.end()) {
        return body;
    }
    const bool in_range =
        tokens->is_number_unsigned() && *tokens >= 1 && *tokens <= max_tokens_limit;
    if (!in_range) {
        return refuse(refusal_reason::malformed, "must be an integer from 1 to 100000",
                      "body.max_tokens");
    }
    body.max_tokens = tokens->get<int>();
    return body;
}

decided<std::size_t> parse_from(std::string_view query) {
    constexpr std::string_view name = "from=";
    if (query.empty()) {
        return std::size_t{0};
    }
    const auto value = query.starts_with(name)
                           ? parse_number<std::uint32_t>(query.substr(name.size()))
                           : std::nullopt;
    if (!value) {
        return refuse(refusal_reason::malformed, "must be a frame number", "from");
    }
    return std::size_t{*value};
}

fingerprint fingerprint_of(std::string_view caller_key_sha256, std::string_view target,
                           std::string_view body) {
    std::string hash_input;
    for (const std::string_view part : {caller_key_sha256, target, body}) {
        hash_input += std::to_string(part.size());
        hash_input += ':';
        hash_input += part;
    }
    const XXH128_hash_t hash = XXH3_128bits(hash_input.data(), hash_input.size());
    std::array<char, 33> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return {hex.data()};
}

bool is_operation_name(std::string_view text) {
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '_' || c == '-' || c == '.';
    };
    return !text.empty() && text.size() <= max_operation_bytes && text.front() != '.' &&
           std::ranges::all_of(text, allowed);
}

}  // namespace cyclamenmount::detail
