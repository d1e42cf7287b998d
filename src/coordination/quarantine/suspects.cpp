#include "coordination/quarantine/internal/suspects.h"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenmount::detail {

namespace {

//! Marks a death of which the fingerprint was absolved. Once marked it stays so in every merge.
constexpr char absolved_mark = '~';

bool is_absolved(const std::string& death) {
    return !death.empty() && death.front() == absolved_mark;
}

std::string marked(const std::string& death) {
    return is_absolved(death) ? death : absolved_mark + death;
}

//! Adds one death as told, in its place. False if it was known in this form or as absolved.
bool add(suspect& value, const std::string& death) {
    const auto holds = [&value](const std::string& other) {
        return std::binary_search(value.died.begin(), value.died.end(), other);
    };
    if (holds(death) || holds(marked(death))) {
        return false;
    }
    if (is_absolved(death)) {
        std::erase(value.died, death.substr(1));
    }
    value.died.insert(std::upper_bound(value.died.begin(), value.died.end(), death), death);
    value.cleared = counted_deaths(value) == 0;
    return true;
}

//! Keeps the set within its bound: cleared ones go first.
void drop_surplus(quarantine_state& state) {
    if (state.suspects.size() <= quarantine_limits::suspects) {
        return;
    }
    const auto cleared = std::find_if(state.suspects.begin(), state.suspects.end(),
                                      [](const auto& place) { return place.second.cleared; });
    state.suspects.erase(cleared == state.suspects.end() ? state.suspects.begin() : cleared);
}

suspect& find_or_add(quarantine_state& state, const fingerprint& body) {
    suspect& value = state.suspects[body];
    value.body = body;
    return value;
}

}  // namespace

std::size_t counted_deaths(const suspect& value) {
    return static_cast<std::size_t>(
        std::count_if(value.died.begin(), value.died.end(),
                      [](const std::string& death) { return !is_absolved(death); }));
}

bool add_death(quarantine_state& state, const fingerprint& body, const std::string& upstream) {
    const bool fresh = add(find_or_add(state, body), upstream);
    drop_surplus(state);
    return fresh;
}

bool absolve(quarantine_state& state, const fingerprint& body) {
    const auto found = state.suspects.find(body);
    if (found == state.suspects.end()) {
        return false;
    }
    bool changed = false;
    for (const std::string& death : std::vector<std::string>(found->second.died)) {
        changed = add(found->second, marked(death)) || changed;
    }
    return changed;
}

bool merge_suspect(quarantine_state& state, const suspect& heard) {
    bool changed = false;
    for (const std::string& death : heard.died) {
        changed = add(find_or_add(state, heard.body), death) || changed;
    }
    drop_surplus(state);
    return changed;
}

}  // namespace cyclamenmount::detail

namespace cyclamenmount {

std::uint64_t quarantine_digest(const quarantine_state& state) {
    std::uint64_t digest = 0;
    for (const auto& [body, value] : state.suspects) {
        std::string text = body.value;
        for (const std::string& death : value.died) {
            text += '\0' + death;
        }
        digest ^= XXH3_64bits(text.data(), text.size());
    }
    return digest;
}

}  // namespace cyclamenmount
