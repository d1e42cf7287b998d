//! Progress of a list of stored objects that takes several calls. A reducer without I/O.
//!
//! The store gives a list in pages, and each page but the first begins after a name. Other writers
//! choose names freely, and some can't be read. So that a list always ends, no name is used twice:
//! a page that leads to no other name has failed to bring the list on.
#pragma once

#include "types/time.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cyclamenmount {

//! Bounds of a list. One that exceeds them has failed.
struct list_bounds {
    std::size_t max_bytes{0};  //!< total size of the objects kept from all pages
    int max_pages{2000};
};

//! What a page of a list tells of the next one.
struct list_page {
    bool has_more{false};
    std::size_t kept_bytes{0};                   //!< size of what is kept of the page
    std::optional<std::string> last_readable{};  //!< last name on the page that is a text
    std::optional<std::string> last_name{};      //!< bytes of the last name, text or not
};

//! State of a list that is being read.
struct list_progress {
    std::optional<std::string>
        after{};                   //!< name after which the next page begins; none: first page
    std::set<std::string> used{};  //!< all names after which a page began
    std::size_t kept_bytes{0};
    int pages{0};
};

//! What follows a page.
enum class list_step {
    next_page,  //!< read the page after `list_progress::after`
    complete,
    repeated,   //!< failed: a page leads back to a position read before
    nameless,   //!< failed: more pages exist, but this one has no name
    too_large,  //!< failed: beyond the bounds
};

//! Returns the name of a step for the log.
constexpr std::string_view enum_name(list_step value) {
    switch (value) {
    case list_step::next_page:
        return "next page";
    case list_step::complete:
        return "complete";
    case list_step::repeated:
        return "the same page again";
    case list_step::nameless:
        return "no readable name";
    case list_step::too_large:
        return "too large";
    }
    return "unknown";
}

//! Takes a page that was read, and returns what follows.
list_step reduce(list_progress& state, const list_page& page, const list_bounds& bounds);

//! Pause before the next page. Limits the rate of the calls of a long list.
milliseconds pause_before_page(const list_progress& state);

}  // namespace cyclamenmount
