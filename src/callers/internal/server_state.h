//! State and functions shared by the request handlers.
#pragma once

#include "callers/caller_server.h"
#include "callers/internal/http_exchange.h"

#include <atomic>

namespace cyclamenmount::detail {

struct server_state {
    caller_settings settings;
    caller_dependencies dependencies;
    std::atomic<bool> stop_announced{false};  //!< `/readyz` fails, requests are still accepted
    std::atomic<bool> stopping{false};        //!< new requests are refused
    std::atomic<int> running{0};              //!< number of requests and of pipeline runs
    std::atomic<int> handling{0};             //!< number of requests whose handler is running
};

//! Increments a counter for its own lifetime.
class scoped_counter {
public:
    explicit scoped_counter(std::atomic<int>& counter)
        : counter_(counter), count_at_start_(++counter) {}

    ~scoped_counter() {
        --counter_;
    }

    scoped_counter(const scoped_counter&) = delete;
    scoped_counter& operator=(const scoped_counter&) = delete;
    scoped_counter(scoped_counter&&) = delete;
    scoped_counter& operator=(scoped_counter&&) = delete;

    //! Value of the counter right after this guard incremented it.
    [[nodiscard]] int count_at_start() const {
        return count_at_start_;
    }

private:
    std::atomic<int>& counter_;
    int count_at_start_;
};

//! Posts `request_ended` for an admission when it is destroyed.
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
    std::string caller_key_sha256;  //!< SHA-256 of the caller's API key, in hexadecimal
    instant started;
    milliseconds deadline{0};  //!< from `started` on
    std::string target;        //!< pipeline, or service and operation
    std::shared_ptr<admission_guard> guard;
};

//! Requests admission. `wanted` holds the target, the body's fingerprint and the maximum of tokens;
//! the other fields are set here.
decided<admitted> admit(server_state& server, const request_fields& fields, admission_wanted wanted,
                        milliseconds deadline);

//! Records an ended request in the metrics.
void record_end(const server_state& server, const admitted& request,
                const std::optional<refusal>& refused, std::vector<stage_cost> costs,
                milliseconds first_frame);

//! Records a request that wasn't admitted in the metrics.
void record_refusal(const server_state& server, const std::string& target, const refusal& refused);

run_environment environment_of(server_state& server);

void serve_pipeline(server_state& server, http_exchange& http, std::string_view name);
void serve_frames(server_state& server, http_exchange& http, std::string_view key);
void serve_service(server_state& server, http_exchange& http, std::string_view pool,
                   std::string_view operation);

}  // namespace cyclamenmount::detail
