#include "serving/member_entry.h"

namespace cyclamenmount {

namespace {

//! True if a write can name the entry's version as its condition.
bool has_condition(const member_entry& entry, std::uint64_t era) {
    return entry.version != 0 && era_of(entry.version) == era;
}

}  // namespace

bool observe_entry(member_entry& entry, object_version version, bool exists,
                   const std::optional<member>& found, const member& self) {
    if (version <= entry.version) {
        return false;
    }
    entry.version = version;
    entry.exists = exists;
    entry.is_own = exists && found && *found == self;
    return true;
}

member_entry_call next_registration_call(const member_entry& entry, std::uint64_t era) {
    if (entry.is_own) {
        return member_entry_call::none;
    }
    if (!entry.exists) {
        return member_entry_call::create;
    }
    return has_condition(entry, era) ? member_entry_call::replace : member_entry_call::read;
}

member_entry_call next_removal_call(const member_entry& entry, std::uint64_t era) {
    if (!has_condition(entry, era)) {
        return member_entry_call::read;
    }
    return entry.is_own ? member_entry_call::remove : member_entry_call::none;
}

void handle_refused_write(member_entry& entry, bool exists) {
    entry = {0, exists, false};
}

}  // namespace cyclamenmount
