//! Owning pointers to libcurl handles.
#pragma once

#include <memory>
#include <string>

#include <curl/curl.h>

namespace cyclamenmount::detail {

struct easy_deleter {
    void operator()(CURL* handle) const {
        curl_easy_cleanup(handle);
    }
};

struct multi_deleter {
    void operator()(CURLM* handle) const {
        curl_multi_cleanup(handle);
    }
};

struct list_deleter {
    void operator()(curl_slist* list) const {
        curl_slist_free_all(list);
    }
};

using easy_handle = std::unique_ptr<CURL, easy_deleter>;
using multi_handle = std::unique_ptr<CURLM, multi_deleter>;
using header_list = std::unique_ptr<curl_slist, list_deleter>;

inline void add_header(header_list& list, const std::string& line) {
    curl_slist* extended = curl_slist_append(list.get(), line.c_str());
    if (extended != nullptr) {
        (void)list.release();
        list.reset(extended);
    }
}

}  // namespace cyclamenmount::detail
