//! Sends cancel requests for attempts whose connection this process closed.
#pragma once

#include "upstreams/internal/curl_handles.h"
#include "upstreams/upstream_client.h"

#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace cyclamenmount::detail {

struct cancel_request {
    std::string address;
    request_id request;
    attempt_id attempt;
    instant retry_until;  //!< deadline of the attempt: the upstream ends it by then
    grant_guard guard;
};

//! Thread that sends queued cancel requests and retries them until the upstream has replied, has no
//! listener, or the attempt's deadline has passed. Only then the guard posts its event.
class canceller {
public:
    explicit canceller(milliseconds timeout);
    ~canceller();
    canceller(const canceller&) = delete;
    canceller& operator=(const canceller&) = delete;
    canceller(canceller&&) = delete;
    canceller& operator=(canceller&&) = delete;

    void enqueue(cancel_request cancel);

private:
    struct in_flight_call {
        std::unique_ptr<cancel_request> cancel;
        easy_handle easy;
        header_list headers;
        std::string body;
    };

    void run();
    bool run_once();     //!< one turn of the loop; false if it has to stop
    bool send_queued();  //!< true if the thread has to stop
    void send_or_retry(std::unique_ptr<cancel_request> cancel);
    void retry_later(std::unique_ptr<cancel_request> cancel);
    void send(std::unique_ptr<cancel_request>& cancel);
    void collect();
    void retry_due();
    void finish_call(CURL* handle, CURLcode code);

    milliseconds timeout_;
    multi_handle multi_;
    std::mutex mutex_;
    bool stopping_{false};
    std::deque<std::unique_ptr<cancel_request>> queue_;
    std::vector<in_flight_call> in_flight_;
    std::multimap<instant, std::unique_ptr<cancel_request>> retries_;
    std::thread thread_;
};

}  // namespace cyclamenmount::detail
