#include "store_sync/list_progress.h"

namespace cyclamenmount {

namespace {

//! Pages that are read without a pause.
constexpr int unpaced_pages = 32;
constexpr milliseconds page_pause{20};

}  // namespace

list_step reduce(list_progress& state, const list_page& page, const list_bounds& bounds) {
    ++state.pages;
    state.kept_bytes += page.kept_bytes;
    if (state.kept_bytes > bounds.max_bytes) {
        return list_step::too_large;
    }
    if (!page.has_more) {
        return list_step::complete;
    }
    if (state.pages >= bounds.max_pages) {
        return list_step::too_large;
    }
    // The last name that is a text is preferred: the store surely understands it. What follows it
    // on the page can't be read, and comes again.
    for (const auto& name : {page.last_readable, page.last_name}) {
        if (name && state.used.insert(*name).second) {
            state.after = name;
            return list_step::next_page;
        }
    }
    return page.last_name ? list_step::repeated : list_step::nameless;
}

milliseconds pause_before_page(const list_progress& state) {
    return state.pages < unpaced_pages ? 0ms : page_pause;
}

}  // namespace cyclamenmount
