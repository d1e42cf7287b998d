//! JSON form of the roster object, stored under the key `roster/CELL`.
#include "coordination/roster/internal/roster_object.h"

#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

namespace {

nlohmann::json members_to_json(std::span<const member> members) {
    auto out = nlohmann::json::array();
    for (const auto& entry : members) {
        out.push_back(
            {{"id", entry.id.value}, {"address", entry.address}, {"zone", entry.zone.value}});
    }
    return out;
}

std::vector<member> members_from_json(const nlohmann::json& in) {
    std::vector<member> members;
    for (const auto& entry : in) {
        members.push_back({{entry.at("id").get<std::string>()},
                           entry.at("address").get<std::string>(),
                           {entry.at("zone").get<std::string>()}});
    }
    return members;
}

roster_object object_from_json(const nlohmann::json& in) {
    roster_object object;
    object.value.generation = in.at("generation").get<generation_number>();
    object.value.settled = in.at("settled").get<bool>();
    object.value.members = members_from_json(in.at("members"));
    object.value.proposal = in.at("proposal").get<std::string>();
    object.previous = members_from_json(in.at("previous"));
    return object;
}

}  // namespace

std::string roster_key(std::string_view cell) {
    return "roster/" + std::string(cell);
}

std::string write_roster(const roster& value, std::span<const member> previous) {
    const nlohmann::json out = {{"generation", value.generation},
                                {"settled", value.settled},
                                {"members", members_to_json(value.members)},
                                {"previous", members_to_json(previous)},
                                {"proposal", value.proposal}};
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<roster_object> parse_roster(std::string_view text) {
    try {
        auto object = object_from_json(nlohmann::json::parse(text));
        if (object.value.generation == 0) {
            return error{error_kind::invalid, "roster object with generation 0"};
        }
        return object;
    } catch (const nlohmann::json::exception& fault) {
        return error{error_kind::invalid, fault.what()};
    }
}

}  // namespace cyclamenmount::detail
