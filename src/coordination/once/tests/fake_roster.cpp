//! Stands in for the roster part until it is merged.
#include "coordination/roster/roster.h"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenmount {

roster_state make_settled_roster(const environment& env, std::span<const member> members,
                                 generation_number generation, instant now) {
    roster_state state;
    state.self = env.self;
    state.newest = {generation, true, {members.begin(), members.end()}, {}};
    state.started_at = now;
    return state;
}

std::span<const member> members(const roster_state& state) {
    return state.newest.members;
}

generation_number generation(const roster_state& state) {
    return state.newest.generation;
}

std::optional<member> find_member(const roster_state& state, const instance_id& id) {
    for (const member& value : state.newest.members) {
        if (value.id == id) {
            return value;
        }
    }
    return std::nullopt;
}

std::optional<member> home_of(const roster_state& state, std::string_view key) {
    const auto weight = [key](const member& value) {
        const std::string text = value.id.value + '\0' + std::string(key);
        return XXH3_64bits(text.data(), text.size());
    };
    const auto& all = state.newest.members;
    const auto home = std::max_element(all.begin(), all.end(),
                                       [&weight](const member& left, const member& right) {
                                           return weight(left) < weight(right);
                                       });
    return home == all.end() ? std::nullopt : std::optional<member>(*home);
}

bool may_act(const roster_state& state, const environment& env, std::string_view key, instant now) {
    const auto home = home_of(state, key);
    return home && home->id == env.self.id && now - state.started_at <= env.timing.fence;
}

}  // namespace cyclamenmount
