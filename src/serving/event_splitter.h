//! Splits a byte stream into complete server-sent events, so that an interrupted stream can resume.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenmount {

//! Parser for events that end with an empty line and carry an increasing number in an `id:` line.
class event_splitter {
public:
    //! Appends received bytes and returns the events that are complete. Events whose id isn't
    //! higher than the last returned one are dropped as duplicates.
    std::string feed(std::string_view bytes);

    //! Returns the id of the last returned event; none before the first id.
    [[nodiscard]] std::optional<std::int64_t> last_id() const {
        return last_id_;
    }

    //! Number of buffered bytes of an incomplete event.
    [[nodiscard]] std::size_t partial_bytes() const {
        return partial_.size();
    }

    //! Discards an incomplete event after the stream was interrupted.
    void drop_partial() {
        partial_.clear();
    }

private:
    std::string partial_;
    std::optional<std::int64_t> last_id_;
};

}  // namespace cyclamenmount
