#include "standins/upstream/settings.h"

#include <charconv>
#include <functional>
#include <map>

namespace cyclamenmount::standins {

namespace {

bool read_number(std::string_view text, long long& value) {
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && value >= 0;
}

bool set_kind(upstream_settings& settings, std::string_view text) {
    static const std::map<std::string_view, upstream_kind> kinds{
        {"engine", upstream_kind::engine},
        {"stage", upstream_kind::stage},
        {"service", upstream_kind::service}};
    const auto found = kinds.find(text);
    if (found == kinds.end()) {
        return false;
    }
    settings.kind = found->second;
    return true;
}

bool set_text(upstream_settings& settings, std::string_view name, std::string_view value) {
    static const std::map<std::string_view, std::string upstream_settings::*> fields{
        {"id", &upstream_settings::id},
        {"listen", &upstream_settings::listen},
        {"pool", &upstream_settings::pool},
        {"zone", &upstream_settings::zone}};
    const auto found = fields.find(name);
    if (found == fields.end()) {
        return false;
    }
    settings.*(found->second) = std::string(value);
    return true;
}

bool set_number(upstream_settings& settings, std::string_view name, long long value) {
    using setter = std::function<void(upstream_settings&, long long)>;
    static const std::map<std::string_view, setter> fields{
        {"capacity", [](auto& s, long long v) { s.capacity = static_cast<int>(v); }},
        {"cold", [](auto& s, long long v) { s.cold_capacity = static_cast<int>(v); }},
        {"queue", [](auto& s, long long v) { s.queue = static_cast<int>(v); }},
        {"threads", [](auto& s, long long v) { s.threads = static_cast<int>(v); }},
        {"warm", [](auto& s, long long v) { s.starts_warm = v != 0; }},
        {"fence", [](auto& s, long long v) { s.checks_fencing_token = v != 0; }},
        {"warm_after_ms", [](auto& s, long long v) { s.warm_after = milliseconds(v); }},
        {"stage_ms", [](auto& s, long long v) { s.stage_time = milliseconds(v); }},
        {"token_ms", [](auto& s, long long v) { s.token_time = milliseconds(v); }},
        {"zone_delay_us",
         [](auto& s, long long v) { s.zone_delay = std::chrono::microseconds(v); }}};
    const auto found = fields.find(name);
    if (found == fields.end()) {
        return false;
    }
    found->second(settings, value);
    return true;
}

bool set_field(upstream_settings& settings, std::string_view name, std::string_view value) {
    if (name == "kind") {
        return set_kind(settings, value);
    }
    if (set_text(settings, name, value)) {
        return true;
    }
    long long number = 0;
    return read_number(value, number) && set_number(settings, name, number);
}

}  // namespace

result<upstream_settings> parse_upstream_settings(std::string_view text) {
    upstream_settings settings;
    while (!text.empty()) {
        const std::string_view field = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), field.size() + 1));
        const std::size_t equals = field.find('=');
        if (equals == std::string_view::npos ||
            !set_field(settings, field.substr(0, equals), field.substr(equals + 1))) {
            return error{error_kind::invalid, "unknown or invalid setting: " + std::string(field)};
        }
    }
    if (settings.id.empty() || settings.pool.empty()) {
        return error{error_kind::invalid, "upstream without id or pool"};
    }
    return settings;
}

}  // namespace cyclamenmount::standins
