//! Structured log lines on standard output: `[time] event key=value ...`, one a decision.
//!
//! Lines are collected and written together. Volume is bounded: beyond the rate, and while standard
//! output takes nothing, lines are dropped and counted. Writing never blocks.
#pragma once

#include "types/time.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace cyclamenmount {

//! One line. Values with blanks or quotes are quoted.
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
    int descriptor{1};             //!< standard output
    double lines_per_second{400};  //!< 0.25 of a core spends about 1% on this many
    double burst{800};             //!< lines written at once after a quiet time
    std::size_t most_bytes{std::size_t{64} * 1024};  //!< waiting to be written
    bool has_time{false};  //!< lines begin with the time of day; ours, as collectors add their own
};

//! Safe to call from any thread.
class decision_log {
public:
    explicit decision_log(decision_log_settings settings) : settings_(settings) {}

    void write(const log_entry& entry);

    //! Writes what has been collected, as far as the descriptor takes it now.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const;

private:
    bool take_allowance(instant now);

    decision_log_settings settings_;
    mutable std::mutex mutex_;
    std::string waiting_;
    double allowance_{0};
    instant filled_at_{};
    std::uint64_t dropped_{0};
    std::uint64_t dropped_told_{0};
};

}  // namespace cyclamenmount
