//! HTTP/1.1 client that runs attempts against upstreams.
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
    //! Time limit from sending the request to the first response header. This and
    //! `stream_idle_timeout` don't apply to non-idempotent calls, which wait until their deadline.
    milliseconds first_byte_timeout{2500};
    //! Time limit between two parts of one response.
    milliseconds stream_idle_timeout{1500};
    milliseconds cancel_timeout{300};  //!< time limit of one cancel request
    int max_idle_connections{8};       //!< idle connections that one attempt group keeps
};

//! Number of all attempts, and of those whose response was not accepted, by cause.
struct upstream_counters {
    std::atomic<std::uint64_t> attempts{0};
    std::atomic<std::uint64_t> not_started{0};
    std::atomic<std::uint64_t> misdirected{0};
    std::atomic<std::uint64_t> duplicate{0};
    std::atomic<std::uint64_t> out_of_order{0};
    std::atomic<std::uint64_t> truncated{0};
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> stalled{0};
    std::atomic<std::uint64_t> connections_lost{0};
    std::atomic<std::uint64_t> cancelled{0};
    std::atomic<std::uint64_t> late{0};  //!< results that arrived after another attempt had won
};

//! Progress of one attempt since the last update.
struct attempt_update {
    attempt_id attempt;
    std::vector<received_token> tokens;
    std::optional<attempt_result> end;  //!< set once the attempt has ended
};

class upstream_client;

//! Attempts that one thread runs concurrently. The destructor cancels those still running.
class attempt_group {
public:
    explicit attempt_group(upstream_client& client);
    ~attempt_group();
    attempt_group(const attempt_group&) = delete;
    attempt_group& operator=(const attempt_group&) = delete;
    attempt_group(attempt_group&&) = delete;
    attempt_group& operator=(attempt_group&&) = delete;

    //! Starts an attempt. `guard` posts its event when the attempt has ended; after a cancellation,
    //! when the upstream has confirmed it, has no listener, or the attempt's deadline has passed.
    void add(attempt_call call, grant_guard guard);

    //! Waits up to `limit` for progress; returns one update for each attempt that made any.
    std::vector<attempt_update> wait(milliseconds limit);

    //! Closes the attempt's connection and sends the upstream a cancel request. None if the attempt
    //! isn't running.
    std::optional<attempt_result> cancel(const attempt_id& attempt);

    [[nodiscard]] std::size_t running() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

//! Connections from this process to its upstreams. Thread-safe.
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
