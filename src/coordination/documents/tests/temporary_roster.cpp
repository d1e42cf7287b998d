//! Smallest roster that the tests of other parts need, until the real one is in the tree.
#include "coordination/roster/roster.h"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenmount {

namespace {

std::vector<member> ranked(const roster_state& state, std::string_view key) {
    std::vector<member> all = state.newest.members;
    std::sort(all.begin(), all.end(), [key](const member& left, const member& right) {
        return detail::rendezvous_weight(left.id, key) > detail::rendezvous_weight(right.id, key);
    });
    return all;
}

}  // namespace

roster_state make_roster(const environment& env, instant now) {
    roster_state state;
    state.self = env.self;
    state.started_at = now;
    return state;
}

roster_state make_settled_roster(const environment& env, std::span<const member> members,
                                 generation_number generation, instant now) {
    roster_state state = make_roster(env, now);
    state.newest = {generation, true, {members.begin(), members.end()}, {}};
    for (const member& each : members) {
        state.heard[each.id] = heard_peer{each, now, {}, false};
    }
    return state;
}

void reduce_roster(roster_state&, const environment&, const event&, instant, effects&) {}

std::span<const member> members(const roster_state& state) {
    return state.newest.members;
}

generation_number generation(const roster_state& state) {
    return state.newest.generation;
}

std::optional<member> find_member(const roster_state& state, const instance_id& id) {
    for (const roster* each : {&state.newest, &state.previous}) {
        for (const member& one : each->members) {
            if (one.id == id) {
                return one;
            }
        }
    }
    return std::nullopt;
}

std::optional<member> home_of(const roster_state& state, std::string_view key) {
    return ranked_home(state, key, 0);
}

std::optional<member> ranked_home(const roster_state& state, std::string_view key,
                                  std::size_t rank) {
    const auto all = ranked(state, key);
    return rank < all.size() ? std::optional(all[rank]) : std::nullopt;
}

bool may_act(const roster_state& state, const environment& env, std::string_view key, instant now) {
    const auto home = home_of(state, key);
    return home && home->id == env.self.id && hears_majority(state, env.timing.fence, now);
}

bool hears_majority(const roster_state& state, milliseconds within, instant now) {
    const auto& all = state.newest.members;
    const auto heard = std::count_if(all.begin(), all.end(), [&](const member& each) {
        const auto found = state.heard.find(each.id);
        return each.id == state.self.id ||
               (found != state.heard.end() && now - found->second.asked_at <= within);
    });
    return !all.empty() && static_cast<std::size_t>(heard) > all.size() / 2;
}

bool is_member(const roster_state& state) {
    return state.newest.settled && find_member(state, state.self.id).has_value();
}

void renew_tenure(tenure& held, const roster_state& state, std::string_view key, instant now) {
    const auto home = home_of(state, key);
    if (!home || home->id != state.self.id) {
        held = {};
        return;
    }
    if (held.through == 0 || state.newest.generation > held.through + 1) {
        held.since = now;
    }
    held.through = state.newest.generation;
}

namespace detail {

std::uint64_t rendezvous_weight(const instance_id& id, std::string_view key) {
    return XXH3_64bits_withSeed(key.data(), key.size(),
                                XXH3_64bits(id.value.data(), id.value.size()));
}

}  // namespace detail

}  // namespace cyclamenmount
