//! Orders upstreams to cancel attempts whose connection was closed from here.
#pragma once

#include "upstreams/internal/curl_handles.h"
#include "upstreams/upstream_client.h"

#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace cyclamenmount::detail {

struct cancel_order {
    std::string address;
    request_id request;
    attempt_id attempt;
    instant give_up_at;  //!< the upstream has ended the attempt by then
    grant_guard guard;
};

//! One thread. The guard is settled when the upstream has answered, or can't be running it.
class canceller {
public:
    explicit canceller(milliseconds timeout);
    ~canceller();
    canceller(const canceller&) = delete;
    canceller& operator=(const canceller&) = delete;
    canceller(canceller&&) = delete;
    canceller& operator=(canceller&&) = delete;

    void enqueue(cancel_order order);

private:
    struct sending {
        std::unique_ptr<cancel_order> order;
        easy_handle easy;
        header_list headers;
        std::string body;
    };

    void run();
    bool take_orders();  //!< true if this is to stop
    void send(std::unique_ptr<cancel_order> order);
    void collect();
    void retry_due();
    void end(CURL* handle, CURLcode code);

    milliseconds timeout_;
    multi_handle multi_;
    std::mutex mutex_;
    bool stopping_{false};
    std::deque<std::unique_ptr<cancel_order>> orders_;
    std::vector<sending> sending_;
    std::multimap<instant, std::unique_ptr<cancel_order>> retries_;
    std::thread thread_;
};

}  // namespace cyclamenmount::detail
