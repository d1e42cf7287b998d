//! One attempt as a transfer on a libcurl easy handle.
#pragma once

#include "upstreams/internal/curl_handles.h"
#include "upstreams/internal/response_reader.h"
#include "upstreams/upstream_client.h"

namespace cyclamenmount::detail {

class transfer {
public:
    transfer(attempt_call call, grant_guard guard, const upstream_client_settings& settings);
    ~transfer() = default;
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;
    transfer(transfer&&) = delete;
    transfer& operator=(transfer&&) = delete;

    [[nodiscard]] CURL* handle() const {
        return easy_.get();
    }

    [[nodiscard]] const attempt_call& call() const {
        return call_;
    }

    [[nodiscard]] bool sent() const {
        return sent_;
    }

    //! Returns and removes the tokens accepted since the last call.
    std::vector<received_token> take_tokens();

    //! Earliest time at which `check_timeouts` returns a fault if no more data is received.
    [[nodiscard]] instant next_check() const;

    //! Fault of a transfer that has exceeded its deadline or an idle limit at `now`, else `none`.
    [[nodiscard]] attempt_fault check_timeouts(instant now) const;

    //! Result of a transfer that libcurl has completed.
    attempt_result finish(CURLcode code);

    //! Result of a transfer that this process has aborted.
    attempt_result finish(attempt_fault fault);

    //! Stores the result in the guard's event and returns the guard.
    grant_guard take_guard(const attempt_result& result);

private:
    void set_request(const upstream_client_settings& settings);
    [[nodiscard]] std::string path() const;
    [[nodiscard]] std::string body() const;
    [[nodiscard]] attempt_fault fault_of(CURLcode code);

    static std::size_t on_header(char* data, std::size_t size, std::size_t count, void* user_data);
    static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user_data);
    static int on_ready_to_send(void* user_data, char* remote_ip, char* local_ip, int remote_port,
                                int local_port);

    attempt_call call_;
    grant_guard guard_;
    milliseconds first_byte_timeout_;
    milliseconds stream_idle_timeout_;
    easy_handle easy_;
    header_list headers_;
    std::string body_;
    response_reader reader_;
    instant started_;
    instant last_progress_;
    instant first_token_at_;
    bool response_started_{false};  //!< true once the first header line was received
    bool sent_{false};
    bool window_passed_{false};
};

}  // namespace cyclamenmount::detail
