#include "coordination/quarantine/internal/suspects.h"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenmount::detail {

namespace {

//! Prefix of the incarnation id of a cleared crash. If two replicas are merged and one of them has
//! cleared a crash, the merged crash is cleared.
constexpr char cleared_mark = '~';

bool is_cleared(const std::string& crash) {
    return !crash.empty() && crash.front() == cleared_mark;
}

std::string as_cleared(const std::string& crash) {
    return is_cleared(crash) ? crash : cleared_mark + crash;
}

//! Inserts a crash in sorted order; a cleared crash replaces the uncleared one. False if the crash
//! is already present in this form or as cleared.
bool insert_crash(suspect& value, const std::string& crash) {
    const auto is_present = [&value](const std::string& other) {
        return std::binary_search(value.died.begin(), value.died.end(), other);
    };
    if (is_present(crash) || is_present(as_cleared(crash))) {
        return false;
    }
    if (is_cleared(crash)) {
        std::erase(value.died, crash.substr(1));
    }
    value.died.insert(std::upper_bound(value.died.begin(), value.died.end(), crash), crash);
    value.cleared = count_crashes(value) == 0;
    return true;
}

std::uint64_t digest_of(const suspect& value) {
    std::string text = value.body.value;
    for (const std::string& crash : value.died) {
        text += '\0' + crash;
    }
    return XXH3_64bits(text.data(), text.size());
}

//! Changes a suspect and updates the digest; adds the suspect if it is new.
template <typename Change>
bool change_suspect(quarantine_state& state, const fingerprint& body, Change change) {
    const auto [it, inserted] = state.suspects.try_emplace(body);
    suspect& value = it->second;
    if (inserted) {
        value.body = body;
    } else {
        state.digest ^= digest_of(value);
    }
    const bool changed = change(value);
    state.digest ^= digest_of(value);
    return changed;
}

//! Removes a suspect if there are too many, preferably a cleared one.
void drop_excess_suspect(quarantine_state& state) {
    if (state.suspects.size() <= quarantine_limits::max_suspects) {
        return;
    }
    const auto cleared = std::find_if(state.suspects.begin(), state.suspects.end(),
                                      [](const auto& item) { return item.second.cleared; });
    const auto dropped = cleared == state.suspects.end() ? state.suspects.begin() : cleared;
    state.digest ^= digest_of(dropped->second);
    state.suspects.erase(dropped);
}

}  // namespace

std::size_t count_crashes(const suspect& value) {
    return static_cast<std::size_t>(
        std::count_if(value.died.begin(), value.died.end(),
                      [](const std::string& crash) { return !is_cleared(crash); }));
}

bool add_crash(quarantine_state& state, const fingerprint& body, const std::string& incarnation) {
    const bool changed = change_suspect(
        state, body, [&incarnation](suspect& value) { return insert_crash(value, incarnation); });
    drop_excess_suspect(state);
    return changed;
}

bool clear_suspect(quarantine_state& state, const fingerprint& body) {
    if (!state.suspects.contains(body)) {
        return false;
    }
    return change_suspect(state, body, [](suspect& value) {
        bool changed = false;
        for (const std::string& crash : std::vector<std::string>(value.died)) {
            changed = insert_crash(value, as_cleared(crash)) || changed;
        }
        return changed;
    });
}

bool merge_suspect(quarantine_state& state, const suspect& received) {
    const bool changed = change_suspect(state, received.body, [&received](suspect& value) {
        bool any = false;
        for (const std::string& crash : received.died) {
            any = insert_crash(value, crash) || any;
        }
        return any;
    });
    drop_excess_suspect(state);
    return changed;
}

}  // namespace cyclamenmount::detail

namespace cyclamenmount {

std::uint64_t quarantine_digest(const quarantine_state& state) {
    return state.digest;
}

}  // namespace cyclamenmount
