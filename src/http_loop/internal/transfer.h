//! One HTTP exchange on a libcurl easy handle.
#pragma once

#include "http_loop/http_loop.h"

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
    std::unique_ptr<curl_slist, slist_deleter> headers;
    std::unique_ptr<CURL, easy_deleter> easy;
};

//! Creates and configures the handle. Fails only if libcurl is out of memory.
result<void> prepare(transfer& pending);

//! Converts libcurl's result of a completed transfer into the response or an error.
result<http_response> outcome_of(transfer& ended, CURLcode code);

}  // namespace cyclamenmount::detail
