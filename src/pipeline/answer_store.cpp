#include "pipeline/answer_store.h"

#include "pipeline/problem.h"

namespace cyclamenmount {

namespace {

using nlohmann::json;

constexpr auto prune_period = 250ms;
constexpr std::size_t max_read_bytes = std::size_t{256} * 1024;

json part_json(const answer_part& part) {
    json value{{"found", true}, {"frames", part.frames}, {"ended", part.ended}};
    value["total"] = part.total;
    if (part.refused) {
        value["refused"] = problem_json(*part.refused);
    }
    return value;
}

bool may_be_joined(const answer& present) {
    return present.ended_at() == instant{} ? !present.abandoned() : !present.refused();
}

}  // namespace

answer_store::answer_store(answer_store_settings settings) : settings_(settings) {}

begun_answer answer_store::begin(const answer_key& key, const fingerprint& body,
                                 const request_id& request) {
    const std::lock_guard lock(mutex_);
    prune(boot_clock::now());
    std::shared_ptr<answer>& present = answers_[key];
    if (present && present->body() != body) {
        return {begin_verdict::key_reused, nullptr};
    }
    if (present && may_be_joined(*present)) {
        return {begin_verdict::joined, present};
    }
    present = std::make_shared<answer>(request, body);
    return {begin_verdict::created, present};
}

std::shared_ptr<answer> answer_store::find(const answer_key& key) {
    const std::lock_guard lock(mutex_);
    prune(boot_clock::now());
    const auto found = answers_.find(key);
    return found == answers_.end() ? nullptr : found->second;
}

void answer_store::prune(instant now) {
    if (now < next_prune_) {
        return;
    }
    next_prune_ = now + prune_period;
    std::size_t bytes = 0;
    std::multimap<instant, answer_key> by_age;
    for (const auto& [key, value] : answers_) {
        const instant ended = value->ended_at();
        if (ended != instant{}) {
            bytes += value->bytes();
            by_age.emplace(ended, key);
        }
    }
    for (const auto& [ended, key] : by_age) {
        if (now - ended < settings_.kept && bytes <= settings_.max_bytes) {
            return;
        }
        bytes -= answers_.at(key)->bytes();
        answers_.erase(key);
    }
}

std::string answer_store::answer_read(std::string_view query) {
    const json asked = json::parse(query, nullptr, false);
    const json none{{"found", false}};
    const bool well_formed = asked.is_object() && asked.contains("owner") &&
                             asked["owner"].is_string() && asked.contains("key") &&
                             asked["key"].is_string() && asked.contains("from") &&
                             asked["from"].is_number_unsigned();
    if (!well_formed) {
        return none.dump();
    }
    const auto found = find({asked["owner"].get<std::string>(), {asked["key"].get<std::string>()}});
    return found ? part_json(found->read(asked["from"].get<std::size_t>(), max_read_bytes)).dump()
                 : none.dump();
}

std::string read_query(const answer_key& key, std::size_t from) {
    return json{{"owner", key.owner}, {"key", key.key.value}, {"from", from}}.dump();
}

result<answer_part> parse_read_reply(std::string_view text) {
    try {
        const json value = json::parse(text);
        if (!value.at("found").get<bool>()) {
            return error{error_kind::missing, "the peer has no such answer"};
        }
        answer_part part;
        part.frames = value.at("frames").get<std::vector<std::string>>();
        part.ended = value.at("ended").get<bool>();
        part.total = value.at("total").get<std::size_t>();
        if (value.contains("refused")) {
            part.refused = refusal_from_problem(value.at("refused"));
        }
        return part;
    } catch (const json::exception&) {
        return error{error_kind::protocol, "the peer's reply can't be parsed"};
    }
}

}  // namespace cyclamenmount
