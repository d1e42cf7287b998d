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

std::uint64_t digest_of(const suspect& value) {
    std::string text = value.body.value;
    for (const std::string& death : value.died) {
        text += '\0' + death;
    }
    return XXH3_64bits(text.data(), text.size());
}

//! Changes one suspect and the digest with it; adds it if it isn't held.
template <typename Change>
bool change_suspect(quarantine_state& state, const fingerprint& body, Change change) {
    const auto [place, fresh] = state.suspects.try_emplace(body);
    suspect& value = place->second;
    if (fresh) {
        value.body = body;
    } else {
        state.digest ^= digest_of(value);
    }
    const bool changed = change(value);
    state.digest ^= digest_of(value);
    return changed;
}

//! Keeps the set within its bound: cleared ones go first.
void drop_surplus(quarantine_state& state) {
    if (state.suspects.size() <= quarantine_limits::suspects) {
        return;
    }
    const auto cleared = std::find_if(state.suspects.begin(), state.suspects.end(),
                                      [](const auto& place) { return place.second.cleared; });
    const auto dropped = cleared == state.suspects.end() ? state.suspects.begin() : cleared;
    state.digest ^= digest_of(dropped->second);
    state.suspects.erase(dropped);
}

}  // namespace

std::size_t counted_deaths(const suspect& value) {
    return static_cast<std::size_t>(
        std::count_if(value.died.begin(), value.died.end(),
                      [](const std::string& death) { return !is_absolved(death); }));
}

bool add_death(quarantine_state& state, const fingerprint& body, const std::string& upstream) {
    const bool changed =
        change_suspect(state, body, [&upstream](suspect& value) { return add(value, upstream); });
    drop_surplus(state);
    return changed;
}

bool absolve(quarantine_state& state, const fingerprint& body) {
    if (!state.suspects.contains(body)) {
        return false;
    }
    return change_suspect(state, body, [](suspect& value) {
        bool changed = false;
        for (const std::string& death : std::vector<std::string>(value.died)) {
            changed = add(value, marked(death)) || changed;
        }
        return changed;
    });
}

bool merge_suspect(quarantine_state& state, const suspect& heard) {
    const bool changed = change_suspect(state, heard.body, [&heard](suspect& value) {
        bool any = false;
        for (const std::string& death : heard.died) {
            any = add(value, death) || any;
        }
        return any;
    });
    drop_surplus(state);
    return changed;
}

}  // namespace cyclamenmount::detail

namespace cyclamenmount {

std::uint64_t quarantine_digest(const quarantine_state& state) {
    return state.digest;
}

}  // namespace cyclamenmount
