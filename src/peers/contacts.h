//! When peers were last heard, for operators. Safe to use on any thread.
#pragma once

#include "types/fleet.h"
#include "types/time.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <mutex>
#include <span>

namespace cyclamenmount {

class peer_contacts {
public:
    //! Records a message of a process.
    void record(const instance_id& from, instant now) {
        const std::lock_guard lock(mutex_);
        heard_at_[from] = now;
    }

    //! Number of members whose process was heard at `since` or later; forgets those heard earlier.
    std::size_t count(std::span<const member> members, instant since) {
        const std::lock_guard lock(mutex_);
        std::erase_if(heard_at_, [&](const auto& entry) { return entry.second < since; });
        return static_cast<std::size_t>(std::ranges::count_if(
            members, [&](const member& one) { return heard_at_.contains(one.id); }));
    }

private:
    std::mutex mutex_;
    std::map<instance_id, instant> heard_at_;
};

}  // namespace cyclamenmount
