//! Attempts against upstreams over HTTP/1.1.
#pragma once

#include "upstreams/attempt_call.h"
#include "upstreams/grant_guard.h"

#include <atomic>
#include <memory>
#include <optional>
#include <vector>

namespace cyclamenmount {

struct upstream_client_settings {
    milliseconds connect_timeout{500};
    milliseconds first_byte_silence{2500};  //!< longest wait for the answer to begin
    milliseconds stream_silence{1500};      //!< longest pause within an answer
    milliseconds cancel_timeout{300};       //!< of one cancel order
    int connections_kept{8};                //!< idle connections of one concurrent request
};

//! Answers that were not accepted.
struct upstream_counters {
    std::atomic<std::uint64_t> attempts{0};
    std::atomic<std::uint64_t> not_started{0};
    std::atomic<std::uint64_t> misdirected{0};
    std::atomic<std::uint64_t> duplicate{0};
    std::atomic<std::uint64_t> out_of_order{0};
    std::atomic<std::uint64_t> truncated{0};
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> silent{0};
    std::atomic<std::uint64_t> lost{0};
    std::atomic<std::uint64_t> cancelled{0};
    std::atomic<std::uint64_t> late{0};  //!< came after another attempt had won
};

//! News of one attempt.
struct attempt_news {
    attempt_id attempt;
    std::vector<received_token> tokens;
    std::optional<attempt_result> end;
};

class upstream_client;

//! Attempts that one thread runs concurrently. Those still running are cancelled with it.
class attempt_group {
public:
    explicit attempt_group(upstream_client& client);
    ~attempt_group();
    attempt_group(const attempt_group&) = delete;
    attempt_group& operator=(const attempt_group&) = delete;
    attempt_group(attempt_group&&) = delete;
    attempt_group& operator=(attempt_group&&) = delete;

    //! Starts an attempt; `guard` is settled when the upstream has nothing of it left.
    void add(attempt_call call, grant_guard guard);

    //! Blocks until there is news, or for `limit`.
    std::vector<attempt_news> wait(milliseconds limit);

    //! Ends an attempt: closes its connection and orders the upstream to cancel it.
    std::optional<attempt_result> cancel(const attempt_id& attempt);

    [[nodiscard]] std::size_t running() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

//! Connections of this process to its upstreams. Safe to call from any thread.
class upstream_client {
public:
    static result<std::unique_ptr<upstream_client>> start(upstream_client_settings settings);
    ~upstream_client();
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;
    upstream_client(upstream_client&&) = delete;
    upstream_client& operator=(upstream_client&&) = delete;

    upstream_counters& counters();

private:
    friend class attempt_group;
    struct impl;
    explicit upstream_client(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
