#include "pipeline/response_store.h"

#include "pipeline/problem.h"

namespace cyclamenmount {

namespace {

using nlohmann::json;

constexpr auto prune_period = 250ms;
constexpr std::size_t max_read_bytes = std::size_t{256} * 1024;

json part_json(const response_part& part) {
    json value{{"found", true}, {"frames", part.frames}, {"ended", part.ended}};
    value["total"] = part.total;
    if (part.refused) {
        value["refused"] = problem_json(*part.refused);
    }
    return value;
}

bool is_joinable(const response_stream& existing) {
    return existing.ended_at() == instant{} ? !existing.abandoned() : !existing.refused();
}

}  // namespace

response_store::response_store(response_store_settings settings) : settings_(settings) {}

begun_response response_store::begin(const response_key& key, const fingerprint& body,
                                     const request_id& request) {
    const std::lock_guard lock(mutex_);
    prune(boot_clock::now());
    std::shared_ptr<response_stream>& existing = responses_[key];
    if (existing && existing->body() != body) {
        return {begin_status::key_reused, nullptr};
    }
    if (existing && is_joinable(*existing)) {
        return {begin_status::joined, existing};
    }
    existing = std::make_shared<response_stream>(request, body);
    return {begin_status::created, existing};
}

std::shared_ptr<response_stream> response_store::find(const response_key& key) {
    const std::lock_guard lock(mutex_);
    prune(boot_clock::now());
    const auto found = responses_.find(key);
    return found == responses_.end() ? nullptr : found->second;
}

void response_store::prune(instant now) {
    if (now < next_prune_) {
        return;
    }
    next_prune_ = now + prune_period;
    std::size_t bytes = 0;
    std::multimap<instant, response_key> by_age;
    for (const auto& [key, value] : responses_) {
        const instant ended = value->ended_at();
        if (ended != instant{}) {
            bytes += value->bytes();
            by_age.emplace(ended, key);
        }
    }
    for (const auto& [ended, key] : by_age) {
        if (now - ended < settings_.retention && bytes <= settings_.max_bytes) {
            return;
        }
        bytes -= responses_.at(key)->bytes();
        responses_.erase(key);
    }
}

std::string response_store::handle_read(std::string_view query) {
    const json parsed = json::parse(query, nullptr, false);
    const json not_found{{"found", false}};
    const bool well_formed = parsed.is_object() && parsed.contains("owner") &&
                             parsed["owner"].is_string() && parsed.contains("key") &&
                             parsed["key"].is_string() && parsed.contains("from") &&
                             parsed["from"].is_number_unsigned();
    if (!well_formed) {
        return not_found.dump();
    }
    const auto found =
        find({parsed["owner"].get<std::string>(), {parsed["key"].get<std::string>()}});
    return found ? part_json(found->read(parsed["from"].get<std::size_t>(), max_read_bytes)).dump()
                 : not_found.dump();
}

std::string read_query(const response_key& key, std::size_t from) {
    return json{{"owner", key.caller_key_sha256}, {"key", key.key.value}, {"from", from}}.dump();
}

result<response_part> parse_read_reply(std::string_view text) {
    try {
        const json value = json::parse(text);
        if (!value.at("found").get<bool>()) {
            return error{error_kind::missing, "the peer keeps no response for this key"};
        }
        response_part part;
        part.frames = value.at("frames").get<std::vector<std::string>>();
        part.ended = value.at("ended").get<bool>();
        part.total = value.at("total").get<std::size_t>();
        if (value.contains("refused")) {
            part.refused = refusal_from_problem(value.at("refused"));
        }
        return part;
    } catch (const json::exception&) {
        return error{error_kind::protocol, "the peer's reply to a read is malformed"};
    }
}

}  // namespace cyclamenmount
