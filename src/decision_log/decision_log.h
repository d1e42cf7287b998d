//! Structured log on standard output, one line for each decision: `[time] event key=value ...`.
//!
//! Lines are buffered and written in batches. Volume is bounded: lines above the rate limit, or
//! that don't fit into the buffer while standard output isn't writable, are dropped and counted.
//! Writing never blocks.
#pragma once

#include "types/time.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace cyclamenmount {

//! One log line. Values that are empty or have spaces, quotes or `=` are quoted.
class log_entry {
public:
    explicit log_entry(std::string_view event) : text_(event) {}

    log_entry& add(std::string_view name, std::string_view value);
    log_entry& add(std::string_view name, std::int64_t value);
    log_entry& add(std::string_view name, milliseconds value);

    [[nodiscard]] const std::string& text() const {
        return text_;
    }

private:
    std::string text_;
};

struct decision_log_settings {
    int descriptor{1};             //!< file descriptor to write to; 1 is standard output
    double lines_per_second{400};  //!< rate limit; costs about 1% of a quota of 0.25 cores
    double burst{800};             //!< lines that can be written at once, above the rate limit
    std::size_t buffer_bytes{std::size_t{64} * 1024};  //!< maximum size of unwritten lines
    //! Lines begin with this process's time of day; a collector's timestamps are its own.
    bool has_time{false};
};

//! Rate-limited, non-blocking log. Safe to call from any thread.
class decision_log {
public:
    explicit decision_log(decision_log_settings settings) : settings_(settings) {}

    //! Buffers a line, or drops it if the rate limit or the buffer size is exceeded.
    void write(const log_entry& entry);

    //! Writes buffered lines for as long as the descriptor accepts them without blocking.
    void flush();

    //! Number of lines dropped so far.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    //! Refills the token bucket and takes a token; false if it is empty.
    bool take_token(instant now);

    decision_log_settings settings_;
    mutable std::mutex mutex_;
    std::string buffer_;
    double tokens_{0};
    instant refilled_at_{};
    std::uint64_t dropped_{0};
    std::uint64_t dropped_reported_{0};
};

}  // namespace cyclamenmount
