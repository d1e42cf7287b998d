//! One exchange on a curl easy handle.
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

//! Stays at one address while its handle is in use.
struct transfer {
    http_request request;
    std::function<void(result<http_response>)> done;
    http_response response;
    std::unique_ptr<curl_slist, slist_deleter> headers;
    std::unique_ptr<CURL, easy_deleter> easy;
};

//! Sets up the handle; fails only for lack of memory.
result<void> prepare(transfer& wanted);

//! What the end of a transfer means.
result<http_response> outcome_of(transfer& ended, CURLcode code);

}  // namespace cyclamenmount::detail
