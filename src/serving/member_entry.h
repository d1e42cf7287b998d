//! An instance's own entry in the list of members, by which all instances divide what they share.
//!
//! Any write may be carried out seconds after its call was given up. So each has a condition that
//! no longer holds once another process has written the entry, and an entry that is gone or holds
//! the values of another process is written again.
//!
//! Pure functions.
#pragma once

#include "types/fleet.h"
#include "types/store_version.h"

#include <optional>

namespace cyclamenmount {

//! The entry as last seen.
struct member_entry {
    object_version version{0};  //!< 0: unknown; else a write of the entry needs it as its condition
    bool exists{false};
    bool is_own{false};  //!< it holds what this process has written
};

//! Takes what the store holds at a version; none: no entry, or one that can't be read if `exists`.
//! Returns false if something newer is known.
bool observe_entry(member_entry& entry, object_version version, bool exists,
                   const std::optional<member>& found, const member& self);

//! The next call for an entry that is to be written, or deleted.
enum class member_entry_call { none, read, create, replace, remove };

//! The call that brings the entry to this process's values. `era` is the store's current one.
member_entry_call next_registration_call(const member_entry& entry, std::uint64_t era);

//! The call that removes the entry, unless it is another process's.
member_entry_call next_removal_call(const member_entry& entry, std::uint64_t era);

//! Applies a refusal that says that the entry isn't as known: the next call reads it, or creates it
//! if there is none.
void handle_refused_write(member_entry& entry, bool exists);

}  // namespace cyclamenmount
