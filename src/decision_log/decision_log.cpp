#include "decision_log/decision_log.h"

#include <algorithm>
#include <array>
#include <ctime>

#include <poll.h>
#include <unistd.h>

namespace cyclamenmount {

namespace {

//! PIPE_BUF: a pipe that polls as writable accepts this many bytes without blocking.
constexpr std::size_t max_write_bytes = 4096;
constexpr double ms_per_second = 1000;

//! Longest value on a line; the rest of a longer one is cut off.
constexpr std::size_t max_value_bytes = 1024;

bool is_control(char c) {
    constexpr char del = 0x7f;
    return static_cast<unsigned char>(c) < ' ' || c == del;
}

bool needs_quotes(std::string_view value) {
    return value.empty() || value.find_first_of(" \"=") != std::string_view::npos ||
           std::ranges::any_of(value, is_control);
}

bool is_writable(int descriptor) {
    pollfd watched{descriptor, POLLOUT, 0};
    return poll(&watched, 1, 0) == 1 && (watched.revents & POLLOUT) != 0;
}

//! Time of day in UTC with milliseconds and a trailing space, e.g. `2026-12-04T09:11:09.123Z `.
std::string time_text() {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    tm calendar{};
    gmtime_r(&now.tv_sec, &calendar);
    std::array<char, 40> text{};
    const std::size_t size =
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &calendar);
    constexpr long ns_per_ms = 1'000'000;
    std::string ms = std::to_string(now.tv_nsec / ns_per_ms);
    ms.insert(0, 3 - ms.size(), '0');
    return std::string(text.data(), size) + '.' + ms + "Z ";
}

}  // namespace

log_entry& log_entry::add(std::string_view name, std::string_view value) {
    text_.append(" ").append(name).append("=");
    value = value.substr(0, max_value_bytes);
    if (!needs_quotes(value)) {
        text_.append(value);
        return *this;
    }
    text_ += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text_ += '\\';
        }
        text_ += is_control(c) ? ' ' : c;
    }
    text_ += '"';
    return *this;
}

log_entry& log_entry::add(std::string_view name, std::int64_t value) {
    text_.append(" ").append(name).append("=").append(std::to_string(value));
    return *this;
}

log_entry& log_entry::add(std::string_view name, milliseconds value) {
    return add(name, static_cast<std::int64_t>(value.count()));
}

bool decision_log::take_token(instant now) {
    const auto elapsed_seconds = static_cast<double>((now - refilled_at_).count()) / ms_per_second;
    tokens_ = std::min(settings_.burst, tokens_ + elapsed_seconds * settings_.lines_per_second);
    refilled_at_ = now;
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

void decision_log::write(const log_entry& entry) {
    const std::lock_guard lock(mutex_);
    const bool has_room = buffer_.size() + entry.text().size() < settings_.buffer_bytes;
    if (!has_room || !take_token(boot_clock::now())) {
        ++dropped_;
        return;
    }
    if (dropped_ != dropped_reported_) {
        buffer_.append("log_dropped lines=").append(std::to_string(dropped_ - dropped_reported_));
        buffer_ += '\n';
        dropped_reported_ = dropped_;
    }
    if (settings_.has_time) {
        buffer_.append(time_text());
    }
    buffer_.append(entry.text());
    buffer_ += '\n';
}

void decision_log::flush() {
    const std::lock_guard lock(mutex_);
    while (!buffer_.empty() && is_writable(settings_.descriptor)) {
        const auto count = ::write(settings_.descriptor, buffer_.data(),
                                   std::min(buffer_.size(), max_write_bytes));
        if (count <= 0) {
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(count));
    }
}

std::uint64_t decision_log::dropped() const {
    const std::lock_guard lock(mutex_);
    return dropped_;
}

}  // namespace cyclamenmount
