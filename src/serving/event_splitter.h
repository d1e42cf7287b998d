//! Cuts a stream's bytes into whole events, so that a stream can go on after a break.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenmount {

//! Events end with an empty line; each has an `id:` line with an increasing number.
class event_splitter {
public:
    //! Takes bytes as they arrive and returns the whole events among them. Events that were
    //! returned before, by their ids, are left out.
    std::string feed(std::string_view bytes);

    //! Id of the last event returned.
    [[nodiscard]] std::optional<std::int64_t> last_id() const {
        return last_id_;
    }

    //! True if a part of an event has arrived without its end.
    [[nodiscard]] bool has_partial() const {
        return !partial_.empty();
    }

    //! Forgets the part of an event at a break.
    void drop_partial() {
        partial_.clear();
    }

private:
    std::string partial_;
    std::optional<std::int64_t> last_id_;
};

}  // namespace cyclamenmount
