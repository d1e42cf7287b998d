#include "pipeline/response_stream.h"

#include "pipeline/problem.h"

#include <array>
#include <cstdio>
#include <limits>

#include <xxhash.h>

namespace cyclamenmount {

namespace {

using nlohmann::json;

json cost_json(const stage_cost& cost) {
    return {{"stage", cost.stage.value},    {"pool", cost.pool.value},
            {"attempts", cost.attempts},    {"busy_ms", cost.busy.count()},
            {"tokens", cost.tokens},        {"wasted_ms", cost.wasted.count()},
            {"hedges", cost.hedges},        {"repeats", cost.repeats},
            {"other_zone", cost.other_zone}};
}

}  // namespace

std::string digest_of(std::string_view text) {
    std::array<char, 17> hex{};
    const auto hash = static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size()));
    std::snprintf(hex.data(), hex.size(), "%016llx", hash);
    return hex.data();
}

response_stream::response_stream(request_id request, fingerprint body)
    : request_(std::move(request)), body_(std::move(body)) {}

void response_stream::add_frame(std::string frame) {
    bytes_ += frame.size();
    frames_.push_back(std::move(frame));
    changed_.notify_all();
}

void response_stream::add_token(std::string_view text) {
    const std::lock_guard lock(mutex_);
    if (ended_at_ != instant{}) {
        return;
    }
    if (first_token_at_ == instant{}) {
        first_token_at_ = boot_clock::now();
    }
    text_.append(text);
    bytes_ += text.size();
    add_frame(json{{"frame", frames_.size()}, {"token", text}}.dump());
}

void response_stream::finish(std::span<const stage_cost> costs) {
    json cost_array = json::array();
    for (const stage_cost& cost : costs) {
        cost_array.push_back(cost_json(cost));
    }
    const std::lock_guard lock(mutex_);
    if (ended_at_ != instant{}) {
        return;
    }
    const std::size_t count = frames_.size();
    ended_at_ = boot_clock::now();
    add_frame(json{{"frame", count},
                   {"final", true},
                   {"count", count},
                   {"digest", digest_of(text_)},
                   {"costs", std::move(cost_array)}}
                  .dump());
}

void response_stream::fail(const refusal& refused) {
    const std::lock_guard lock(mutex_);
    if (ended_at_ != instant{}) {
        return;
    }
    refused_ = refused;
    ended_at_ = boot_clock::now();
    add_frame(json{{"frame", frames_.size()}, {"error", problem_json(refused)}}.dump());
}

response_part response_stream::read_locked(std::size_t from, std::size_t max_bytes) const {
    response_part found;
    std::size_t bytes = 0;
    std::size_t next = from;
    while (next < frames_.size() && bytes < max_bytes) {
        bytes += frames_[next].size();
        found.frames.push_back(frames_[next]);
        next += 1;
    }
    found.total = frames_.size();
    found.ended = ended_at_ != instant{} && next >= frames_.size();
    if (found.ended) {
        found.refused = refused_;
    }
    return found;
}

response_part response_stream::read(std::size_t from, std::size_t max_bytes) const {
    const std::lock_guard lock(mutex_);
    return read_locked(from, max_bytes);
}

response_part response_stream::wait(std::size_t from, milliseconds limit) const {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, limit,
                      [this, from] { return frames_.size() > from || ended_at_ != instant{}; });
    return read_locked(from, std::numeric_limits<std::size_t>::max());
}

void response_stream::abandon() {
    const std::lock_guard lock(mutex_);
    abandoned_ = true;
}

bool response_stream::abandoned() const {
    const std::lock_guard lock(mutex_);
    return abandoned_;
}

std::size_t response_stream::bytes() const {
    const std::lock_guard lock(mutex_);
    return bytes_;
}

instant response_stream::first_token_at() const {
    const std::lock_guard lock(mutex_);
    return first_token_at_;
}

instant response_stream::ended_at() const {
    const std::lock_guard lock(mutex_);
    return ended_at_;
}

std::optional<refusal> response_stream::refused() const {
    const std::lock_guard lock(mutex_);
    return refused_;
}

}  // namespace cyclamenmount
