//! The numbered frames of one answer.
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

//! Frames from some number on.
struct answer_part {
    std::vector<std::string> frames;  //!< JSON without line end
    bool ended{false};                //!< `frames` holds the last one
    std::optional<refusal> refused;   //!< the answer ended with this; its last frame says so too
    std::size_t total{0};             //!< frames that there are by now
};

//! Written by one thread, read by any number. A whole answer ends with a final frame.
class answer {
public:
    answer(request_id request, fingerprint body);

    [[nodiscard]] const request_id& request() const {
        return request_;
    }

    [[nodiscard]] const fingerprint& body() const {
        return body_;
    }

    //! These three do nothing once the answer has ended.
    void add_token(std::string_view text);
    void finish(std::span<const stage_cost> costs);
    void fail(const refusal& refused);

    //! What there is from frame `from`, up to about `max_bytes`.
    [[nodiscard]] answer_part read(std::size_t from, std::size_t max_bytes) const;

    //! Like `read`, but blocks until there is something or `limit` has passed.
    [[nodiscard]] answer_part wait(std::size_t from, milliseconds limit) const;

    //! Nobody wants the rest.
    void abandon();
    [[nodiscard]] bool abandoned() const;

    [[nodiscard]] std::size_t bytes() const;
    [[nodiscard]] instant first_at() const;  //!< of the first token; `instant{}` before it
    [[nodiscard]] instant ended_at() const;  //!< `instant{}` while it runs
    [[nodiscard]] std::optional<refusal> refused() const;

private:
    void add_frame(std::string frame);
    [[nodiscard]] answer_part part(std::size_t from, std::size_t max_bytes) const;

    const request_id request_;
    const fingerprint body_;
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::vector<std::string> frames_;
    std::string texts_;  //!< all tokens in order
    std::size_t bytes_{0};
    std::optional<refusal> refused_;
    instant first_at_;
    instant ended_at_;
    bool abandoned_{false};
};

//! XXH3-64 in 16 hex digits.
std::string digest_of(std::string_view text);

}  // namespace cyclamenmount
