//! Response to one request as a sequence of numbered frames.
#pragma once

#include "telemetry/metrics.h"
#include "types/errors.h"
#include "types/ids.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cyclamenmount {

//! Consecutive frames of a response, from a requested frame number on.
struct response_part {
    std::vector<std::string> frames;  //!< one JSON object each, without line end
    bool ended{false};                //!< `frames` includes the last frame of the response
    std::optional<refusal> refused;   //!< reason if the response failed; also in its last frame
    std::size_t total{0};             //!< number of frames written so far
};

//! Written by one thread, read by any number of threads. A complete response ends with a frame
//! marked `final`, a failed one with a frame that holds an `error`.
class response_stream {
public:
    response_stream(request_id request, fingerprint body);

    [[nodiscard]] const request_id& request() const {
        return request_;
    }

    [[nodiscard]] const fingerprint& body() const {
        return body_;
    }

    //! `add_token`, `finish` and `fail` have no effect once the response has ended.
    void add_token(std::string_view text);
    void finish(std::span<const stage_cost> costs);
    void fail(const refusal& refused);

    //! Returns the available frames from number `from` on; stops once they reach `max_bytes`.
    [[nodiscard]] response_part read(std::size_t from, std::size_t max_bytes) const;

    //! Returns all frames from number `from` on; blocks until there is one, the response has ended
    //! or `limit` has passed.
    [[nodiscard]] response_part wait(std::size_t from, milliseconds limit) const;

    //! Marks the response as no longer needed, so that its run stops.
    void abandon();
    [[nodiscard]] bool abandoned() const;

    [[nodiscard]] std::size_t bytes() const;       //!< size of the frames and the text
    [[nodiscard]] instant first_token_at() const;  //!< `instant{}` before the first token
    [[nodiscard]] instant ended_at() const;        //!< `instant{}` while it is being written
    [[nodiscard]] std::optional<refusal> refused() const;

private:
    void add_frame(std::string frame);
    [[nodiscard]] response_part read_locked(std::size_t from, std::size_t max_bytes) const;

    const request_id request_;
    const fingerprint body_;
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::vector<std::string> frames_;
    std::string text_;  //!< concatenated tokens
    std::size_t bytes_{0};
    std::optional<refusal> refused_;
    instant first_token_at_;
    instant ended_at_;
    bool abandoned_{false};
};

//! XXH3-64 hash of `text` as 16 hexadecimal digits.
std::string digest_of(std::string_view text);

}  // namespace cyclamenmount
