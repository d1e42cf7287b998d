#include "coordination/at_most_once/internal/journal.h"

#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

namespace {

using nlohmann::json;

constexpr std::size_t entry_field_count = 11;

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<journal_header> decode_header(std::string_view line) {
    const json value = json::parse(line, nullptr, false);
    if (!value.is_object() || !value.contains("tenure") || !value.contains("batch") ||
        !value.contains("clock_ms")) {
        return std::nullopt;
    }
    if (!value["tenure"].is_string() || !value["batch"].is_number_unsigned() ||
        !value["clock_ms"].is_number_integer()) {
        return std::nullopt;
    }
    return journal_header{value["tenure"].get<std::string>(), value["batch"].get<std::uint64_t>(),
                          milliseconds(value["clock_ms"].get<std::int64_t>())};
}

bool is_valid_entry(const json& value) {
    if (!value.is_array() || value.size() != entry_field_count) {
        return false;
    }
    for (const std::size_t index : {0U, 1U, 2U, 3U, 4U, 10U}) {
        if (!value[index].is_string()) {
            return false;
        }
    }
    for (const std::size_t index : {5U, 6U, 7U, 9U}) {
        if (!value[index].is_number_integer()) {
            return false;
        }
    }
    const int phase = value[5].get<int>();
    return value[8].is_boolean() && phase >= 0 && phase <= static_cast<int>(call_phase::unknown);
}

bool decode_entry(std::string_view line, std::map<journal_key, journal_entry>& entries) {
    const json value = json::parse(line, nullptr, false);
    if (!is_valid_entry(value)) {
        return false;
    }
    journal_key key{{value[0].get<std::string>()}, {value[1].get<std::string>()}};
    journal_entry entry;
    entry.permit = value[2].get<std::string>();
    entry.body.value = value[3].get<std::string>();
    entry.runner.value = value[4].get<std::string>();
    entry.phase = static_cast<call_phase>(value[5].get<int>());
    entry.recorded_at = milliseconds(value[6].get<std::int64_t>());
    entry.lasts_at_most = milliseconds(value[7].get<std::int64_t>());
    entry.outcome = {value[8].get<bool>(), value[9].get<int>(), value[10].get<std::string>()};
    entry.line = std::string(line) + '\n';
    return entries.emplace(std::move(key), std::move(entry)).second;
}

bool is_utf8(const std::string& text) {
    return json::parse(dump(text)).get<std::string>() == text;
}

}  // namespace

void encode_entry(const journal_key& key, journal_entry& entry) {
    const json value = {key.workspace.value,
                        key.key.value,
                        entry.permit,
                        entry.body.value,
                        entry.runner.value,
                        static_cast<int>(entry.phase),
                        entry.recorded_at.count(),
                        entry.lasts_at_most.count(),
                        entry.outcome.known,
                        entry.outcome.status,
                        entry.outcome.body};
    entry.line = dump(value) + '\n';
}

std::string encode_journal(const journal_header& header,
                           const std::map<journal_key, journal_entry>& entries) {
    std::string value = dump(
        {{"tenure", header.tenure}, {"batch", header.batch}, {"clock_ms", header.clock.count()}});
    value += '\n';
    for (const auto& [key, entry] : entries) {
        value += entry.line;
    }
    return value;
}

std::optional<journal_content> decode_journal(std::string_view value) {
    journal_content content;
    bool expects_header = true;
    while (!value.empty()) {
        const std::size_t end = value.find('\n');
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        const std::string_view line = value.substr(0, end);
        value.remove_prefix(end + 1);
        if (expects_header) {
            const auto header = decode_header(line);
            if (!header) {
                return std::nullopt;
            }
            content.header = *header;
            expects_header = false;
        } else if (!decode_entry(line, content.entries)) {
            return std::nullopt;
        }
    }
    if (expects_header) {
        return std::nullopt;
    }
    return content;
}

call_outcome storable_outcome(call_outcome outcome) {
    if (outcome.body.size() > at_most_once_limits::max_stored_body_bytes ||
        !is_utf8(outcome.body)) {
        outcome.known = false;
        outcome.body.clear();
    }
    return outcome;
}

}  // namespace cyclamenmount::detail
