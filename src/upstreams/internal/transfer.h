//! One attempt on one libcurl handle.
#pragma once

#include "upstreams/internal/answer_reader.h"
#include "upstreams/internal/curl_handles.h"
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

    std::vector<received_token> take_tokens();

    //! When `overdue` may next be other than `none`.
    [[nodiscard]] instant next_check() const;

    //! `deadline_passed`, `silent` or `none`.
    [[nodiscard]] attempt_fault overdue(instant now) const;

    //! Result of a transfer that libcurl has ended.
    attempt_result finish(CURLcode code);

    //! Result of a transfer that was ended from here.
    attempt_result finish(attempt_fault fault);

    //! The guard, with the result noted.
    grant_guard take_guard(const attempt_result& result);

private:
    void set_request(const upstream_client_settings& settings);
    [[nodiscard]] std::string path() const;
    [[nodiscard]] std::string body() const;
    [[nodiscard]] attempt_fault fault_of(CURLcode code);

    static std::size_t on_header(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* self);
    static int on_ready_to_send(void* self, char* remote_ip, char* local_ip, int remote_port,
                                int local_port);

    attempt_call call_;
    grant_guard guard_;
    milliseconds first_byte_silence_;
    milliseconds stream_silence_;
    easy_handle easy_;
    header_list headers_;
    std::string body_;
    answer_reader reader_;
    instant begun_;
    instant last_progress_;
    instant first_token_at_;
    bool answering_{false};  //!< the answer has begun
    bool sent_{false};
    bool window_passed_{false};
};

}  // namespace cyclamenmount::detail
