//! One HTTP exchange on a libcurl easy handle.
#pragma once

#include "http_loop/http_loop.h"

#include <optional>

#include <curl/curl.h>

namespace cyclamenmount::detail {

struct easy_deleter {
    void operator()(CURL* handle) const {
        curl_easy_cleanup(handle);
    }
};

struct slist_deleter {
    void operator()(curl_slist* list) const {
        curl_slist_free_all(list);
    }
};

//! Must not move while its handle is in use: libcurl's callbacks hold its address.
struct transfer {
    http_request request;
    std::function<void(result<http_response>)> done;
    http_response response;
    //! When to look for progress, or to give up while there is no head; used only if the request
    //! has a limit on progress. libcurl's limits are on the whole exchange or in whole seconds.
    instant next_look{};
    std::optional<instant> latest_end;     //!< of the response; unset until its head has arrived
    std::size_t received_bytes{0};         //!< of the response
    std::size_t received_bytes_before{0};  //!< at the last look
    std::unique_ptr<curl_slist, slist_deleter> headers;
    std::unique_ptr<CURL, easy_deleter> easy;
};

//! Creates and configures the handle. Fails only if libcurl is out of memory.
result<void> prepare(transfer& pending);

[[nodiscard]] inline bool has_progress_limit(const transfer& current) {
    return current.request.progress.step > milliseconds(0);
}

//! Whether the transfer is overdue by its limit on progress. If not, sets the time of the next
//! look.
bool is_overdue(transfer& current, instant now);

//! Converts libcurl's result of a completed transfer into the response or an error.
result<http_response> outcome_of(transfer& ended, CURLcode code);

}  // namespace cyclamenmount::detail
