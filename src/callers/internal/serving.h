//! What the callers' handlers share.
#pragma once

#include "callers/caller_server.h"
#include "callers/internal/http_exchange.h"

#include <atomic>

namespace cyclamenmount::detail {

struct serving {
    caller_settings settings;
    caller_dependencies with;
    std::atomic<bool> will_stop{false};  //!< not ready any more, but still takes requests
    std::atomic<bool> stopping{false};
    std::atomic<int> running{0};   //!< requests and runs
    std::atomic<int> handling{0};  //!< requests with a caller
};

//! Counts one as long as it lives.
class running_guard {
public:
    explicit running_guard(std::atomic<int>& counter) : counter_(counter), number_(++counter) {}

    ~running_guard() {
        --counter_;
    }

    running_guard(const running_guard&) = delete;
    running_guard& operator=(const running_guard&) = delete;
    running_guard(running_guard&&) = delete;
    running_guard& operator=(running_guard&&) = delete;

    //! How many ran as this one began, itself included.
    [[nodiscard]] int number() const {
        return number_;
    }

private:
    std::atomic<int>& counter_;
    int number_;
};

//! Posts `request_ended` for one admission as its last holder lets go.
class admission_guard {
public:
    admission_guard(std::function<void(event)> post, ticket number, workspace_name workspace)
        : post_(std::move(post)), number_(number), workspace_(std::move(workspace)) {}

    ~admission_guard() {
        post_(request_ended{number_, workspace_, tokens_.load()});
    }

    admission_guard(const admission_guard&) = delete;
    admission_guard& operator=(const admission_guard&) = delete;
    admission_guard(admission_guard&&) = delete;
    admission_guard& operator=(admission_guard&&) = delete;

    void set_tokens(int count) {
        tokens_ = count;
    }

private:
    std::function<void(event)> post_;
    ticket number_;
    workspace_name workspace_;
    std::atomic<int> tokens_{0};
};

//! A request that has been admitted.
struct admitted {
    admitted_request request;
    std::string owner;  //!< hash of the caller's key
    instant begun;
    milliseconds deadline{0};
    std::string target;
    std::shared_ptr<admission_guard> guard;
};

//! Asks for admission. `wanted` names the target, the body and its tokens.
decided<admitted> admit(serving& shared, const request_fields& fields, admission_wanted wanted,
                        milliseconds deadline);

//! Hands one ended request to the metrics.
void record_end(const serving& shared, const admitted& request,
                const std::optional<refusal>& refused, std::vector<stage_cost> costs,
                milliseconds first_frame);

//! Hands a request that wasn't admitted to the metrics.
void record_refusal(const serving& shared, const std::string& target, const refusal& refused);

run_environment environment_of(serving& shared);

void serve_pipeline(serving& shared, http_exchange& http, std::string_view name);
void serve_frames(serving& shared, http_exchange& http, std::string_view key);
void serve_service(serving& shared, http_exchange& http, std::string_view pool,
                   std::string_view operation);

}  // namespace cyclamenmount::detail
